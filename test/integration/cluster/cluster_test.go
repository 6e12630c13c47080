// Package cluster has the stories of a fleet of real members: what befalls them, and what must hold all the
// same. The guard sees every deed of a task, the ledger every webhook and call; no time is asserted.
package cluster

import (
	"context"
	"os"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rowanlink/test/checker/leasecheck"
	"rowanlink/test/fake/platform"
	"rowanlink/test/integration/harness"
	"rowanlink/webhook/api"
)

const leaseTTL = time.Second

// checkedResource is a task of tests only: whoever has it tells the guard of each deed.
const checkedResource = "errand"

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

// runningClusters bounds how many play at once: each is some processes whose terms are short, and where the machine is
// too busy for them sessions end that no fault ended.
var runningClusters = make(chan bool, max(2, runtime.NumCPU()/2))

// startCluster starts a fleet with short terms, and waits until all ranges are homed.
func startCluster(t *testing.T, s harness.Options) *harness.Cluster {
	t.Helper()
	runningClusters <- true
	t.Cleanup(func() { <-runningClusters })
	if s.Binary = binary; s.LeaseTTL == 0 {
		s.LeaseTTL = leaseTTL
	}
	f := harness.Start(t, s)
	f.AwaitStable()
	return f
}

// startLoad hands in at every member, webhooks of each rule, until stop, which waits for all ends. A key's order
// is the one in which one member takes them, so each key is handed in at one.
func startLoad(f *harness.Cluster) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	types := []string{"status", "paid", "charge"}
	next := func(n int) platform.Webhook {
		return platform.Webhook{Type: types[n%3], Destination: api.DestinationID(1 + n/3%4), TTL: 8 * time.Second,
			Body: "a webhook's body"}
	}
	waits := []func(){f.Platform.StartLoad(ctx, platform.Load{Members: f.Names(), PerSecond: 90, Clients: 12,
		Next: next})}
	for _, name := range f.Names() {
		waits = append(waits, f.Platform.StartLoad(ctx, platform.Load{Members: []string{name}, PerSecond: 40, Clients: 2,
			Next: func(n int) platform.Webhook {
				w := next(3 * n)
				w.Type, w.Key = "ride", name
				return w
			}}))
	}
	return func() {
		cancel()
		for _, wait := range waits {
			wait()
		}
		f.AwaitOutcomes()
	}
}

// slowDestinations has all destinations take a while, so that calls are out when something happens.
func slowDestinations(t *testing.T, f *harness.Cluster) {
	for d := range api.DestinationID(4) {
		require.NoError(t, f.Platform.Destination(d+1).SetBehaviour(platform.Slow(60*time.Millisecond)))
	}
}

// lastOperation is the errand's deed that began last.
func lastOperation(f *harness.Cluster) (d leasecheck.Operation) {
	if all := f.LeaseChecker.Operations(checkedResource); len(all) > 0 {
		return all[len(all)-1]
	}
	return d
}

// awaitOperation waits until the errand's holder, one that is in `of` where that is not empty, is in the midst of a
// deed.
func awaitOperation(f *harness.Cluster, of ...*harness.Member) (who *harness.Member, epoch uint64) {
	f.Eventually("a deed is under way", func() bool {
		d := lastOperation(f)
		if d.Epoch == 0 || d.Until != api.Never {
			return false
		}
		who, epoch = f.Member(d.Member), d.Epoch
		return len(of) == 0 || slices.Contains(of, who)
	})
	return who, epoch
}

// awaitNewHolder waits until a deed by a later epoch has ended.
func awaitNewHolder(f *harness.Cluster, epoch uint64) {
	f.Eventually("the errand is taken up anew", func() bool {
		d := lastOperation(f)
		return d.Epoch > epoch && d.Until != api.Never
	})
}

// awaitOperations waits until some more deeds have ended, by whomever.
func awaitOperations(f *harness.Cluster) {
	n := len(f.LeaseChecker.Operations(checkedResource))
	f.Eventually("deeds go on", func() bool { return len(f.LeaseChecker.Operations(checkedResource)) > n+3 })
}

// sleepTTLs is a part of a term, for a fault to last.
func sleepTTLs(terms float64) { time.Sleep(time.Duration(terms * float64(leaseTTL))) }
