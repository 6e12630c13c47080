package rebalance

import (
	"fmt"

	"rowanlink/cluster/shardmap"
)

// reconcileSteps reconciles the states of all steps with the map. It returns why the steps can't continue from the
// present owners of the ranges, or "".
func (s *scheduler) reconcileSteps() (replanReason string) {
	for step := range s.Steps {
		reason := s.reconcile(step)
		if replanReason == "" {
			replanReason = reason
		}
	}
	return replanReason
}

func (s *scheduler) reconcile(step int) (replanReason string) {
	v := s.Steps[step]
	switch {
	case s.states[step] == Done:
		return ""
	case v.Range == 0:
		if !s.leftMoves[v.Move] {
			s.setState(step, Done, v.Move)
		}
		return ""
	case v.Kind.reshapes():
		return s.reconcileReshape(step)
	case s.dependsOnOpen(v, RangeBoundary):
		return ""
	}
	r := s.ranges[v.Range]
	switch {
	case r == nil:
		return fmt.Sprintf("range %d was split or merged", v.Range)
	case s.states[step] == Started:
		return s.reconcileStarted(step, r)
	case s.dependsOnOpen(v, SameRange): // until then the range may be where an earlier step has it
		return ""
	}
	return s.reconcilePending(step, r)
}

// reconcileStarted handles a step whose move has begun: its end, and its rollback if it can't or shall not continue.
func (s *scheduler) reconcileStarted(step int, r *shardmap.Range) (replanReason string) {
	v := s.Steps[step]
	isRollBack := v.Kind == StepRollBack
	if r.Move.IsOpen() && r.Move.ID == v.Move {
		if isRollBack && r.Move.Step == shardmap.StepSwitched {
			return describeOwner(step, r) + " already"
		}
		s.wanted[v.Move] = true
		if isRollBack {
			s.rollBack(step, r, "the plan wants it elsewhere")
		} else if s.isGone(v.To) && r.Move.Step < shardmap.StepSwitched {
			s.rollBack(step, r, fmt.Sprintf("%q has no session", v.To))
		}
		return ""
	}
	switch {
	case isRollBack && r.Owner == v.From, !isRollBack && r.Owner == v.To:
		s.setState(step, Done, v.Move)
	case !isRollBack && r.Owner == v.From:
		s.setState(step, RolledBack, v.Move)
	default:
		return describeOwner(step, r)
	}
	return ""
}

// reconcilePending handles a step that may have started or ended without its state being recorded.
func (s *scheduler) reconcilePending(step int, r *shardmap.Range) (replanReason string) {
	v := s.Steps[step]
	isItsMove := r.Move.IsOpen() && r.Move.From == v.From && r.Move.To == v.To
	switch {
	case r.Owner == v.From && isItsMove:
		s.wanted[r.Move.ID] = true
		s.setState(step, Started, r.Move.ID)
	case r.Owner == v.To && !r.Move.IsOpen():
		s.setState(step, Done, v.Move)
	case r.Owner != v.From:
		return describeOwner(step, r)
	}
	return ""
}

func describeOwner(step int, r *shardmap.Range) string {
	return fmt.Sprintf("step %d: range %d is on %q", step+1, r.ID, r.Owner)
}

// reconcileReshape reconciles the state of a split or a merge with the map.
func (s *scheduler) reconcileReshape(step int) (replanReason string) {
	v := s.Steps[step]
	r, other := s.ranges[v.Range], s.ranges[v.OtherRange]
	isBlocked := s.firstOpenDependency(v) != noStep
	isMerged := v.Kind == StepMerge && other == nil && r != nil && !isBlocked
	isSplit := v.Kind == StepSplit && other != nil && other.From == v.SplitKey
	switch {
	case isMerged, isSplit:
		s.setState(step, Done, 0)
	case isBlocked:
	case r == nil:
		return fmt.Sprintf("range %d was split or merged", v.Range)
	case v.Kind == StepSplit && (other != nil || v.SplitKey <= r.From || v.SplitKey > r.To):
		return fmt.Sprintf("step %d: range %d was split elsewhere", step+1, v.Range)
	case v.Kind == StepMerge && r.Owner != other.Owner:
		return fmt.Sprintf("step %d: range %d is on %q, range %d on %q", step+1, v.Range, r.Owner, v.OtherRange,
			other.Owner)
	}
	return ""
}

// dependsOnOpen reports whether a step depends for a reason on one that isn't done.
func (s *scheduler) dependsOnOpen(v Step, reason DependencyReason) bool {
	for _, d := range v.DependsOn {
		if d.Reason == reason && s.states[d.Step] != Done {
			return true
		}
	}
	return false
}

// firstOpenDependency returns the first step that a step waits for, or noStep.
func (s *scheduler) firstOpenDependency(v Step) int {
	for _, d := range v.DependsOn {
		if s.states[d.Step] != Done {
			return d.Step
		}
	}
	return noStep
}
