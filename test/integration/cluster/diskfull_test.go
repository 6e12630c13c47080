package cluster

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/test/checker/deliverycheck"
	"rowanlink/test/integration/harness"
)

// startLoaded starts a cluster under load in which all members want the checked resource, with drifting clocks.
func startLoaded(t *testing.T) (c *harness.Cluster, stop func()) {
	c = startCluster(t, harness.Options{
		Members:          4,
		RaftNodes:        3,
		Ranges:           8,
		ClockRates:       driftingClocks,
		CheckedResources: []string{checkedResource},
	})
	slowDestinations(t, c)
	awaitOperations(c)
	return c, startLoad(c)
}

// A full disk affects its own member only: leases go to others, what can't be written is not accepted, and once there
// is space again it recovers without a restart.
func TestDiskFull_RecoversByItself(t *testing.T) {
	for name, who := range map[string]func(c *harness.Cluster) *harness.Member{
		"of the raft leader": (*harness.Cluster).AwaitLeader,
		"of an owner":        func(c *harness.Cluster) *harness.Member { m, _ := awaitOwner(c); return m },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, stop := startLoaded(t)
			m := who(c)
			offset := m.Log.Offset()
			m.LimitFileSize(1)
			if m == c.Leader() { // the raft log is not written while the cluster is idle
				c.Member("m4").Restart()
			}
			m.AwaitLogFrom(offset, "file too large")
			sleepTTLs(2)
			assert.True(t, m.IsRunning())
			m.LimitFileSize(0)
			c.AwaitStable()
			awaitOperations(c)
			stop()
			c.Check(deliverycheck.Order) // an owner that is lost keeps its webhooks to itself for a while
		})
	}
}

// No webhook is lost, nor called twice, while no raft entry can be committed and after that.
func TestRaft_MajorityKilledUnderLoad(t *testing.T) {
	t.Parallel()
	c, stop := startLoaded(t)
	for _, first := range []int{0, 1} {
		gone, offsets := c.RaftNodes()[first:first+2], c.LogOffsets()
		for _, m := range gone {
			m.Kill()
		}
		for _, m := range c.Members {
			if m.IsRunning() {
				m.AwaitLogFrom(offsets[m], "session expired")
			}
		}
		accepted := c.Platform.Checker.Counts().Accepted
		sleepTTLs(1.5)
		assert.Greater(t, c.Platform.Checker.Counts().Accepted, accepted, "no webhook is accepted without a majority")
		for _, m := range gone {
			m.StartAsync()
		}
		for _, m := range gone {
			m.AwaitReady()
		}
		c.AwaitStable()
		awaitOperations(c)
	}
	stop()
	c.Check(deliverycheck.Order)
}

// There are never two holders with drifting clocks, where each holder in turn is paused for half a lease TTL to three.
func TestLease_PausedHoldersWithDriftingClocks(t *testing.T) {
	t.Parallel()
	c := startLeaseChecked(t, driftingClocks)
	slowDestinations(t, c)
	stop := startLoad(c)
	for _, ttls := range []float64{0.5, 1, 1.5, 3} {
		who, _ := awaitOperation(c)
		who.Pause()
		sleepTTLs(ttls)
		who.Resume()
		awaitOperations(c)
	}
	c.AwaitStable()
	stop()
	c.Check(deliverycheck.Order)
}
