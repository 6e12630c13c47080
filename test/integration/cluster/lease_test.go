package cluster

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/test/integration/harness"
)

// guarded is a fleet in which all members want the errand.
func guarded(t *testing.T, rates map[string]float64) *harness.Cluster {
	f := begin(t, harness.Options{Members: 4, RaftNodes: 3, ClockRates: rates, CheckedResources: []string{errand}})
	going(f)
	return f
}

// apart are clocks as far off as the operator file allows: a slow holder's before a fast keeper's.
var apart = map[string]float64{"m1": 1.05, "m2": 1.05, "m3": 0.95, "m4": 0.95}

// Guards against two holders at once after each thing that may befall the one.
func TestAHolderThatIsKilledStoppedOrCutOffIsFollowedByOneAlone(t *testing.T) {
	t.Parallel()
	f := guarded(t, apart)
	for _, c := range []struct {
		name    string
		follows bool // another one takes it while the fault lasts
		begin   func(m *harness.Member) (end func())
	}{
		{"killed", true, func(m *harness.Member) func() { m.Kill(); return m.Start }},
		{"stopped for long", true, func(m *harness.Member) func() { m.Pause(); return m.Resume }},
		{"cut off", true, func(m *harness.Member) func() { f.Network.Isolate(harness.Partition, m.Name); return f.Network.Heal }},
		{"refused by all", true, func(m *harness.Member) func() {
			f.Network.Isolate(harness.Refused, m.Name)
			return f.Network.Heal
		}},
		{"unheard", true, func(m *harness.Member) func() { oneWay(f, m, true); return f.Network.Heal }},
		{"deaf", false, func(m *harness.Member) func() { oneWay(f, m, false); return f.Network.Heal }},
		{"told to end", true, func(m *harness.Member) func() { m.Terminate(); return m.Start }},
	} {
		who, epoch := holder(f)
		t.Logf("%s: %s with %d", c.name, who.Name, epoch)
		end := c.begin(who)
		if c.follows {
			taken(f, epoch)
		} else {
			some(2.5)
		}
		end()
		who.AwaitReady()
		going(f)
		f.Check()
		require.False(t, t.Failed(), c.name)
	}
}

// oneWay has nothing of what a member says arrive, or nothing of what it is told.
func oneWay(f *harness.Cluster, m *harness.Member, says bool) {
	for _, other := range f.Members {
		switch {
		case other == m:
		case says:
			f.Network.SetFault(m.Name, other.Name, harness.OneWayPartition)
		default:
			f.Network.SetFault(other.Name, m.Name, harness.OneWayPartition)
		}
	}
}

// Guards against a deed that ends after a stop by a clock that was not looked at again.
func TestAHolderThatStandsStillForAWhileDoesNothingAfterItsTerm(t *testing.T) {
	t.Parallel()
	f := guarded(t, nil)
	for _, terms := range []float64{0.5, 0.9, 1.1, 2, 3} {
		who, _ := holder(f)
		who.Pause()
		some(terms)
		who.Resume()
		going(f)
		f.Check()
		require.False(t, t.Failed(), "%g terms", terms)
	}
}

// Guards against a term that is counted from the answer: it comes late, and then none comes.
func TestATermCountsFromTheAskHoweverLateTheAnswer(t *testing.T) {
	t.Parallel()
	f := guarded(t, apart)
	slow := []*harness.Member{f.Member("m3"), f.Member("m4")}
	for range 3 {
		who := away(f, slow)
		for _, other := range f.Members {
			if other != who {
				f.Network.SetFault(other.Name, who.Name, harness.Delayed(term/10)) // less than an ask is waited for
			}
		}
		some(1.5)
		_, epoch := holder(f)
		f.Network.Isolate(harness.Partition, who.Name)
		taken(f, epoch)
		f.Network.Heal()
		going(f)
		f.Check()
		require.False(t, t.Failed())
	}
}

// away has the errand held by one of some who does not lead the keepers.
func away(f *harness.Cluster, some []*harness.Member) (who *harness.Member) {
	for {
		who, epoch := holder(f)
		for _, m := range some {
			if m == who && f.AwaitLeader() != who {
				return who
			}
		}
		who.Kill()
		taken(f, epoch)
		who.Start()
	}
}

// Guards against a new leader that knows of no session, or lets one end early.
func TestALeaderThatIsLostTakesNoTaskWithIt(t *testing.T) {
	t.Parallel()
	f := guarded(t, apart)
	for _, fault := range []func(m *harness.Member) func(){
		func(m *harness.Member) func() { m.Kill(); return m.Start },
		func(m *harness.Member) func() { m.Pause(); return m.Resume },
		func(m *harness.Member) func() { f.Network.Isolate(harness.Partition, m.Name); return f.Network.Heal },
	} {
		leader := f.AwaitLeader()
		who, epoch := holder(f)
		end := fault(leader)
		if who == leader {
			taken(f, epoch)
		}
		f.Eventually("another one leads", func() bool { m := f.LeaderNow(); return m != nil && m != leader })
		going(f)
		end()
		leader.AwaitReady()
		going(f)
		f.Check()
		require.False(t, t.Failed())
	}
}

// Guards against a task that is held or given without the keepers' majority, and not given once it is back.
func TestWithoutTheKeepersMajorityNobodyHoldsATask(t *testing.T) {
	t.Parallel()
	f := guarded(t, apart)
	for _, how := range []string{"cut", "killed"} {
		holder(f)
		marks := f.LogOffsets()
		gone := f.RaftNodes()[:2]
		for _, m := range gone {
			if how == "cut" {
				f.Network.Isolate(harness.Partition, m.Name)
				for _, other := range gone {
					if other != m {
						f.Network.SetFaultBetween(m.Name, other.Name, harness.Partition)
					}
				}
			} else {
				m.Kill()
			}
		}
		for _, m := range f.Members {
			if m.Running() {
				m.AwaitLogFrom(marks[m], "session over")
			}
		}
		n := len(f.LeaseChecker.Operations(errand))
		some(1.5)
		assert.Len(t, f.LeaseChecker.Operations(errand), n, "%s: deeds without a majority", how)
		f.Network.Heal()
		for _, m := range gone {
			if !m.Running() {
				m.Start()
			}
		}
		going(f)
		f.Check()
		require.False(t, t.Failed(), how)
	}
}
