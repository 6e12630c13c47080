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

// A destination comes to stand behind a relay while its home is cut off and goes on by the map that it has,
// by a grant that still stands. Guards against two that call it at once: whoever conducts has read the file
// and the others have not, and the next home waits until the one before is heard of.
func TestPlacement_PartitionedOwnerOfAJoiningDestination(t *testing.T) {
	runSiteScenario(t, func(f *harness.Cluster) {
		conducts, joins := findCoordinator(f), direct[0]
		if f.Owner(joins) == conducts {
			joins = direct[2]
		}
		was := f.Owner(joins)
		ctx, cancel := context.WithCancel(context.Background())
		wait := f.Platform.StartLoad(ctx, platform.Load{Members: []string{"m1", "m2", "m3"}, PerSecond: 60, Clients: 9,
			Next: func(int) platform.Webhook {
				return platform.Webhook{Type: "charge", Destination: joins, TTL: 20 * time.Second, Body: "one"}
			}})
		sleepSiteTTLs(0.2)
		marks := f.LogOffsets()
		f.Network.Isolate(harness.Partition, was.Name)
		f.WriteOperatorFiles(strings.Replace(twoSites, "31, 32, 33", fmt.Sprintf("31, 32, 33, %d", joins), 1))
		conducts.SendHangup()
		f.AwaitLog(marks, "INFO destinations placed")
		sleepSiteTTLs(0.25)
		f.Network.Heal()
		was.AwaitLogFrom(marks[was], "INFO destinations let go")
		sleepSiteTTLs(0.1)
		until := f.Platform.Now()
		for _, m := range f.Members { // the other members read the file one by one
			sleepSiteTTLs(0.1)
			m.SendHangup()
		}
		sleepSiteTTLs(0.3)
		cancel()
		wait()
		assert.Empty(t, f.Platform.Checker.ConcurrentCalls(joins, until), "%s conducts, %s was home", conducts.Name, was.Name)
	}, deliverycheck.Order, deliverycheck.Overlap) // a relay may be cut off from its sender, too
}

// findCoordinator is who said last that it conducts.
func findCoordinator(f *harness.Cluster) (who *harness.Member) {
	var at time.Time
	for _, m := range f.RaftNodes() {
		for _, line := range m.Log.FindAll(0, "INFO conducts ") {
			if line.At.After(at) {
				who, at = m, line.At
			}
		}
	}
	return who
}
