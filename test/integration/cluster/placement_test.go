package cluster

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"rowanlink/test/checker/deliverycheck"
	"rowanlink/test/fake/platform"
	"rowanlink/test/integration/harness"
)

// A destination joins a site while its owner is partitioned and continues by its old map, with a lease that hasn't
// expired. There are no two callers at once: the coordinator has read the file and the others have not, and the next
// owner waits until the previous one has released the destination.
func TestPlacement_PartitionedOwnerOfAJoiningDestination(t *testing.T) {
	runSiteScenario(t, func(c *harness.Cluster) {
		coordinator, joining := findCoordinator(c), direct[0]
		if c.Owner(joining) == coordinator {
			joining = direct[2]
		}
		was := c.Owner(joining)
		ctx, cancel := context.WithCancel(context.Background())
		wait := c.Platform.StartLoad(ctx, platform.Load{
			Members:   []string{"m1", "m2", "m3"},
			PerSecond: 60,
			Clients:   9,
			Next: func(int) platform.Webhook {
				return platform.Webhook{Type: "charge", Destination: joining, TTL: 20 * time.Second, Body: "one"}
			},
		})
		sleepSiteTTLs(0.2)
		offsets := c.LogOffsets()
		c.Network.Isolate(harness.Partition, was.Name)
		c.WriteOperatorFiles(strings.Replace(twoSites, "31, 32, 33", fmt.Sprintf("31, 32, 33, %d", joining), 1))
		coordinator.SendHangup()
		c.AwaitLog(offsets, "INFO destinations placed")
		sleepSiteTTLs(0.25)
		c.Network.Heal()
		was.AwaitLogFrom(offsets[was], "INFO misplaced destinations released")
		sleepSiteTTLs(0.1)
		until := c.Platform.Now()
		for _, m := range c.Members { // the other members read the file one by one
			sleepSiteTTLs(0.1)
			m.SendHangup()
		}
		sleepSiteTTLs(0.3)
		cancel()
		wait()
		assert.Empty(t, c.Platform.Checker.ConcurrentCalls(joining, until), "%s coordinates, %s was the owner", coordinator.Name, was.Name)
	}, deliverycheck.Order, deliverycheck.Overlap, deliverycheck.ForkOverlap) // a relay may be cut off from its sender, too
}

// findCoordinator returns the member that became the coordinator last.
func findCoordinator(c *harness.Cluster) (who *harness.Member) {
	var at time.Time
	for _, m := range c.RaftNodes() {
		for _, line := range m.Log.FindAll(0, "INFO rebalance coordinator started ") {
			if line.At.After(at) {
				who, at = m, line.At
			}
		}
	}
	return who
}
