package rebalance

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
)

const twoMembers = "member \"a\" { zone = \"x\" }\nmember \"b\" { zone = \"y\" }\n"

// A range whose value alone exceeds the limit is blocked, but doesn't block others. A range whose value exceeds only
// what is left of the limit blocks later ones, so that it can't be overtaken forever.
func TestSchedule_LimitsValueInFlight(t *testing.T) {
	text := twoMembers + "pin \"all\" {\n hashes = [\"0\", \"0xffffffffffffffff\"]\n to = \"b\"\n}\n" +
		"bounds {\n moves_at_once = 9\n value_under_way = 10\n}\n"
	sim := newSimulation(t, "a", "a", "a", "a", "a")
	values := map[cluster.RangeID]float64{1: 11, 2: 6, 3: 5, 4: 1, 5: 1}
	sim.rangeValue = func(id cluster.RangeID) float64 { return values[id] }
	require.NoError(t, sim.adoptPlan(text))
	startedRanges := func() (all []cluster.RangeID) {
		for _, a := range sim.schedule().Actions {
			if a.Kind == ActionStart {
				all = append(all, a.Range)
			}
		}
		return all
	}
	assert.Equal(t, []cluster.RangeID{2}, startedRanges())
	for _, blocked := range sim.schedule().Blocked {
		assert.Contains(t, blocked.Reason, "value_under_way is 10 (line 7)")
	}
	sim.applyActions()
	values[2] = 3
	assert.Equal(t, []cluster.RangeID{3, 4, 5}, startedRanges())
	values[1] = 7
	assert.Equal(t, []cluster.RangeID{1}, startedRanges())
}

func TestSchedule_WaitsForCooldown(t *testing.T) {
	sim := newSimulation(t, "a")
	require.NoError(t, sim.adoptPlan(twoMembers+"leave \"a\" {}\nbounds { pause = \"2s\" }\n"))
	out := sim.progress.Schedule(sim.file, sim.shards, Observations{SinceLastMove: 2*api.Second - 1})
	assert.Empty(t, out.Actions)
	assert.Equal(t, []BlockedStep{{0, "the pause after the last move has not passed (line 4)"}}, out.Blocked)
	assert.Len(t, sim.progress.Schedule(sim.file, sim.shards, Observations{SinceLastMove: 2 * api.Second}).Actions, 1)
}

// Measured degradation stops the plan: moves that haven't switched are rolled back, and nothing starts until another
// plan is adopted.
func TestSchedule_StopsThePlanOnDegradation(t *testing.T) {
	text := twoMembers +
		"leave \"a\" {}\nbounds { moves_at_once = 2 }\nstop_when {\n rejected = 0.02\n sick = true\n}\n"
	baseline := Outcomes{Total: 1000, Rejected: 10}
	for name, c := range map[string]struct {
		impact Impact
		reason string
	}{
		"none": {Impact{During: Outcomes{Total: 100, Rejected: 3}, Baseline: baseline}, ""},
		"over": {Impact{During: Outcomes{Total: 100, Rejected: 4}, Baseline: baseline},
			"0.04 of webhooks rejected"},
		"too few to tell":       {Impact{During: Outcomes{Total: 49, Rejected: 49}, Baseline: baseline}, ""},
		"late has no limit":     {Impact{During: Outcomes{Total: 100, Late: 100}}, ""},
		"unhealthy destination": {Impact{Unhealthy: []UnhealthyDestination{{7, 1}}}, "destination 7 became unhealthy"},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, "a", "a", "a")
			require.NoError(t, sim.adoptPlan(text))
			for sim.applyActions() > 0 {
			}
			sim.advanceMove(sim.openMoves()[0])
			require.Len(t, sim.openMoves(), 2)
			out := sim.progress.Schedule(sim.file, sim.shards, Observations{Impact: c.impact})
			if c.reason == "" {
				assert.Empty(t, out.Actions)
				return
			}
			require.Len(t, out.Actions, 3)
			assert.Equal(t, ActionStop, out.Actions[0].Kind)
			assert.Contains(t, out.Actions[0].Reason, c.reason)
			sim.mustPropose(Coordinator(1).Stop(1, out.Actions[0].Reason))
			for sim.applyActions() > 0 {
			}
			assert.Empty(t, sim.openMoves())
			assert.True(t, sim.schedule().Finished)
			assert.Contains(t, sim.schedule().Blocked[0].Reason, "the plan is stopped: "+c.reason)
			require.NoError(t, sim.adoptPlan(text))
			assert.Len(t, sim.schedule().Actions, 2)
		})
	}
}

// Moves to a member without a session are rolled back, and start again once the member has a session.
func TestSchedule_RollsBackMovesToLostMember(t *testing.T) {
	sim := newSimulation(t, "a")
	require.NoError(t, sim.adoptPlan(twoMembers+"leave \"a\" {}\n"))
	for sim.applyActions() > 0 {
	}
	sim.gone["b"] = true
	for sim.applyActions() > 0 {
	}
	assert.Empty(t, sim.openMoves())
	assert.Equal(t, []BlockedStep{{0, "b has no session"}}, sim.schedule().Blocked)
	sim.gone["b"] = false
	for sim.applyActions() > 0 {
	}
	assert.Len(t, sim.openMoves(), 1)
	assert.Equal(t, uint64(1), sim.progress.Number)
}

// After a failover, a range is on another member than the steps expect. The plan is computed again from the new map.
func TestSchedule_ReplansAfterFailover(t *testing.T) {
	sim := newSimulation(t, "a", "a")
	require.NoError(t, sim.adoptPlan(twoMembers+"member \"c\" {}\npin \"p\" {\n "+hashesIn(0,
		2)+"\n to = \"b\"\n}\nleave \"a\" {}\n"))
	delete(sim.leases, cluster.RangeOwnerResource(1))
	sim.mustPropose(shardmap.Coordinator(1).FailOver([]shardmap.Takeover{{
		Range:         1,
		PreviousOwner: "a",
		NewOwner:      "c",
	}}))
	out := sim.schedule()
	require.Len(t, out.Actions, 1)
	assert.Equal(t, ActionReplan, out.Actions[0].Kind)
	assert.Contains(t, out.Actions[0].Reason, `range 1 is on "c"`)
	sim.applyActions()
	assert.Equal(t, uint64(2), sim.progress.Number)
	assert.Contains(t, sim.schedule().Blocked[0].Reason, "c has not confirmed yet that it owns range 1")
}

func TestSchedule_RangeFollowsPrecedingRule(t *testing.T) {
	sim := newSimulation(t, "a", "a")
	require.NoError(t, sim.adoptPlan(twoMembers+"pin \"p\" {\n "+hashesIn(0, 2)+"\n to = \"b\"\n}\nleave \"a\" {}\n"+
		"before \"p\" { after = [\"a\"] }\nbounds { moves_at_once = 2 }\n"))
	out := sim.schedule()
	require.Len(t, out.Actions, 1)
	assert.Equal(t, cluster.RangeID(1), out.Actions[0].Range)
	assert.Equal(t, []BlockedStep{{1, `pin "p" (line 3) precedes it and has 1 moves left`}}, out.Blocked)
}
