package coordinator

import (
	"errors"
	"fmt"
	"log/slog"
	"reflect"
	"slices"

	"rowanlink/cluster"
	"rowanlink/cluster/rebalance"
	"rowanlink/cluster/rebalance/planfile"
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
)

// planName stands for the name of the plan's file in errors and in the log.
const planName = "plan"

// remainingMembers returns the members that the running plan does not drain. A range that failed over to a member whose
// drain steps are already done would stay there. If none of the remaining members is alive, it returns all members.
func (c *Coordinator) remainingMembers(members []shardmap.Candidate,
	alive map[cluster.MemberID]bool) (remaining []shardmap.Candidate) {
	if c.runningPlan() == 0 {
		return members
	}
	file, err := c.progress.File()
	if err != nil {
		return members
	}
	someAlive := false
	for _, m := range members {
		drains := func(r planfile.Rule) bool { return r.Kind == planfile.Drain && r.Member == m.Member }
		if slices.ContainsFunc(file.Rules, drains) {
			continue
		}
		remaining = append(remaining, m)
		someAlive = someAlive || alive[m.Member]
	}
	if !someAlive {
		return members
	}
	return remaining
}

// adopt proposes the requested plan if it differs from the running one, or resumes it. It returns false if the request
// is not dealt with yet and the next Run has to try again.
func (c *Coordinator) adopt(request PlanRequest, shardMap *shardmap.Map) bool {
	number := c.runningPlan()
	if number != 0 && !request.Reloaded {
		return false
	}
	requested, err := planfile.Parse(request.Text, planName)
	if err != nil {
		slog.Error("plan rejected", "error", err)
		return true
	}
	resumes := c.StoppedPlan() != 0 && c.StoppedPlan() == request.ResumesPlan
	if number != 0 && !resumes {
		running, err := planfile.Parse(c.progress.Text, planName)
		if err == nil && reflect.DeepEqual(running, requested) {
			return true
		}
	}
	return c.makePlan(requested, request.Text, number, shardMap)
}

// makePlan computes the steps of a plan and proposes the plan. number is that of the plan that it replaces. makePlan
// returns false if the move of a range has to end first, which it then proposes to roll back if the move has not
// switched yet, or if the proposal failed.
func (c *Coordinator) makePlan(file *planfile.File, text []byte, number uint64, shardMap *shardmap.Map) bool {
	plan, err := rebalance.NewPlan(file, shardMap, nil)
	var moving *rebalance.RangeMovingError
	if errors.As(err, &moving) {
		if moving.Move.Step < shardmap.StepSwitched {
			c.propose("move rolled back", shardmap.Coordinator(c.epoch).RevertMove(moving.Move.ID),
				"move", moving.Move.ID, "error", err)
		}
		return false
	}
	if err != nil {
		slog.Error("plan rejected", "error", err)
		return true
	}
	return c.propose("plan adopted", rebalance.Coordinator(c.epoch).Adopt(number, planName, text, plan),
		"steps", len(plan.Steps))
}

// runPlan proposes the actions of the running plan that are due.
func (c *Coordinator) runPlan(by shardmap.Coordinator, shardMap *shardmap.Map, alive map[cluster.MemberID]bool,
	now api.Micros) {
	if c.runningPlan() == 0 {
		return
	}
	file, err := c.progress.File()
	if err != nil {
		slog.Error("running plan can't be parsed", "error", err)
		return
	}
	schedule := c.progress.Schedule(file, shardMap, rebalance.Observations{
		IsGone:        func(m cluster.MemberID) bool { return !alive[m] },
		SinceLastMove: now - c.idleSince,
		Impact:        c.Impacts.Impact(c.progress.Number),
	})
	for _, action := range schedule.Actions {
		c.perform(action, by, file, shardMap)
	}
}

func (c *Coordinator) perform(a rebalance.Action, by shardmap.Coordinator, file *planfile.File,
	shardMap *shardmap.Map) {
	plan, number := rebalance.Coordinator(c.epoch), c.progress.Number
	switch a.Kind {
	case rebalance.ActionStart:
		isTaken := func(now shardmap.Range) bool { return now.Move.From == a.From && now.Move.To == a.To }
		c.proposeStep("move planned", a.Range, isTaken, by.PlanMove(a.Range, a.From, a.To),
			"range", a.Range, "from", a.From, "to", a.To)
	case rebalance.ActionRollBack:
		c.propose("move rolled back", by.RevertMove(a.Move), "move", a.Move, "reason", a.Reason)
	case rebalance.ActionRecordState:
		c.propose("plan step recorded", plan.RecordState(number, a.Step, a.State, a.Move), "step", a.Step)
	case rebalance.ActionStop:
		c.propose("plan stopped", plan.Stop(number, a.Reason), "reason", a.Reason)
	case rebalance.ActionSplit:
		c.propose("range split", by.Split(a.Range, a.SplitKey),
			"range", a.Range, "at", fmt.Sprintf("%#x", uint64(a.SplitKey)))
	case rebalance.ActionMerge:
		c.propose("ranges merged", by.Merge(a.Range, a.OtherRange), "range", a.Range, "other", a.OtherRange)
	case rebalance.ActionReplan:
		slog.Info("plan recomputed", "reason", a.Reason)
		c.makePlan(file, slices.Clone(c.progress.Text), number, shardMap)
	}
}
