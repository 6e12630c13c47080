package rebalance

import (
	"fmt"

	"rowanlink/cluster/shardmap"
)

// reconcileSteps updates the states of all steps from the map. If the ranges are not where the steps expect them, so
// that the plan has to be computed again, it returns the first reason; else "".
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
		if !s.detached[v.Move] {
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
	case s.dependsOnOpen(v, SameRange): // until that step is done, the range isn't at this one's source
		return ""
	}
	return s.reconcilePending(step, r)
}

// reconcileStarted handles a step whose move has begun. It rolls the move back if the plan says so or the target is
// gone, and records how the move ended once it has.
func (s *scheduler) reconcileStarted(step int, r *shardmap.Range) (replanReason string) {
	v := s.Steps[step]
	isRollBack := v.Kind == StepRollBack
	if r.Move.IsOpen() && r.Move.ID == v.Move {
		if isRollBack && r.Move.Step == shardmap.StepSwitched {
			return describeOwner(step, r) + " already"
		}
		s.wanted[v.Move] = true
		if isRollBack {
			s.rollBack(step, r, "the plan places the range elsewhere")
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

// reconcilePending handles a step that is recorded as not started. It may have started or ended in the meantime, since
// the map and the state of a step change by separate commands.
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

// reconcileReshape updates the state of a split or a merge from the map.
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

// dependsOnOpen reports whether a step has a dependency with this reason that isn't done.
func (s *scheduler) dependsOnOpen(v Step, reason DependencyReason) bool {
	for _, d := range v.DependsOn {
		if d.Reason == reason && s.states[d.Step] != Done {
			return true
		}
	}
	return false
}

// firstOpenDependency returns the first step that a step depends on and that isn't done, or noStep.
func (s *scheduler) firstOpenDependency(v Step) int {
	for _, d := range v.DependsOn {
		if s.states[d.Step] != Done {
			return d.Step
		}
	}
	return noStep
}
