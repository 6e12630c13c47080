package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rowanlink/serving/membership"
)

// stabilizationPeriod is how long a machine and its paths must have been free of faults before the tests check whether
// members have it marked as down. It is longer than any suspicion timeout, so that heartbeats arrive regularly again after a
// fault that had stopped them.
const stabilizationPeriod = 6 * time.Second

// path is the network path from one zone to another. Its two directions fail independently.
type path struct{ from, to string }

func (p path) reverse() path { return path{from: p.to, to: p.from} }

// faultRun injects generated faults into a simulation and records where and when they happened.
type faultRun struct {
	*simulation
	revision      uint64 // of the newest record
	blockedPaths  map[path]bool
	nodeFaultAt   map[*simNode]time.Time // last fault or restart; the end of a freeze, which may be in the future
	pathFaultAt   map[path]time.Time     // when the path was last blocked or unblocked
	lossChangedAt time.Time              // when the loss rate or the jitter was last changed
}

// newFaultRun returns a run in which all members know each other and there are no faults yet.
func newFaultRun(t reporter, seed uint64, size int) *faultRun {
	s := newConvergedSimulation(t, seed, size, threeZones)
	r := &faultRun{
		simulation:   s,
		blockedPaths: map[path]bool{},
		nodeFaultAt:  map[*simNode]time.Time{},
		pathFaultAt:  map[path]time.Time{},
	}
	s.blocked = func(from, to *simNode) bool { return r.blockedPaths[path{from.member.Zone, to.member.Zone}] }
	return r
}

// pickNode generates a machine.
func (r *faultRun) pickNode(rt *rapid.T, label string) *simNode {
	return rapid.SampledFrom(r.nodes).Draw(rt, label)
}

// pickPath generates a path.
func (r *faultRun) pickPath(rt *rapid.T) path {
	zones := []string{"a", "b", "c"}
	from := rapid.IntRange(0, 2).Draw(rt, "zone")
	return path{zones[from], zones[(from+rapid.IntRange(1, 2).Draw(rt, "other"))%3]}
}

// injectFault injects one generated fault.
func (r *faultRun) injectFault(rt *rapid.T) {
	switch kind := rapid.IntRange(0, 9).Draw(rt, "fault"); kind {
	case 0:
		n := r.pickNode(rt, "kill")
		r.kill(n)
		r.nodeFaultAt[n] = r.now
	case 1:
		n := r.pickNode(rt, "power off")
		r.powerOff(n)
		r.nodeFaultAt[n] = r.now
	case 2:
		r.restart(r.pickNode(rt, "start"))
	case 3:
		n := r.pickNode(rt, "freeze")
		span := time.Duration(rapid.IntRange(100, 5000).Draw(rt, "ms")) * time.Millisecond
		r.freeze(n, span)
		r.nodeFaultAt[n] = r.now.Add(span)
	case 4:
		p := r.pickPath(rt)
		r.setBlocked(p, true)
		if rapid.Bool().Draw(rt, "both directions") {
			r.setBlocked(p.reverse(), true)
		}
	case 5:
		p := r.pickPath(rt)
		r.setBlocked(p, false)
		r.setBlocked(p.reverse(), false)
	case 6:
		r.putNewest()
	case 7:
		r.lossRate = rapid.Float64Range(0, 0.1).Draw(rt, "lost")
		r.lossChangedAt = r.now
	case 8:
		r.jitter = time.Duration(rapid.IntRange(0, maxJitterMillis).Draw(rt, "jitter ms")) * time.Millisecond
		r.lossChangedAt = r.now
	case 9:
		r.restartWithEarlierClock(r.pickNode(rt, "restart"), rapid.IntRange(1, 20).Draw(rt, "seconds back"))
	}
}

// maxJitterMillis is the greatest generated jitter in milliseconds. It lets a message be overtaken by several later ones.
const maxJitterMillis = 300

// restartWithEarlierClock kills a machine's process and starts it again after the clock was set back, so that the new
// process may begin with a lower incarnation than the previous one.
func (r *faultRun) restartWithEarlierClock(n *simNode, seconds int) {
	r.kill(n)
	r.startAs(n, uint64(r.now.Add(-time.Duration(seconds)*time.Second).UnixNano()))
	r.nodeFaultAt[n] = r.now
}

