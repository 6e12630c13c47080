package cluster

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"rowanlink/test/checker/deliverycheck"
	"rowanlink/test/integration/harness"
)

// Guards against a step of a move that can't be the last one before a stop of more than a term, or before a
// cut: what stood still or was cut off goes on afterwards with what it had, and what was on its way comes
// late.
func TestMove_PauseOrPartitionAfterEachStep(t *testing.T) {
	steps := []string{"move planned", "move warms", "move passes", "home switched", "move cleared"}
	for _, step := range steps {
		for _, how := range []string{"stopped", "cut off"} {
			t.Run(step+", "+how, func(t *testing.T) {
				t.Parallel()
				f := startCluster(t, harness.Options{Members: 4, RaftNodes: 3, Ranges: 8,
					ClockRates: map[string]float64{"m1": 1.024, "m2": 0.976}})
				slowDestinations(t, f)
				stop := startLoad(f)
				for _, role := range []string{"source", "target", "conductor"} {
					leaver, marks := ownerOfMostRanges(f), f.LogOffsets()
					f.ReloadOperatorFiles(fmt.Sprintf("leave %q {}\n", leaver.Name))
					who := awaitRole(f, role, step, leaver, marks)
					t.Logf("%s leaves, %s, %s, is %s", leaver.Name, role, who.Name, how)
					if how == "stopped" {
						who.Pause()
						sleepTTLs(1.6)
						who.Resume()
					} else {
						f.Network.Isolate(harness.Partition, who.Name)
						sleepTTLs(1.6)
						f.Network.Heal()
					}
					f.AwaitStable(leaver)
				}
				stop()
				f.Check(deliverycheck.Order) // a home that is lost keeps what it had to itself for a while
			})
		}
	}
}

// awaitRole waits for a step of a move and returns who plays a role in it.
func awaitRole(f *harness.Cluster, role, step string, leaver *harness.Member,
	marks map[*harness.Member]int) *harness.Member {
	said := f.AwaitLog(marks, "INFO "+step+" ")
	switch role {
	case "target":
		if line, ok := said.Log.Find(marks[said], "INFO "+step+" ", " to="); ok {
			return f.Member(targetField.FindStringSubmatch(line.Text)[1])
		}
		return said
	case "conductor":
		return f.AwaitLog(marks, "INFO move planned ")
	}
	return leaver
}

// Guards against a task that two do, and webhooks that two call with, over links that are only bad.
func TestLease_DelayedThrottledAndResetLinks(t *testing.T) {
	t.Parallel()
	f := startCluster(t, harness.Options{Members: 4, RaftNodes: 3, CheckedResources: []string{checkedResource}, ClockRates: driftingClocks})
	slowDestinations(t, f)
	stop := startLoad(f)
	for name, fault := range map[string]harness.Fault{"late": harness.Delayed(leaseTTL / 4), "slow": harness.Throttled(4000),
		"half-way": harness.ResetAfterBytes(900)} {
		who, _ := awaitOperation(f)
		for _, m := range []*harness.Member{who, f.AwaitLeader()} {
			f.Network.Isolate(fault, m.Name)
			sleepTTLs(1.5)
			f.Network.Heal()
			awaitOperations(f)
		}
		f.Check(deliverycheck.Order)
		require.False(t, t.Failed(), name)
	}
	stop()
	f.Check(deliverycheck.Order)
}

// Guards against a keeper that comes back with nothing and votes, or is never counted again: without it there
// is no majority afterwards.
func TestRaft_NodeRestartsWithoutItsState(t *testing.T) {
	t.Parallel()
	f := startCluster(t, harness.Options{Members: 4, RaftNodes: 3, CheckedResources: []string{checkedResource}})
	stop := startLoad(f)
	was, marks := f.AwaitLeader(), f.LogOffsets()
	was.Kill()
	was.DeleteState()
	was.Start()
	f.AwaitLog(marks, "raft voter added")
	for _, other := range f.RaftNodes() {
		if other != was {
			other.Kill()
			f.AwaitLeader()
			awaitOperations(f)
			other.Start()
			break
		}
	}
	stop()
	f.Check(deliverycheck.Order)
}
