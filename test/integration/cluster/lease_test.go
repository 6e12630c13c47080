package cluster

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/test/integration/harness"
)

// startLeaseChecked is a fleet in which all members want the errand.
func startLeaseChecked(t *testing.T, rates map[string]float64) *harness.Cluster {
	f := startCluster(t, harness.Options{Members: 4, RaftNodes: 3, ClockRates: rates, CheckedResources: []string{checkedResource}})
	awaitOperations(f)
	return f
}

// driftingClocks are clocks as far off as the operator file allows: a slow holder's before a fast keeper's.
var driftingClocks = map[string]float64{"m1": 1.05, "m2": 1.05, "m3": 0.95, "m4": 0.95}

// Guards against two holders at once after each thing that may befall the one.
func TestLease_OneHolderAfterEachFault(t *testing.T) {
	t.Parallel()
	f := startLeaseChecked(t, driftingClocks)
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
		{"unheard", true, func(m *harness.Member) func() { partitionOneWay(f, m, true); return f.Network.Heal }},
		{"deaf", false, func(m *harness.Member) func() { partitionOneWay(f, m, false); return f.Network.Heal }},
		{"told to end", true, func(m *harness.Member) func() { m.Terminate(); return m.Start }},
	} {
		who, epoch := awaitOperation(f)
		t.Logf("%s: %s with %d", c.name, who.Name, epoch)
		end := c.begin(who)
		if c.follows {
			awaitNewHolder(f, epoch)
		} else {
			sleepTTLs(2.5)
		}
		end()
		who.AwaitReady()
		awaitOperations(f)
		f.Check()
		require.False(t, t.Failed(), c.name)
	}
}

// partitionOneWay has nothing of what a member says arrive, or nothing of what it is told.
func partitionOneWay(f *harness.Cluster, m *harness.Member, says bool) {
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
func TestLease_PausedHolderDoesNothingAfterExpiry(t *testing.T) {
	t.Parallel()
	f := startLeaseChecked(t, nil)
	for _, terms := range []float64{0.5, 0.9, 1.1, 2, 3} {
		who, _ := awaitOperation(f)
		who.Pause()
		sleepTTLs(terms)
		who.Resume()
		awaitOperations(f)
		f.Check()
		require.False(t, t.Failed(), "%g terms", terms)
	}
}

// Guards against a term that is counted from the answer: it comes late, and then none comes.
func TestLease_TTLCountsFromTheRequest(t *testing.T) {
	t.Parallel()
	f := startLeaseChecked(t, driftingClocks)
	slow := []*harness.Member{f.Member("m3"), f.Member("m4")}
	for range 3 {
		who := awaitFollowerHolder(f, slow)
		for _, other := range f.Members {
			if other != who {
				f.Network.SetFault(other.Name, who.Name, harness.Delayed(leaseTTL/10)) // less than an ask is waited for
			}
		}
		sleepTTLs(1.5)
		_, epoch := awaitOperation(f)
		f.Network.Isolate(harness.Partition, who.Name)
		awaitNewHolder(f, epoch)
		f.Network.Heal()
		awaitOperations(f)
		f.Check()
		require.False(t, t.Failed())
	}
}

// awaitFollowerHolder has the errand held by one of some who does not lead the keepers.
func awaitFollowerHolder(f *harness.Cluster, some []*harness.Member) (who *harness.Member) {
	for {
		who, epoch := awaitOperation(f)
		for _, m := range some {
			if m == who && f.AwaitLeader() != who {
				return who
			}
		}
		who.Kill()
		awaitNewHolder(f, epoch)
		who.Start()
	}
}

// Guards against a new leader that knows of no session, or lets one end early.
func TestLease_SurvivesLeaderLoss(t *testing.T) {
	t.Parallel()
	f := startLeaseChecked(t, driftingClocks)
	for _, fault := range []func(m *harness.Member) func(){
		func(m *harness.Member) func() { m.Kill(); return m.Start },
		func(m *harness.Member) func() { m.Pause(); return m.Resume },
		func(m *harness.Member) func() { f.Network.Isolate(harness.Partition, m.Name); return f.Network.Heal },
	} {
		leader := f.AwaitLeader()
		who, epoch := awaitOperation(f)
		end := fault(leader)
		if who == leader {
			awaitNewHolder(f, epoch)
		}
		f.Eventually("another one leads", func() bool { m := f.Leader(); return m != nil && m != leader })
		awaitOperations(f)
		end()
		leader.AwaitReady()
		awaitOperations(f)
		f.Check()
		require.False(t, t.Failed())
	}
}

// Guards against a task that is held or given without the keepers' majority, and not given once it is back.
func TestLease_NoHolderWithoutMajority(t *testing.T) {
	t.Parallel()
	f := startLeaseChecked(t, driftingClocks)
	for _, how := range []string{"cut", "killed"} {
		awaitOperation(f)
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
			if m.IsRunning() {
				m.AwaitLogFrom(marks[m], "session over")
			}
		}
		n := len(f.LeaseChecker.Operations(checkedResource))
		sleepTTLs(1.5)
		assert.Len(t, f.LeaseChecker.Operations(checkedResource), n, "%s: deeds without a majority", how)
		f.Network.Heal()
		for _, m := range gone {
			if !m.IsRunning() {
				m.Start()
			}
		}
		awaitOperations(f)
		f.Check()
		require.False(t, t.Failed(), how)
	}
}