// runChecked advances the simulation and checks every 200 ms that no member is wrongly marked as down.
func (r *faultRun) runChecked(span time.Duration) {
	for end := r.now.Add(span); r.now.Before(end); {
		r.run(min(200*time.Millisecond, end.Sub(r.now)))
		r.checkNoneWronglyDown()
	}
}

// powerOffNode powers a machine off and records the fault.
func (r *faultRun) powerOffNode(number int) {
	r.powerOff(r.nodes[number])
	r.nodeFaultAt[r.nodes[number]] = r.now
}

// blockBoth blocks both directions of a path.
func (r *faultRun) blockBoth(p path) {
	r.setBlocked(p, true)
	r.setBlocked(p.reverse(), true)
}

// requireRecovery ends all faults and requires that all members see each other as live, have the same tables, and that it
// stays so.
func (r *faultRun) requireRecovery() {
	r.repairAll()
	frozen := time.Duration(0)
	for _, n := range r.nodes {
		frozen = max(frozen, n.frozenUntil.Sub(r.now))
	}
	r.run(frozen)
	r.runUntil(5*time.Second, "all members see each other as live", r.hasConverged)
	r.runUntil(2*time.Second, "the newest record is everywhere", r.hasRevisionEverywhere(r.revision))
	r.runUntil(3*time.Second, "all tables are equal", r.hasEqualTables)
	r.run(2 * membership.SuspicionTimeout)
	require.True(r.t, r.hasConverged(), "still converged")
}

// setBlocked blocks or unblocks a path.
func (r *faultRun) setBlocked(p path, blocked bool) {
	r.blockedPaths[p] = blocked
	r.pathFaultAt[p] = r.now
}

// restart starts a machine's process unless it is running.
func (r *faultRun) restart(n *simNode) {
	if !n.running {
		r.start(n)
		r.nodeFaultAt[n] = r.now
	}
}

// putNewest puts the next revision of the record into a random running machine.
func (r *faultRun) putNewest() {
	if running := r.runningNodes(); len(running) > 0 {
		r.revision++
		r.putRecord(running[r.random.IntN(len(running))], r.revision, 200)
	}
}

// repairAll ends all faults except freezes, and puts a newer record.
func (r *faultRun) repairAll() {
	r.lossRate = 0
	r.jitter = 0
	clear(r.blockedPaths)
	for _, n := range r.nodes {
		r.restart(n)
	}
	r.putNewest()
}

// isHealthyBetween reports whether two machines and the paths between them have been free of faults for
// stabilizationPeriod.
func (r *faultRun) isHealthyBetween(x, y *simNode) bool {
	for _, n := range []*simNode{x, y} {
		if !n.running || r.now.Sub(r.nodeFaultAt[n]) < stabilizationPeriod {
			return false
		}
	}
	there := path{x.member.Zone, y.member.Zone}
	for _, p := range []path{there, there.reverse()} {
		if r.blockedPaths[p] || r.now.Sub(r.pathFaultAt[p]) < stabilizationPeriod {
			return false
		}
	}
	return true
}

func (r *faultRun) byName(name string) *simNode {
	for _, n := range r.nodes {
		if n.member.Name == name {
			return n
		}
	}
	return nil
}

// checkNoneWronglyDown fails if a member, the observer, has another member marked as down although most of the other's
// watchers receive its heartbeats and the observer receives messages from these watchers.
func (r *faultRun) checkNoneWronglyDown() {
	if r.lossRate > 0 || r.now.Sub(r.lossChangedAt) < stabilizationPeriod {
		return
	}
	for _, observer := range r.nodes {
		if !observer.running || r.now.Sub(r.nodeFaultAt[observer]) < stabilizationPeriod {
			continue
		}
		for _, member := range observer.node.members.DownMembers() {
			x := r.byName(member.Name)
			receiving, watchers := 0, observer.node.members.Watchers(member.Name)
			for _, watcher := range watchers {
				w := r.byName(watcher.Name)
				if r.isHealthyBetween(x, w) && (w == observer || r.isHealthyBetween(w, observer)) {
					receiving++
				}
			}
			if 2*receiving > len(watchers) {
				require.Failf(r.t, "a healthy member is marked as down", "%s has %s marked as down, though %d watchers receive its heartbeats",
					observer.member.Name, member.Name, receiving)
			}
		}
	}
}

