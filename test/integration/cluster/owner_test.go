package cluster

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/test/checker/deliverycheck"
	"rowanlink/test/integration/harness"
	"rowanlink/webhook/api"
)

// awaitOwner are a home of some destination and another member; neither leads the keepers, so that a broken link
// between them ends no session.
func awaitOwner(f *harness.Cluster) (home, entry *harness.Member) {
	f.Eventually("a destination's home does not lead", func() bool {
		leader := f.Leader()
		for d := range api.DestinationID(4) {
			if m := f.Owner(d + 1); leader != nil && m != nil && m != leader {
				home = m
			}
		}
		for _, m := range f.Members {
			if home != nil && m != home && m != leader {
				entry = m
			}
		}
		return home != nil
	})
	return home, entry
}

// anyMetricPositive tells whether some member counts more than none of something.
func anyMetricPositive(f *harness.Cluster, metric string) bool {
	for _, m := range f.Members {
		if v, ok := m.Metric(metric); ok && v != "0" {
			return true
		}
	}
	return false
}

// runScenario plays a fault under load at a fleet of its own; no rule may break, but for those named. Where a home
// is lost for longer than a term, what lies in its journal comes after what the next home takes meanwhile,
// whatever its key.
func runScenario(t *testing.T, fault func(f *harness.Cluster, home, entry *harness.Member),
	but ...deliverycheck.Rule) {
	t.Parallel()
	f := startCluster(t, harness.Options{Ranges: 8})
	slowDestinations(t, f)
	stop := startLoad(f)
	sleepTTLs(0.5)
	home, entry := awaitOwner(f)
	fault(f, home, entry)
	sleepTTLs(0.5)
	assert.True(t, anyMetricPositive(f, "member_forwarded_total"), "nothing was forwarded: the story tells nothing")
	stop()
	f.AwaitStable()
	f.Check(but...)
	t.Logf("%+v", f.Platform.Checker.Counts())
}

func TestOwner_KilledAndRestartedAfterFailover(t *testing.T) {
	runScenario(t, func(f *harness.Cluster, home, _ *harness.Member) {
		home.Kill()
		f.AwaitServed()
		home.Start()
	}, deliverycheck.Order)
}

func TestOwner_KilledAndRestartedAtOnce(t *testing.T) {
	runScenario(t, func(f *harness.Cluster, home, _ *harness.Member) {
		home.Restart()
		home.Restart()
	}, deliverycheck.Order)
}

func TestOwner_Paused(t *testing.T) {
	runScenario(t, func(f *harness.Cluster, home, _ *harness.Member) {
		for _, terms := range []float64{0.5, 1.2, 3} {
			home.Pause()
			sleepTTLs(terms)
			home.Resume()
			sleepTTLs(0.5)
			home, _ = awaitOwner(f)
		}
	}, deliverycheck.Order)
}

func TestOwner_PartitionedFromOneMember(t *testing.T) {
	runScenario(t, func(f *harness.Cluster, home, entry *harness.Member) {
		f.Network.SetFaultBetween(home.Name, entry.Name, harness.Partition)
		sleepTTLs(2)
		f.Network.Heal()
		assert.True(t, anyMetricPositive(f, "member_doubts_total"), "no forward was in doubt")
	})
}

func TestOwner_PartitionedFromAll(t *testing.T) {
	runScenario(t, func(f *harness.Cluster, home, _ *harness.Member) {
		f.Network.Isolate(harness.Partition, home.Name)
		sleepTTLs(2.5)
		f.Network.Heal()
	}, deliverycheck.Order)
}

func TestOwner_ResponsesLostHalfway(t *testing.T) {
	runScenario(t, func(f *harness.Cluster, home, entry *harness.Member) {
		for _, after := range []int{1, 90, 400} {
			f.Network.SetFault(home.Name, entry.Name, harness.ResetAfterBytes(after))
			sleepTTLs(0.7)
		}
		assert.True(t, anyMetricPositive(f, "member_doubts_total"), "no forward was in doubt")
		f.Network.Heal()
	})
}

func TestForward_ForwardingMemberKilled(t *testing.T) {
	runScenario(t, func(f *harness.Cluster, home, entry *harness.Member) {
		f.Network.SetFault(home.Name, entry.Name, harness.ResetAfterBytes(1))
		sleepTTLs(0.5)
		entry.Kill()
		f.Network.Heal()
		entry.Start()
		require.True(t, entry.IsRunning())
	})
}
