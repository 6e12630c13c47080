package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rowanlink/serving/membership"
)

// stabilizationPeriod is how long a member and its paths must have been free of faults before a decision about it is
// checked. It is longer than any suspicion timeout, so that all heartbeats that a fault had stopped have arrived again.
const stabilizationPeriod = 6 * time.Second

// path is one direction between two zones.
type path struct{ from, to string }

func (p path) reverse() path { return path{from: p.to, to: p.from} }

// faultRun injects generated faults into a simulation and records where and when they happened.
type faultRun struct {
	*simulation
	rt            *rapid.T
	revision      uint64
	blockedPaths  map[path]bool
	nodeFaultAt   map[*simNode]time.Time
	pathFaultAt   map[path]time.Time
	lossChangedAt time.Time
}

// newFaultRun returns a run with members that all know each other.
func newFaultRun(rt *rapid.T, size int) *faultRun {
	s := newConvergedSimulation(rt, rapid.Uint64().Draw(rt, "seed"), size, threeZones)
	r := &faultRun{
		simulation:   s,
		rt:           rt,
		blockedPaths: map[path]bool{},
		nodeFaultAt:  map[*simNode]time.Time{},
		pathFaultAt:  map[path]time.Time{},
	}
	s.blocked = func(from, to *simNode) bool { return r.blockedPaths[path{from.member.Zone, to.member.Zone}] }
	return r
}

// pickNode generates a machine.
func (r *faultRun) pickNode(label string) *simNode {
	return rapid.SampledFrom(r.nodes).Draw(r.rt, label)
}

// pickPath generates a path.
func (r *faultRun) pickPath() path {
	zones := []string{"a", "b", "c"}
	from := rapid.IntRange(0, 2).Draw(r.rt, "zone")
	return path{zones[from], zones[(from+rapid.IntRange(1, 2).Draw(r.rt, "other"))%3]}
}

// injectFault injects one generated fault.
func (r *faultRun) injectFault() {
	switch kind := rapid.IntRange(0, 7).Draw(r.rt, "fault"); kind {
	case 0:
		n := r.pickNode("kill")
		r.kill(n)
		r.nodeFaultAt[n] = r.now
	case 1:
		n := r.pickNode("power off")
		r.powerOff(n)
		r.nodeFaultAt[n] = r.now
	case 2:
		r.restart(r.pickNode("start"))
	case 3:
		n := r.pickNode("freeze")
		span := time.Duration(rapid.IntRange(100, 5000).Draw(r.rt, "ms")) * time.Millisecond
		r.freeze(n, span)
		r.nodeFaultAt[n] = r.now.Add(span)
	case 4:
		p := r.pickPath()
		r.setBlocked(p, true)
		if rapid.Bool().Draw(r.rt, "both directions") {
			r.setBlocked(p.reverse(), true)
		}
	case 5:
		p := r.pickPath()
		r.setBlocked(p, false)
		r.setBlocked(p.reverse(), false)
	case 6:
		r.putNewest()
	case 7:
		r.lossRate = rapid.Float64Range(0, 0.1).Draw(r.rt, "lost")
		r.lossChangedAt = r.now
	}
}

// setBlocked blocks or unblocks a path.
func (r *faultRun) setBlocked(p path, blocked bool) {
	r.blockedPaths[p] = blocked
	r.pathFaultAt[p] = r.now
}

// restart starts a machine's process unless it runs.
func (r *faultRun) restart(n *simNode) {
	if !n.running {
		r.start(n)
		r.nodeFaultAt[n] = r.now
	}
}

// putNewest puts a newer record into a running machine.
func (r *faultRun) putNewest() {
	if running := r.runningNodes(); len(running) > 0 {
		r.revision++
		r.putRecord(running[r.random.IntN(len(running))], r.revision, 200)
	}
}

// repairAll ends all faults.
func (r *faultRun) repairAll() {
	r.lossRate = 0
	clear(r.blockedPaths)
	for _, n := range r.nodes {
		r.restart(n)
	}
	r.putNewest()
}

// isHealthyBetween reports whether two machines have been able to reach each other for stabilizationPeriod.
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

// checkNoneWronglyDown fails where a member, the observer, has marked another as down although most of that one's
// watchers receive its heartbeats and the observer receives the watchers' messages.
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
				r.rt.Fatalf("%s has %s marked as down though %d watchers receive its heartbeats",
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

// TestMembers_RecoverFromFaults injects generated faults. None makes a healthy member marked as down, and once all
// have ended, all members converge.
func TestMembers_RecoverFromFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := newFaultRun(rt, rapid.IntRange(2, 14).Draw(rt, "size"))
		for range rapid.IntRange(1, 12).Draw(rt, "faults") {
			r.injectFault()
			interval := time.Duration(rapid.IntRange(0, 4000).Draw(rt, "interval ms")) * time.Millisecond
			for end := r.now.Add(interval); r.now.Before(end); {
				r.run(min(200*time.Millisecond, end.Sub(r.now)))
				r.checkNoneWronglyDown()
			}
		}
		r.repairAll()
		frozen := time.Duration(0)
		for _, n := range r.nodes {
			frozen = max(frozen, n.frozenUntil.Sub(r.now))
		}
		r.run(frozen)
		r.runUntil(5*time.Second, "all members are live for all", r.hasConverged)
		r.runUntil(2*time.Second, "the newest record is everywhere", r.hasRevisionEverywhere(r.revision))
		r.runUntil(3*time.Second, "all tables are equal", r.hasEqualTables)
		r.run(2 * membership.SuspicionTimeout)
		require.True(rt, r.hasConverged(), "still converged")
	})
}