// hasEqualTables reports whether all running members have equal tables.
func (r *faultRun) hasEqualTables() bool {
	running := r.runningNodes()
	for _, n := range running {
		if !equalSummaries(n.node.engine.Summary(), running[0].node.engine.Summary()) {
			return false
		}
	}
	return true
}

func equalSummaries(one, other []uint32) bool {
	for i := range one {
		if one[i] != other[i] {
			return false
		}
	}
	return true
}

// TestMembers_RecoverFromFaults injects generated faults. No healthy member may be marked as down, and once all faults have
// ended, all members must converge.
func TestMembers_RecoverFromFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.IntRange(2, 14).Draw(rt, "size")
		r := newFaultRun(rt, rapid.Uint64().Draw(rt, "seed"), size)
		for range rapid.IntRange(1, 12).Draw(rt, "faults") {
			r.injectFault(rt)
			interval := rapid.IntRange(0, 4000).Draw(rt, "interval ms")
			r.runChecked(time.Duration(interval) * time.Millisecond)
		}
		r.requireRecovery()
	})
}

// TestMembers_DeadWatcherBesidePartition reproduces a failure that generated faults found on 2 December 2026. A machine that
// watches both members of zone b dies. Zone c, which watches both of them too, loses its path to zone b. The third watcher
// of each of the two members is the other one. If suspected watchers had no vote, all other members would mark both as down,
// though zone a reaches them.
func TestMembers_DeadWatcherBesidePartition(t *testing.T) {
	r := newFaultRun(t, 0, 7)
	r.powerOffNode(6)
	r.runChecked(17 * time.Millisecond)
	r.blockBoth(path{"c", "b"})
	for range 40 {
		r.runChecked(200 * time.Millisecond)
		for _, observer := range r.inZone("a") {
			for _, member := range r.inZone("b") {
				require.True(t, !observer.running || isSeenLive(observer, member), "%s sees %s", observer.member.Name, member.member.Name)
			}
		}
	}
	r.requireRecovery()
}

// TestMembers_ManyMembersComeBackToOne reproduces a failure that generated faults found on 2 December 2026. Several machines
// are powered off while zone b is partitioned from zone c and then receives nothing from zone a either, so that the only
// running member of zone b has nearly all others marked as down. Soon after all faults have ended it must see all of them as
// live, including those that it doesn't watch.
func TestMembers_ManyMembersComeBackToOne(t *testing.T) {
	r := newFaultRun(t, 0xd, 13)
	r.blockBoth(path{"c", "b"})
	r.runChecked(3 * time.Millisecond)
	r.powerOffNode(7)
	r.runChecked(203 * time.Millisecond)
	r.powerOffNode(12)
	r.runChecked(18 * time.Millisecond)
	r.powerOffNode(4)
	r.runChecked(2696 * time.Millisecond)
	r.setBlocked(path{"a", "b"}, true)
	r.runChecked(426 * time.Millisecond)
	r.powerOffNode(10)
	r.runChecked(66 * time.Millisecond)
	r.putNewest()
	r.runChecked(2871 * time.Millisecond)
	r.powerOffNode(8)
	r.runChecked(3139 * time.Millisecond)
	r.putNewest()
	r.requireRecovery()
}

// TestMembers_FrozenForMinutes freezes machines for minutes. They receive nothing meanwhile. When they resume, they must
// not mark the others as down because of that, nor gossip their old entries as new ones.
func TestMembers_FrozenForMinutes(t *testing.T) {
	for _, test := range []struct {
		name   string
		frozen func(*faultRun) []*simNode
	}{
		{"one machine", func(r *faultRun) []*simNode { return r.nodes[:1] }},
		{"a zone", func(r *faultRun) []*simNode { return r.inZone("b") }},
		{"all but one", func(r *faultRun) []*simNode { return r.nodes[1:] }},
		{"all", func(r *faultRun) []*simNode { return r.nodes }},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newFaultRun(t, 1, 14)
			const pause = 3 * time.Minute
			for _, n := range test.frozen(r) {
				r.freeze(n, pause)
				r.nodeFaultAt[n] = r.now.Add(pause)
			}
			r.runChecked(pause / 2)
			r.putNewest()
			r.runChecked(pause / 2)
			r.runChecked(10 * time.Second)
			r.requireRecovery()
		})
	}
}
