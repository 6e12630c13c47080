package cluster

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/test/checker/deliverycheck"
	"rowanlink/test/integration/harness"
	"rowanlink/webhook/api"
)

// awaitOwner returns the owner of some destination and another member. Neither is the raft leader, so that a fault
// between them ends no session.
func awaitOwner(c *harness.Cluster) (owner, entry *harness.Member) {
	c.Eventually("a destination's owner is not the leader", func() bool {
		leader := c.Leader()
		for d := range api.DestinationID(4) {
			if m := c.Owner(d + 1); leader != nil && m != nil && m != leader {
				owner = m
			}
		}
		for _, m := range c.Members {
			if owner != nil && m != owner && m != leader {
				entry = m
			}
		}
		return owner != nil
	})
	return owner, entry
}

// anyMetricPositive reports whether some member's counter is above zero.
func anyMetricPositive(c *harness.Cluster, metric string) bool {
	for _, m := range c.Members {
		if v, ok := m.Metric(metric); ok && v != "0" {
			return true
		}
	}
	return false
}

// runScenario runs a fault under load in a cluster of its own, and checks all rules except the given ones. Where an
// owner is lost for longer than a lease TTL, the webhooks in its journal come after those that the next owner accepts
// meanwhile, so that the order of keys doesn't hold.
func runScenario(t *testing.T, fault func(c *harness.Cluster, owner, entry *harness.Member),
	but ...deliverycheck.Rule) {
	t.Parallel()
	c := startCluster(t, harness.Options{Ranges: 8})
	slowDestinations(t, c)
	stop := startLoad(c)
	sleepTTLs(0.5)
	owner, entry := awaitOwner(c)
	fault(c, owner, entry)
	sleepTTLs(0.5)
	assert.True(t, anyMetricPositive(c, "member_forwarded_total"), "nothing was forwarded: the scenario tests nothing")
	stop()
	c.AwaitStable()
	c.Check(but...)
	t.Logf("%+v", c.Platform.Checker.Counts())
}

func TestOwner_KilledAndRestartedAfterFailover(t *testing.T) {
	runScenario(t, func(c *harness.Cluster, owner, _ *harness.Member) {
		owner.Kill()
		c.AwaitServed()
		owner.Start()
	}, deliverycheck.Order)
}

func TestOwner_KilledAndRestartedAtOnce(t *testing.T) {
	runScenario(t, func(c *harness.Cluster, owner, _ *harness.Member) {
		owner.Restart()
		owner.Restart()
	}, deliverycheck.Order)
}

func TestOwner_Paused(t *testing.T) {
	runScenario(t, func(c *harness.Cluster, owner, _ *harness.Member) {
		for _, ttls := range []float64{0.5, 1.2, 3} {
			owner.Pause()
			sleepTTLs(ttls)
			owner.Resume()
			sleepTTLs(0.5)
			owner, _ = awaitOwner(c)
		}
	}, deliverycheck.Order)
}

func TestOwner_PartitionedFromOneMember(t *testing.T) {
	runScenario(t, func(c *harness.Cluster, owner, entry *harness.Member) {
		c.Network.SetFaultBetween(owner.Name, entry.Name, harness.Partition)
		sleepTTLs(2)
		c.Network.Heal()
		assert.True(t, anyMetricPositive(c, "member_doubts_total"), "no forward was in doubt")
	})
}

func TestOwner_PartitionedFromAll(t *testing.T) {
	runScenario(t, func(c *harness.Cluster, owner, _ *harness.Member) {
		c.Network.Isolate(harness.Partition, owner.Name)
		sleepTTLs(2.5)
		c.Network.Heal()
	}, deliverycheck.Order)
}

func TestOwner_ResponsesLostHalfway(t *testing.T) {
	runScenario(t, func(c *harness.Cluster, owner, entry *harness.Member) {
		for _, after := range []int{1, 90, 400} {
			c.Network.SetFault(owner.Name, entry.Name, harness.ResetAfterBytes(after))
			sleepTTLs(0.7)
		}
		assert.True(t, anyMetricPositive(c, "member_doubts_total"), "no forward was in doubt")
		c.Network.Heal()
	})
}

func TestForward_ForwardingMemberKilled(t *testing.T) {
	runScenario(t, func(c *harness.Cluster, owner, entry *harness.Member) {
		c.Network.SetFault(owner.Name, entry.Name, harness.ResetAfterBytes(1))
		sleepTTLs(0.5)
		entry.Kill()
		c.Network.Heal()
		entry.Start()
		require.True(t, entry.IsRunning())
	})
}
