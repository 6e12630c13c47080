// Package cluster has scenarios of a cluster of real members: faults, and what must hold all the same. The lease checker
// sees each operation on the checked resource, the delivery checker each webhook and call; no time is asserted.
package cluster

import (
	"context"
	"os"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rowanlink/test/checker/leasecheck"
	"rowanlink/test/fake/platform"
	"rowanlink/test/integration/harness"
	"rowanlink/webhook/api"
)

// leaseTTL is short, so that leases expire while a fault lasts.
const leaseTTL = time.Second

// checkedResource is a resource of tests only: its holder reports each operation to the lease checker.
const checkedResource = "checked"

var binary string

func TestMain(m *testing.M) {
	built, remove, err := harness.Build("../../..", "rowan-clustered")
	if err != nil {
		panic(err)
	}
	binary = built
	code := m.Run()
	remove()
	os.Exit(code)
}

// runningClusters limits how many clusters run at once: each is several processes with short lease TTLs, and on a
// machine that is too busy for them sessions expire without a fault.
var runningClusters = make(chan bool, max(2, runtime.NumCPU()/2))

// startCluster starts a cluster with a short lease TTL and waits until all ranges have an owner.
func startCluster(t *testing.T, s harness.Options) *harness.Cluster {
	t.Helper()
	runningClusters <- true
	t.Cleanup(func() { <-runningClusters })
	if s.Binary = binary; s.LeaseTTL == 0 {
		s.LeaseTTL = leaseTTL
	}
	c := harness.Start(t, s)
	c.AwaitStable()
	return c
}

// startLoad submits webhooks of each rule at every member, until stop, which waits for all outcomes. The order of a key
// is that in which one member accepts them, so each key is submitted at one member.
func startLoad(c *harness.Cluster) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	types := []string{"status", "paid", "charge"}
	next := func(n int) platform.Webhook {
		return platform.Webhook{
			Type:        types[n%3],
			Destination: api.DestinationID(1 + n/3%4),
			TTL:         8 * time.Second,
			Body:        "a webhook's body",
		}
	}
	waits := []func(){c.Platform.StartLoad(ctx, platform.Load{
		Members:   c.Names(),
		PerSecond: 90,
		Clients:   12,
		Next:      next,
	})}
	for _, name := range c.Names() {
		waits = append(waits, c.Platform.StartLoad(ctx, platform.Load{
			Members:   []string{name},
			PerSecond: 40,
			Clients:   2,
			Next: func(n int) platform.Webhook {
				w := next(3 * n)
				w.Type, w.Key = "ride", name
				return w
			},
		}))
	}
	return func() {
		cancel()
		for _, wait := range waits {
			wait()
		}
		c.AwaitOutcomes()
	}
}

// slowDestinations has all destinations take a while, so that calls are in flight when something happens.
func slowDestinations(t *testing.T, c *harness.Cluster) {
	for d := range api.DestinationID(4) {
		require.NoError(t, c.Platform.Destination(d+1).SetBehaviour(platform.Slow(60*time.Millisecond)))
	}
}

// lastOperation returns the operation on the checked resource that began last.
func lastOperation(c *harness.Cluster) (d leasecheck.Operation) {
	if all := c.LeaseChecker.Operations(checkedResource); len(all) > 0 {
		return all[len(all)-1]
	}
	return d
}

// awaitOperation waits until the holder of the checked resource is in the midst of an operation, and returns the holder
// and its epoch. If members are given, it has to be one of them.
func awaitOperation(c *harness.Cluster) (holder *harness.Member, epoch uint64) {
	c.Eventually("an operation is in flight", func() bool {
		operation := lastOperation(c)
		if operation.Epoch == 0 || operation.Until != api.Never {
			return false
		}
		holder, epoch = c.Member(operation.Member), operation.Epoch
		return true
	})
	return holder, epoch
}

// awaitNewHolder waits until an operation of a later epoch has ended.
func awaitNewHolder(c *harness.Cluster, epoch uint64) {
	c.Eventually("another holder has done an operation", func() bool {
		d := lastOperation(c)
		return d.Epoch > epoch && d.Until != api.Never
	})
}

// awaitOperations waits until some more operations have ended, of any holder.
func awaitOperations(c *harness.Cluster) {
	n := len(c.LeaseChecker.Operations(checkedResource))
	c.Eventually("operations go on", func() bool { return len(c.LeaseChecker.Operations(checkedResource)) > n+3 })
}

// sleepTTLs sleeps for a number of lease TTLs.
func sleepTTLs(ttls float64) { time.Sleep(time.Duration(ttls * float64(leaseTTL))) }
