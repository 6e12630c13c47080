package rebalance

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rowanlink/cluster"
	"rowanlink/cluster/rebalance/planfile"
	"rowanlink/cluster/shardmap"
)

// Another plan may replace the running one at any moment, and the coordinator may change. Ranges that have switched
// stay, moves to the range's target in the new plan continue, all others are rolled back, and capacities and limits
// hold at all times.
func TestSchedule_AnotherPlanTakesOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawPinnedCluster(t, false)
		sim := newSimulation(t, p.owners()...)
		bounds := "bounds {\n moves_at_once = 3\n}\n"
		if sim.adoptPlan(p.file()+bounds) != nil {
			return
		}
		for range rapid.IntRange(0, 25).Draw(t, "steps") {
			for sim.applyActions() > 0 {
			}
			if open := sim.openMoves(); len(open) > 0 {
				sim.advanceMove(open[rapid.IntRange(0, len(open)-1).Draw(t, "advanced move")])
			}
		}
		for i := range p.target {
			if rapid.Bool().Draw(t, "another") {
				p.target[i] = rapid.IntRange(0, len(p.capacity)-1).Draw(t, "now to")
			}
		}
		before := sim.openMoves()
		if sim.adoptPlan(p.file()+bounds) != nil {
			return
		}
		rolledBack := map[shardmap.MoveID]bool{}
		for _, a := range sim.schedule().Actions {
			if a.Kind == ActionRollBack {
				rolledBack[a.Move] = true
			}
		}
		for _, r := range before {
			to := cluster.MemberID(fmt.Sprint("m", p.target[int(r.ID)-1]))
			assert.Equal(t, r.Move.Step < shardmap.StepSwitched && to != r.Move.To, rolledBack[r.Move.ID],
				"range %d at step %d to %s, now to %s", r.ID, r.Move.Step, r.Move.To, to)
		}
		sim.runToEnd(t)
		for i, to := range p.target {
			require.Equal(t, cluster.MemberID(fmt.Sprint("m", to)), sim.ownerOf(i))
		}
	})
}

// A plan for the map that results from the same plan has no steps.
func TestNewPlan_IsEmptyOnceDone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members, n := rapid.IntRange(1, 4).Draw(t, "members"), rapid.IntRange(1, 6).Draw(t, "ranges")
		var owners []cluster.MemberID
		for range n {
			owners = append(owners, cluster.MemberID(fmt.Sprint("m", rapid.IntRange(0, members-1).Draw(t, "home"))))
		}
		sim, text := newSimulation(t, owners...), drawRules(t, members, n)
		if sim.adoptPlan(text) != nil {
			return
		}
		sim.runToEnd(t)
		again, err := NewPlan(sim.file, sim.shards, nil)
		require.NoError(t, err)
		require.Empty(t, again.Steps)
	})
}

// A move that belongs to no step of the plan is rolled back unless it has switched.
func TestSchedule_RollsBackUnwantedMoves(t *testing.T) {
	sim := newSimulation(t, "a", "a")
	require.NoError(t, sim.adoptPlan(twoMembers+"pin \"p\" {\n "+hashesIn(0, 2)+"\n to = \"b\"\n}\npin \"q\" {\n "+hashesIn(1,
		2)+"\n to = \"a\"\n}\n"))
	sim.mustPropose(shardmap.Coordinator(1).PlanMove(2, "a", "b"))
	out := sim.schedule()
	require.Equal(t, ActionRollBack, out.Actions[0].Kind)
	for range 3 {
		sim.advanceMove(sim.openMoves()[0])
	}
	require.Equal(t, shardmap.StepSwitched, sim.openMoves()[0].Move.Step)
	for _, a := range sim.schedule().Actions {
		assert.NotEqual(t, ActionRollBack, a.Kind, "it has switched")
	}
}

// If several ranges could be moved at the same cost, those already in flight are chosen, so that a file that only
// changes a limit rolls no move back.
func TestNewPlan_ContinuesMovesInFlight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim, text := newSimulation(t, "a", "a", "a", "a", "a", "a"), "member \"a\" {}\nmember \"b\" {}\n"
		sim.file, _ = planfile.Parse([]byte(text), "f.hcl")
		moving := map[cluster.RangeID]bool{}
		for range rapid.IntRange(1, 3).Draw(t, "moves in flight") {
			id := cluster.RangeID(rapid.IntRange(1, 6).Draw(t, "range"))
			if moving[id] {
				continue
			}
			moving[id] = true
			sim.mustPropose(shardmap.Coordinator(1).PlanMove(id, "a", "b"))
		}
		require.NoError(t, sim.adoptPlan(text))
		continued := 0
		for _, s := range sim.progress.Steps {
			require.NotEqual(t, StepRollBack, s.Kind)
			if s.Kind == StepContinue {
				continued++
			}
		}
		require.Equal(t, len(moving), continued)
	})
}
