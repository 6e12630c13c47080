package cluster

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
	"rowanlink/test/checker/deliverycheck"
	"rowanlink/test/fake/platform"
	"rowanlink/test/integration/harness"
	"rowanlink/webhook/api"
)

// startLongTTLCluster starts a fleet with terms long enough that none ends by itself on a machine with much else to do.
func startLongTTLCluster(t *testing.T, s harness.Options) *harness.Cluster {
	s.LeaseTTL = 3 * leaseTTL
	return startCluster(t, s)
}

// lowRate a second: between two looks at a home there is often nothing new for what moves, and the move can end.
const lowRate = 4

// startLoadAt hands webhooks for some destinations in at one member, until stop: none crosses a link that is
// cut. They have the whole TTL of their type: a shorter one would stand for one that was handed in before.
func startLoadAt(f *harness.Cluster, at *harness.Member, perSecond float64,
	dests ...api.DestinationID) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	types := []string{"status", "paid", "charge"}
	wait := f.Platform.StartLoad(ctx, platform.Load{Members: []string{at.Name}, PerSecond: perSecond, Clients: 6,
		Next: func(n int) platform.Webhook {
			return platform.Webhook{Type: types[n%3], Destination: dests[n/3%len(dests)], TTL: 20 * time.Second, Body: "x"}
		}})
	return func() {
		cancel()
		wait()
		f.AwaitOutcomes()
	}
}

// interruptedPlan is a plan in the midst: the range of one destination has passed its switch, that of another can't, as
// its home doesn't reach the target.
type interruptedPlan struct {
	cluster                       *harness.Cluster
	moved, blocked                api.DestinationID
	target, source, blockedTarget *harness.Member // of through; of held, now and by the plan
	marks                         map[*harness.Member]int
	stop                          func()
}

// operatorBlocks are the plan's, with further blocks.
func (m *interruptedPlan) operatorBlocks(held bool, blocks string) string {
	text := fmt.Sprintf("pin \"p\" {\n  destinations = [%d]\n  to = %q\n}\nbounds { moves_at_once = 2 }\n",
		m.moved,
		m.target.Name)
	if held {
		text += fmt.Sprintf("pin \"q\" {\n  destinations = [%d]\n  to = %q\n}\n", m.blocked, m.blockedTarget.Name)
	}
	return text + blocks
}

func startInterruptedPlan(t *testing.T, blocks string) *interruptedPlan {
	f := startLongTTLCluster(t, harness.Options{Members: 4, RaftNodes: 3, Ranges: 8})
	m := &interruptedPlan{cluster: f, blockedTarget: f.Members[3]} // no keeper: a cut link costs the log nothing
	f.Eventually("two homes", func() bool {
		leader, chart := f.Leader(), f.ShardMap()
		m.blocked, m.moved = 0, 0
		for d := range api.DestinationID(4) {
			switch home := f.Owner(d + 1); {
			case home == nil || leader == nil || home == m.blockedTarget:
			case m.blocked == 0 && home != leader:
				m.blocked, m.source = d+1, home
			}
		}
		if m.blocked == 0 {
			return false
		}
		of, _ := chart.RangeOf(cluster.DestinationKeyHash(m.blocked))
		for d := range api.DestinationID(4) {
			if r, ok := chart.RangeOf(cluster.DestinationKeyHash(d + 1)); ok && r.ID != of.ID {
				m.moved = d + 1
			}
		}
		home := f.Owner(m.moved)
		for _, k := range f.RaftNodes() {
			if k != home {
				m.target = k
			}
		}
		return m.moved != 0 && home != nil
	})
	f.Network.SetFaultBetween(m.source.Name, m.blockedTarget.Name, harness.Partition)
	m.marks = f.LogOffsets()
	f.ReloadOperatorFiles(m.operatorBlocks(true, blocks))
	f.Eventually("one has moved, the other can't", func() bool {
		chart := f.ShardMap()
		if chart == nil || f.Owner(m.moved) != m.target {
			return false
		}
		r, _ := chart.RangeOf(cluster.DestinationKeyHash(m.blocked))
		through, _ := chart.RangeOf(cluster.DestinationKeyHash(m.moved))
		return r.Move.IsOpen() && !through.Move.IsOpen() && f.Member(string(r.Owner)) == m.source
	})
	m.stop = startLoadAt(f, m.target, 60, m.moved)
	return m
}

// awaitRollBack waits until the held move went back, and sees that what passed the switch stayed.
func (m *interruptedPlan) awaitRollBack(t *testing.T) {
	m.cluster.Eventually("the held move went back", func() bool {
		chart := m.cluster.ShardMap()
		if chart == nil {
			return false
		}
		r, _ := chart.RangeOf(cluster.DestinationKeyHash(m.blocked))
		return !r.Move.IsOpen()
	})
	assert.Equal(t, m.source, m.cluster.Owner(m.blocked))
	assert.Equal(t, m.target, m.cluster.Owner(m.moved))
}

func (m *interruptedPlan) finish() {
	m.cluster.Network.Heal()
	m.cluster.AwaitStable()
	m.stop()
	m.cluster.Check(deliverycheck.Order)
}

