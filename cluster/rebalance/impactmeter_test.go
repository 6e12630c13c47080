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

// newMonitoredSimulation returns a simulation whose ranges all move by a plan with stop conditions, and the range and
// the move of destination 7.
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

// Outcomes before a move are its baseline, those after it count against it, each webhook once, whichever member counted
// it; the reason names the measure, the range and the share.
func TestImpact_IsMeasuredAgainstTheBaseline(t *testing.T) {
	sim, at, _ := newMonitoredSimulation(t)
	source, target := NewImpactMeter(1, second, 0), NewImpactMeter(2, second, 0)
	source.CountOutcomes(7, Outcomes{Total: 100, Late: 10})
	of := sim.progress.MonitoredMoves(sim.file, sim.shards)
	require.Len(t, of, 2)
	for _, y := range []*ImpactMeter{source, target} {
		y.ObserveMap(sim.shards, noneUnhealthy, second)
	}
	source.CountOutcomes(7, Outcomes{Total: 20, Late: 3})
	target.CountOutcomes(7, Outcomes{Total: 20, Late: 6})
	var g ImpactCollector
	for range 2 { // a repeated report counts once
		g.AddReport(1, "a", source.Report(1, of, sim.shards, noneUnhealthy, 2*second))
		g.AddReport(1, "b", target.Report(1, of, sim.shards, noneUnhealthy, 2*second))
	}
	var another ImpactCollector // of a new coordinator
	for id, y := range map[cluster.MemberID]*ImpactMeter{"a": source, "b": target} {
		another.AddReport(1, id, y.Report(1, of, sim.shards, noneUnhealthy, 2*second))
	}
	h := g.Impact(1)
	assert.Equal(t, h, another.Impact(1))
	assert.Equal(t, Outcomes{Total: 40, Late: 9}, h.During)
	assert.Equal(t, Outcomes{Total: 100, Late: 10}, h.Baseline)
	why := degradation(sim.file.StopConditions, h)
	assert.Contains(t, why, "0.225 of webhooks late")
	assert.Contains(t, why, "(9 of 40), 0.1 before; line 5 stops at 0.1 more")
	assert.Contains(t, why, "most in range "+formatRangeID(at))

	// The member that counted most of it is killed and restarts: its last report still counts.
	back := NewImpactMeter(3, second, 0)
	for range 2 {
		g.AddReport(1, "b", back.Report(1, of, sim.shards, noneUnhealthy, 2*second))
		back.CountOutcomes(7, Outcomes{Total: 1, Late: 1})
	}
	assert.Equal(t, Outcomes{Total: 41, Late: 10}, g.Impact(1).During)
	// Another plan is not stopped by the impact of an earlier one.
	assert.Empty(t, g.Impact(2).Ranges)
	g.AddReport(2, "b", target.Report(2, of, sim.shards, noneUnhealthy, 3*second))
	assert.Equal(t, Outcomes{}, g.Impact(2).During)
}

// A destination counts as unhealthy only if it was healthy when its move began, by whichever owner of its range.
func TestImpact_CountsOnlyDestinationsThatWereHealthy(t *testing.T) {
	for name, c := range map[string]struct {
		before UnhealthyFunc
		sick   int
	}{"well before": {noneUnhealthy, 1}, "sick before": {destination7Unhealthy, 0}} {
		t.Run(name, func(t *testing.T) {
			sim, at, _ := newMonitoredSimulation(t)
			source, target, of := NewImpactMeter(1, second, 0), NewImpactMeter(2, second, 0), sim.progress.MonitoredMoves(sim.file, sim.shards)
			source.ObserveMap(sim.shards, c.before, 0)
			target.ObserveMap(sim.shards, noneUnhealthy, 0)
			var g ImpactCollector
			g.AddReport(1, "a", source.Report(1, of, sim.shards, noneUnhealthy, 1))
			g.AddReport(1, "b", target.Report(1, of, sim.shards, destination7Unhealthy, 1))
			assert.Len(t, g.Impact(1).Unhealthy, c.sick)
			if c.sick > 0 {
				assert.Equal(t, UnhealthyDestination{7, at}, g.Impact(1).Unhealthy[0])
			}
		})
	}
}

// No member is polled before a move has started, once all steps are done, once the plan is stopped, or if the file has
// no stop conditions.
func TestMonitoredMoves_EmptyUnlessPlanRuns(t *testing.T) {
	sim, _, _ := newMonitoredSimulation(t)
	assert.Len(t, sim.progress.MonitoredMoves(sim.file, sim.shards), 2)
	silent := *sim.file
	silent.StopConditions.Line = 0
	assert.Empty(t, sim.progress.MonitoredMoves(&silent, sim.shards))
	stopped := *sim.progress
	stopped.StopReason = "x"
	assert.Empty(t, stopped.MonitoredMoves(sim.file, sim.shards))
	for len(sim.openMoves()) > 0 {
		sim.advanceMove(sim.openMoves()[0])
	}
	for sim.applyActions() > 0 {
	}
	assert.Empty(t, sim.progress.MonitoredMoves(sim.file, sim.shards))
	fresh := newSimulation(t, "a")
	require.NoError(t, fresh.adoptPlan(twoMembers+"leave \"a\" {}\nstop_when { sick = true }\n"))
	assert.Empty(t, fresh.progress.MonitoredMoves(fresh.file, fresh.shards))
}

// A baseline doesn't reach back beyond two windows, and moves are forgotten, however long a member runs.
func TestImpactMeter_BaselineIsRecent(t *testing.T) {
	sim, _, move := newMonitoredSimulation(t)
	y := NewImpactMeter(1, second, 0)
	empty := shardmap.New(nil)
	y.CountOutcomes(7, Outcomes{Total: 1000})
	for n := 1; n < 4; n++ {
		y.ObserveMap(empty, noneUnhealthy, api.Micros(n)*baselineTTLs*second)
		y.CountOutcomes(7, Outcomes{Total: 1})
	}
	y.ObserveMap(sim.shards, noneUnhealthy, 3*baselineTTLs*second)
	assert.Equal(t, uint64(2), y.moves[move].baseline.Total)
	y.ObserveMap(empty, noneUnhealthy, 5*baselineTTLs*second)
	assert.Empty(t, y.moves)
}
