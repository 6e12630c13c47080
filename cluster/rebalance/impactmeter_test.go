package rebalance

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
)

const second = api.Second

// newMonitoredSimulation returns a simulation in which all ranges are moving by a plan with stop conditions, with the
// range of destination 7 and its move.
func newMonitoredSimulation(t *testing.T) (sim *simulation, at cluster.RangeID, move shardmap.MoveID) {
	sim = newSimulation(t, "a", "a")
	require.NoError(t, sim.adoptPlan(twoMembers+"leave \"a\" {}\nbounds { moves_at_once = 2 }\nstop_when {\n late = 0.1\n"+
		" sick = true\n}\n"))
	for sim.applyActions() > 0 {
	}
	r, _ := sim.shards.RangeOf(cluster.DestinationKeyHash(7))
	return sim, r.ID, r.Move.ID
}

func noneUnhealthy(shardmap.Range) []api.DestinationID { return nil }
func destination7Unhealthy(r shardmap.Range) []api.DestinationID {
	if k := cluster.DestinationKeyHash(7); r.From <= k && k <= r.To {
		return []api.DestinationID{7}
	}
	return nil
}

// Outcomes before a move are its baseline, and those since it began are its impact. Each webhook counts once, whichever
// member counted it. The reason for the stop names the outcome, the range and the share.
func TestImpact_IsMeasuredAgainstTheBaseline(t *testing.T) {
	sim, at, _ := newMonitoredSimulation(t)
	source, target := NewImpactMeter(1, second, 0), NewImpactMeter(2, second, 0)
	source.CountOutcomes(7, Outcomes{Total: 100, Late: 10})
	moves := sim.progress.MonitoredMoves(sim.file, sim.shards)
	require.Len(t, moves, 2)
	for _, meter := range []*ImpactMeter{source, target} {
		meter.ObserveMap(sim.shards, noneUnhealthy, second)
	}
	source.CountOutcomes(7, Outcomes{Total: 20, Late: 3})
	target.CountOutcomes(7, Outcomes{Total: 20, Late: 6})
	var collector ImpactCollector
	for range 2 { // a repeated report counts once
		collector.AddReport(1, "a", source.Report(1, moves, sim.shards, noneUnhealthy, 2*second))
		collector.AddReport(1, "b", target.Report(1, moves, sim.shards, noneUnhealthy, 2*second))
	}
	var newCollector ImpactCollector // of a new coordinator
	for id, meter := range map[cluster.MemberID]*ImpactMeter{"a": source, "b": target} {
		newCollector.AddReport(1, id, meter.Report(1, moves, sim.shards, noneUnhealthy, 2*second))
	}
	impact := collector.Impact(1)
	assert.Equal(t, impact, newCollector.Impact(1))
	assert.Equal(t, Outcomes{Total: 40, Late: 9}, impact.During)
	assert.Equal(t, Outcomes{Total: 100, Late: 10}, impact.Baseline)
	reason := degradation(sim.file.StopConditions, impact)
	assert.Contains(t, reason, "0.225 of webhooks late")
	assert.Contains(t, reason, "(9 of 40), 0.1 before; line 5 stops at 0.1 more")
	assert.Contains(t, reason, "most in range "+formatRangeID(at))

	// The member that counted most of it is killed and restarts: its last report still counts.
	restarted := NewImpactMeter(3, second, 0)
	for range 2 {
		collector.AddReport(1, "b", restarted.Report(1, moves, sim.shards, noneUnhealthy, 2*second))
		restarted.CountOutcomes(7, Outcomes{Total: 1, Late: 1})
	}
	assert.Equal(t, Outcomes{Total: 41, Late: 10}, collector.Impact(1).During)
	// Another plan is not stopped by the impact of an earlier one.
	assert.Empty(t, collector.Impact(2).Ranges)
	collector.AddReport(2, "b", target.Report(2, moves, sim.shards, noneUnhealthy, 3*second))
	assert.Equal(t, Outcomes{}, collector.Impact(2).During)
}

// A destination counts as unhealthy only if neither owner of its range found it unhealthy when the move began.
func TestImpact_CountsOnlyDestinationsThatWereHealthy(t *testing.T) {
	for name, c := range map[string]struct {
		before    UnhealthyFunc
		unhealthy int
	}{"healthy before": {noneUnhealthy, 1}, "unhealthy before": {destination7Unhealthy, 0}} {
		t.Run(name, func(t *testing.T) {
			sim, at, _ := newMonitoredSimulation(t)
			source, target, moves := NewImpactMeter(1, second, 0), NewImpactMeter(2, second, 0), sim.progress.MonitoredMoves(sim.file, sim.shards)
			source.ObserveMap(sim.shards, c.before, 0)
			target.ObserveMap(sim.shards, noneUnhealthy, 0)
			var collector ImpactCollector
			collector.AddReport(1, "a", source.Report(1, moves, sim.shards, noneUnhealthy, 1))
			collector.AddReport(1, "b", target.Report(1, moves, sim.shards, destination7Unhealthy, 1))
			assert.Len(t, collector.Impact(1).Unhealthy, c.unhealthy)
			if c.unhealthy > 0 {
				assert.Equal(t, UnhealthyDestination{7, at}, collector.Impact(1).Unhealthy[0])
			}
		})
	}
}

// No moves are monitored before one has started, once all steps are done, once the plan is stopped, or if the file has
// no stop conditions.
func TestMonitoredMoves_EmptyUnlessPlanRuns(t *testing.T) {
	sim, _, _ := newMonitoredSimulation(t)
	assert.Len(t, sim.progress.MonitoredMoves(sim.file, sim.shards), 2)
	withoutConditions := *sim.file
	withoutConditions.StopConditions.Line = 0
	assert.Empty(t, sim.progress.MonitoredMoves(&withoutConditions, sim.shards))
	stopped := *sim.progress
	stopped.StopReason = "x"
	assert.Empty(t, stopped.MonitoredMoves(sim.file, sim.shards))
	for len(sim.openMoves()) > 0 {
		sim.advanceMove(sim.openMoves()[0])
	}
	for sim.applyActions() > 0 {
	}
	assert.Empty(t, sim.progress.MonitoredMoves(sim.file, sim.shards))
	notStarted := newSimulation(t, "a")
	require.NoError(t, notStarted.adoptPlan(twoMembers+"leave \"a\" {}\nstop_when { sick = true }\n"))
	assert.Empty(t, notStarted.progress.MonitoredMoves(notStarted.file, notStarted.shards))
}

// A baseline reaches back two windows at most, and moves that ended are forgotten, so that a member that runs for long
// neither compares with old outcomes nor accumulates moves.
func TestImpactMeter_BaselineIsRecent(t *testing.T) {
	sim, _, move := newMonitoredSimulation(t)
	meter := NewImpactMeter(1, second, 0)
	empty := shardmap.New(nil)
	meter.CountOutcomes(7, Outcomes{Total: 1000})
	for n := 1; n < 4; n++ {
		meter.ObserveMap(empty, noneUnhealthy, api.Micros(n)*baselineTTLs*second)
		meter.CountOutcomes(7, Outcomes{Total: 1})
	}
	meter.ObserveMap(sim.shards, noneUnhealthy, 3*baselineTTLs*second)
	assert.Equal(t, uint64(2), meter.moves[move].baseline.Total)
	meter.ObserveMap(empty, noneUnhealthy, 5*baselineTTLs*second)
	assert.Empty(t, meter.moves)
}