// Guards against a plan that goes on while it does harm: a destination goes sick or late at its new home.
// What has not switched goes back, what has stays, nothing starts, and the log says why; the file read again,
// once that is mended, goes on.
func TestPlan_StopsOnDegradation(t *testing.T) {
	for name, c := range map[string]struct {
		stop, why string
		does      platform.Behaviour
	}{
		"sick": {"sick = true", "went sick in range", platform.Fails},
		"late": {"late = 0.3", "of webhooks late in the ranges that move", platform.Slow(3 * time.Second / 2)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rules := "stop_when { " + c.stop + " }\n"
			m := startInterruptedPlan(t, rules)
			require.NoError(t, m.cluster.Platform.Destination(m.moved).BeginOutage(c.does))
			who := m.cluster.AwaitLog(m.marks, "plan stopped", c.why)
			m.awaitRollBack(t)
			m.cluster.Eventually("/metrics shows it", func() bool { v, _ := who.Metric("plan_stopped"); return v == "1" })
			require.NoError(t, m.cluster.Platform.Destination(m.moved).SetBehaviour(platform.Delivers))
			m.cluster.Network.Heal()
			sleepTTLs(3) // it stays stopped, whatever gets well
			assert.Equal(t, m.source, m.cluster.Owner(m.blocked))
			m.cluster.ReloadOperatorFiles(m.operatorBlocks(true, rules))
			m.cluster.Eventually("it goes on", func() bool { return m.cluster.Owner(m.blocked) == m.blockedTarget })
			m.finish()
		})
	}
}

// Guards against work undone by a file read in the midst of a plan: what has passed the switch stays where
// the new file has it too, what has not goes back.
func TestPlan_ReloadKeepsSwitchedRanges(t *testing.T) {
	t.Parallel()
	m := startInterruptedPlan(t, "")
	before := m.cluster.ShardMap()
	m.cluster.ReloadOperatorFiles(m.operatorBlocks(false, ""))
	m.awaitRollBack(t)
	m.cluster.AwaitStable()
	was, _ := before.RangeOf(cluster.DestinationKeyHash(m.moved))
	is, _ := m.cluster.ShardMap().RangeOf(cluster.DestinationKeyHash(m.moved))
	assert.Equal(t, was.Epoch, is.Epoch, "it was let go of meanwhile")
	m.finish()
}

// Guards against a plan that dies with the one who ran it: another keeper goes on by what the log holds, with
// no step done twice and no plan made anew. The keepers are no homes here, so nothing else is lost.
func TestPlan_CoordinatorKilled(t *testing.T) {
	t.Parallel()
	f := startLongTTLCluster(t, harness.Options{Members: 5, RaftNodes: 3, Ranges: 8, MemberSettings: func(m string) string {
		if m == "m4" || m == "m5" {
			return ""
		}
		return "  weight = 0\n"
	}})
	stop, marks, leaver := startLoadAt(f, f.Members[4], lowRate, 1, 2, 3, 4), f.LogOffsets(), f.Members[3]
	f.ReloadOperatorFiles("leave \"m4\" {}\nbounds { pause = \"1s\" }\nstop_when { rejected = 1 }\n")
	conductor := f.AwaitLog(marks, "INFO move planned ")
	f.AwaitLog(marks, "INFO move cleared ")
	conductor.Kill()
	next := f.LogOffsets()
	another := f.AwaitLog(next, "INFO move planned ")
	assert.NotEqual(t, conductor, another)
	conductor.Start()
	f.AwaitStable(leaver)
	for _, m := range f.Members {
		_, anew := m.Log.Find(next[m], "plan taken up")
		assert.False(t, anew, "%s made the plan anew", m.Name)
	}
	stop()
	f.Check(deliverycheck.Order)
}

// Guards against a pin that takes along what lies in the same range, or can't be taken back: the destination
// is split off under load, goes alone, and once nothing asks for that the map is as it was. Then the range
// still moves: nobody holds on to what was merged.
func TestPlan_SplitsOffAndMergesADestination(t *testing.T) {
	t.Parallel()
	f := startLongTTLCluster(t, harness.Options{Members: 3, Ranges: 4}) // 2 and 4 lie in one range
	var home, target *harness.Member
	f.Eventually("homes", func() bool { home = f.Owner(2); return home != nil && f.Owner(4) == home })
	for _, m := range f.Members {
		if m != home {
			target = m
		}
	}
	stop := startLoadAt(f, target, lowRate, 2, 4)
	before := len(f.ShardMap().Ranges)
	f.ReloadOperatorFiles(fmt.Sprintf("pin \"p\" {\n  destinations = [2]\n  to = %q\n}\n", target.Name))
	f.Eventually("it goes alone", func() bool { return f.Owner(2) == target })
	f.AwaitStable()
	assert.Equal(t, home, f.Owner(4))
	assert.Len(t, f.ShardMap().Ranges, before+2)
	f.ReloadOperatorFiles("")
	f.Eventually("it is merged", func() bool { chart := f.ShardMap(); return chart != nil && len(chart.Ranges) == before })
	f.AwaitStable()
	assert.Equal(t, home, f.Owner(2))
	f.ReloadOperatorFiles(fmt.Sprintf("leave %q {}\n", home.Name))
	f.AwaitStable(home)
	stop()
	f.Check(deliverycheck.Order)
}
