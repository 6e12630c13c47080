package cluster

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/test/checker/deliverycheck"
	"rowanlink/test/integration/harness"
)

// startLoaded is a fleet under load in which all members want the errand, by clocks as far apart as may be.
func startLoaded(t *testing.T) (f *harness.Cluster, stop func()) {
	f = startCluster(t, harness.Options{Members: 4, RaftNodes: 3, Ranges: 8, ClockRates: driftingClocks, CheckedResources: []string{checkedResource}})
	slowDestinations(t, f)
	awaitOperations(f)
	return f, startLoad(f)
}

// Guards against a folder that is full and takes more than its own member with it: tasks go to others, what
// can't be written is not taken on, and once there is room all goes on, with nobody's help.
func TestDiskFull_RecoversByItself(t *testing.T) {
	for name, who := range map[string]func(f *harness.Cluster) *harness.Member{
		"of the leading keeper": (*harness.Cluster).AwaitLeader,
		"of a home":             func(f *harness.Cluster) *harness.Member { m, _ := awaitOwner(f); return m },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, stop := startLoaded(t)
			m := who(f)
			mark := m.Log.Offset()
			m.LimitFileSize(1)
			if m == f.Leader() { // at rest the log is not written
				f.Member("m4").Restart()
			}
			m.AwaitLogFrom(mark, "file too large")
			sleepTTLs(2)
			assert.True(t, m.IsRunning())
			m.LimitFileSize(0)
			f.AwaitStable()
			awaitOperations(f)
			stop()
			f.Check(deliverycheck.Order) // a home that is lost keeps what it had to itself for a while
		})
	}
}

// Guards against webhooks that are lost, or called with twice, where the log stands still and comes back.
func TestRaft_MajorityKilledUnderLoad(t *testing.T) {
	t.Parallel()
	f, stop := startLoaded(t)
	for _, first := range []int{0, 1} {
		gone, marks := f.RaftNodes()[first:first+2], f.LogOffsets()
		for _, m := range gone {
			m.Kill()
		}
		for _, m := range f.Members {
			if m.IsRunning() {
				m.AwaitLogFrom(marks[m], "session over")
			}
		}
		taken := f.Platform.Checker.Counts().Accepted
		sleepTTLs(1.5)
		assert.Greater(t, f.Platform.Checker.Counts().Accepted, taken, "nothing is taken on without a majority")
		for _, m := range gone {
			m.StartAsync()
		}
		for _, m := range gone {
			m.AwaitReady()
		}
		f.AwaitStable()
		awaitOperations(f)
	}
	stop()
	f.Check(deliverycheck.Order)
}

// Guards against two that act at once where clocks run apart and members stand still for half a term to
// three, each that holds the errand in turn.
func TestLease_PausedHoldersWithDriftingClocks(t *testing.T) {
	t.Parallel()
	f := startLeaseChecked(t, driftingClocks)
	slowDestinations(t, f)
	stop := startLoad(f)
	for _, terms := range []float64{0.5, 1, 1.5, 3} {
		who, _ := awaitOperation(f)
		who.Pause()
		sleepTTLs(terms)
		who.Resume()
		awaitOperations(f)
	}
	f.AwaitStable()
	stop()
	f.Check(deliverycheck.Order)
}
