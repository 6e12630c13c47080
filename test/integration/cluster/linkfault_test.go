package cluster

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"rowanlink/test/checker/deliverycheck"
	"rowanlink/test/integration/harness"
)

// After each step of a move, its source, its target and the coordinator may be paused for more than a lease TTL, or
// partitioned: afterwards they continue with their old state, and messages in flight arrive late.
func TestMove_PauseOrPartitionAfterEachStep(t *testing.T) {
	steps := []string{"move planned", "move warming", "move handing off", "range ownership switched", "move cleared"}
	for _, step := range steps {
		for _, how := range []string{"paused", "partitioned"} {
			t.Run(step+", "+how, func(t *testing.T) {
				t.Parallel()
				c := startCluster(t, harness.Options{
					Members:    4,
					RaftNodes:  3,
					Ranges:     8,
					ClockRates: map[string]float64{"m1": 1.024, "m2": 0.976},
				})
				slowDestinations(t, c)
				stop := startLoad(c)
				for _, role := range []string{"source", "target", "coordinator"} {
					drained, offsets := ownerOfMostRanges(c), c.LogOffsets()
					c.ReloadOperatorFiles(fmt.Sprintf("leave %q {}\n", drained.Name))
					who := awaitRole(c, role, step, drained, offsets)
					t.Logf("%s leaves, %s, %s, is %s", drained.Name, role, who.Name, how)
					if how == "paused" {
						who.Pause()
						sleepTTLs(1.6)
						who.Resume()
					} else {
						c.Network.Isolate(harness.Partition, who.Name)
						sleepTTLs(1.6)
						c.Network.Heal()
					}
					c.AwaitStable(drained)
				}
				stop()
				allowed := []deliverycheck.Rule{deliverycheck.Order} // an owner that is lost keeps its webhooks to itself for a while
				if how == "partitioned" {
					// An isolated member calls for its copy (ServeIsolated), the next owner for the other (ForkCopy).
					allowed = append(allowed, deliverycheck.ForkOverlap)
				}
				c.Check(allowed...)
			})
		}
	}
}

// awaitRole waits until a step of a move is logged and returns the member with a role in the move.
func awaitRole(c *harness.Cluster, role, step string, drained *harness.Member,
	offsets map[*harness.Member]int) *harness.Member {
	logger := c.AwaitLog(offsets, "INFO "+step+" ")
	switch role {
	case "target":
		if line, ok := logger.Log.Find(offsets[logger], "INFO "+step+" ", " to="); ok {
			return c.Member(targetField.FindStringSubmatch(line.Text)[1])
		}
		return logger
	case "coordinator":
		return c.AwaitLog(offsets, "INFO move planned ")
	}
	return drained
}

// Links that are delayed, throttled or reset cause no second holder, and no second call with a webhook.
func TestLease_DelayedThrottledAndResetLinks(t *testing.T) {
	t.Parallel()
	c := startCluster(t, harness.Options{
		Members:          4,
		RaftNodes:        3,
		CheckedResources: []string{checkedResource},
		ClockRates:       driftingClocks,
	})
	slowDestinations(t, c)
	stop := startLoad(c)
	for name, fault := range map[string]harness.Fault{
		"delayed":   harness.Delayed(leaseTTL / 4),
		"throttled": harness.Throttled(4000),
		"reset":     harness.ResetAfterBytes(900),
	} {
		who, _ := awaitOperation(c)
		for _, m := range []*harness.Member{who, c.AwaitLeader()} {
			c.Network.Isolate(fault, m.Name)
			sleepTTLs(1.5)
			c.Network.Heal()
			awaitOperations(c)
		}
		c.Check(deliverycheck.Order)
		require.False(t, t.Failed(), name)
	}
	stop()
	c.Check(deliverycheck.Order)
}

// A raft node that restarts without its state doesn't vote until it is a voter again, and then counts for the majority:
// the test needs it for one.
func TestRaft_NodeRestartsAfterStateLoss(t *testing.T) {
	t.Parallel()
	c := startCluster(t, harness.Options{
		Members:          4,
		RaftNodes:        3,
		CheckedResources: []string{checkedResource},
	})
	stop := startLoad(c)
	was, offsets := c.AwaitLeader(), c.LogOffsets()
	was.Kill()
	was.DeleteState()
	was.Start()
	c.AwaitLog(offsets, "raft voter added")
	for _, other := range c.RaftNodes() {
		if other != was {
			other.Kill()
			c.AwaitLeader()
			awaitOperations(c)
			other.Start()
			break
		}
	}
	stop()
	c.Check(deliverycheck.Order)
}
