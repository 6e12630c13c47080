package cluster

import (
	"fmt"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"

	"rowanlink/test/checker/deliverycheck"
	"rowanlink/test/fake/platform"
	"rowanlink/test/integration/harness"
	"rowanlink/webhook/api"
)

// targetField is the field of a log line that names the target of a move.
var targetField = regexp.MustCompile(` to=(\w+)`)

// After each step of a move, its source, its target and the coordinator may be killed.
func TestMove_KillAfterEachStep(t *testing.T) {
	for _, step := range []string{"move planned", "move warming", "move handing off", "range ownership switched", "move cleared"} {
		t.Run(step, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, harness.Options{Members: 4, RaftNodes: 3, Ranges: 8})
			slowDestinations(t, c)
			stop := startLoad(c)
			for _, role := range []string{"source", "target", "coordinator"} {
				drained := ownerOfMostRanges(c)
				offsets := c.LogOffsets()
				t.Logf("%s leaves, %s killed", drained.Name, role)
				c.ReloadOperatorFiles(fmt.Sprintf("leave %q {}\n", drained.Name))
				who := awaitRole(c, role, step, drained, offsets)
				who.Kill()
				c.AwaitServed()
				who.Start()
				c.AwaitStable(drained)
			}
			stop()
			c.Check(deliverycheck.Order) // an owner that is lost keeps its webhooks to itself for a while
			for d := range api.DestinationID(4) {
				t.Logf("destination %d: longest gap %s", d+1,
					c.Platform.Checker.LongestGap(d+1).Duration())
			}
		})
	}
}

// ownerOfMostRanges returns the member that owns the most ranges.
func ownerOfMostRanges(c *harness.Cluster) *harness.Member {
	n, most := map[string]int{}, ""
	c.Eventually("a map", func() bool {
		shards := c.ShardMap()
		if shards == nil {
			return false
		}
		for _, r := range shards.Ranges {
			if n[string(r.Owner)]++; most == "" || n[string(r.Owner)] > n[most] {
				most = string(r.Owner)
			}
		}
		return true
	})
	return c.Member(most)
}

// Moves without a fault lose, duplicate and reorder no webhooks.
func TestMove_UnderLoadWithoutFaults(t *testing.T) {
	t.Parallel()
	c := startCluster(t, harness.Options{Members: 4, RaftNodes: 3, Ranges: 8})
	for d := range api.DestinationID(4) {
		require.NoError(t, c.Platform.Destination(d+1).SetBehaviour(platform.Slow(leaseTTL/5)))
	}
	stop := startLoad(c)
	for range 3 {
		sleepTTLs(0.5)
		drained := ownerOfMostRanges(c)
		c.ReloadOperatorFiles(fmt.Sprintf("leave %q {}\n", drained.Name))
		c.AwaitStable(drained)
	}
	stop()
	c.Check()
}
