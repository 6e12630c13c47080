package cluster

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/test/integration/harness"
)

// startLeaseChecked starts a cluster in which all members want the checked resource.
func startLeaseChecked(t *testing.T, rates map[string]float64) *harness.Cluster {
	c := startCluster(t, harness.Options{
		Members:          4,
		RaftNodes:        3,
		ClockRates:       rates,
		CheckedResources: []string{checkedResource},
	})
	awaitOperations(c)
	return c
}

// driftingClocks are rates as far apart as the operator file allows: a slow holder's clock beside a fast raft node's.
var driftingClocks = map[string]float64{"m1": 1.05, "m2": 1.05, "m3": 0.95, "m4": 0.95}

// There are never two holders at once, whatever fault one of them has.
func TestLease_OneHolderAfterEachFault(t *testing.T) {
	t.Parallel()
	c := startLeaseChecked(t, driftingClocks)
	for _, test := range []struct {
		name      string
		failsOver bool // another member acquires the lease while the fault lasts
		begin     func(m *harness.Member) (end func())
	}{
		{"killed", true, func(m *harness.Member) func() { m.Kill(); return m.Start }},
		{"paused", true, func(m *harness.Member) func() { m.Pause(); return m.Resume }},
		{"partitioned", true, func(m *harness.Member) func() { c.Network.Isolate(harness.Partition, m.Name); return c.Network.Heal }},
		{"refused by all", true, func(m *harness.Member) func() {
			c.Network.Isolate(harness.Refused, m.Name)
			return c.Network.Heal
		}},
		{"nothing of it arrives", true, func(m *harness.Member) func() { partitionOneWay(c, m, true); return c.Network.Heal }},
		{"nothing arrives at it", false, func(m *harness.Member) func() { partitionOneWay(c, m, false); return c.Network.Heal }},
		{"terminated", true, func(m *harness.Member) func() { m.Terminate(); return m.Start }},
	} {
		who, epoch := awaitOperation(c)
		t.Logf("%s: %s with %d", test.name, who.Name, epoch)
		end := test.begin(who)
		if test.failsOver {
			awaitNewHolder(c, epoch)
		} else {
			sleepTTLs(2.5)
		}
		end()
		who.AwaitReady()
		awaitOperations(c)
		c.Check()
		require.False(t, t.Failed(), test.name)
	}
}

// partitionOneWay loses all that a member sends, or all that is sent to it.
func partitionOneWay(c *harness.Cluster, m *harness.Member, outgoing bool) {
	for _, other := range c.Members {
		switch {
		case other == m:
		case outgoing:
			c.Network.SetFault(m.Name, other.Name, harness.OneWayPartition)
		default:
			c.Network.SetFault(other.Name, m.Name, harness.OneWayPartition)
		}
	}
}

// A holder checks its clock again after a pause: no operation ends after the lease has expired.
func TestLease_PausedHolderDoesNothingAfterExpiry(t *testing.T) {
	t.Parallel()
	c := startLeaseChecked(t, nil)
	for _, ttls := range []float64{0.5, 0.9, 1.1, 2, 3} {
		who, _ := awaitOperation(c)
		who.Pause()
		sleepTTLs(ttls)
		who.Resume()
		awaitOperations(c)
		c.Check()
		require.False(t, t.Failed(), "%g TTLs", ttls)
	}
}

// The TTL of a lease counts from the request to renew it, not from a response that comes late.
func TestLease_TTLCountsFromTheRequest(t *testing.T) {
	t.Parallel()
	c := startLeaseChecked(t, driftingClocks)
	slow := []*harness.Member{c.Member("m3"), c.Member("m4")}
	for range 3 {
		who := awaitFollowerHolder(c, slow)
		for _, other := range c.Members {
			if other != who {
				c.Network.SetFault(other.Name, who.Name, harness.Delayed(leaseTTL/10)) // less than the time-out of a request
			}
		}
		sleepTTLs(1.5)
		_, epoch := awaitOperation(c)
		c.Network.Isolate(harness.Partition, who.Name)
		awaitNewHolder(c, epoch)
		c.Network.Heal()
		awaitOperations(c)
		c.Check()
		require.False(t, t.Failed())
	}
}

// awaitFollowerHolder waits until the checked resource is held by one of some members that is not the raft leader. It
// kills other holders.
func awaitFollowerHolder(c *harness.Cluster, some []*harness.Member) (who *harness.Member) {
	for {
		who, epoch := awaitOperation(c)
		for _, m := range some {
			if m == who && c.AwaitLeader() != who {
				return who
			}
		}
		who.Kill()
		awaitNewHolder(c, epoch)
		who.Start()
	}
}

// A new raft leader knows all sessions and lets none expire early.
func TestLease_SurvivesLeaderLoss(t *testing.T) {
	t.Parallel()
	c := startLeaseChecked(t, driftingClocks)
	for _, fault := range []func(m *harness.Member) func(){
		func(m *harness.Member) func() { m.Kill(); return m.Start },
		func(m *harness.Member) func() { m.Pause(); return m.Resume },
		func(m *harness.Member) func() { c.Network.Isolate(harness.Partition, m.Name); return c.Network.Heal },
	} {
		leader := c.AwaitLeader()
		who, epoch := awaitOperation(c)
		end := fault(leader)
		if who == leader {
			awaitNewHolder(c, epoch)
		}
		c.Eventually("another one leads", func() bool { m := c.Leader(); return m != nil && m != leader })
		awaitOperations(c)
		end()
		leader.AwaitReady()
		awaitOperations(c)
		c.Check()
		require.False(t, t.Failed())
	}
}

// Without a majority of the raft nodes nobody holds a lease, and leases are granted again once there is one.
func TestLease_NoHolderWithoutMajority(t *testing.T) {
	t.Parallel()
	c := startLeaseChecked(t, driftingClocks)
	for _, how := range []string{"cut", "killed"} {
		awaitOperation(c)
		offsets := c.LogOffsets()
		gone := c.RaftNodes()[:2]
		for _, m := range gone {
			if how == "cut" {
				c.Network.Isolate(harness.Partition, m.Name)
				for _, other := range gone {
					if other != m {
						c.Network.SetFaultBetween(m.Name, other.Name, harness.Partition)
					}
				}
			} else {
				m.Kill()
			}
		}
		for _, m := range c.Members {
			if m.IsRunning() {
				m.AwaitLogFrom(offsets[m], "session expired")
			}
		}
		n := len(c.LeaseChecker.Operations(checkedResource))
		sleepTTLs(1.5)
		assert.Len(t, c.LeaseChecker.Operations(checkedResource), n, "%s: operations without a majority", how)
		c.Network.Heal()
		for _, m := range gone {
			if !m.IsRunning() {
				m.Start()
			}
		}
		awaitOperations(c)
		c.Check()
		require.False(t, t.Failed(), how)
	}
}
