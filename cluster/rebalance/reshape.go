package rebalance

import (
	"fmt"

	"rowanlink/cluster/shardmap"
)

// reshape brings a split or a merge and the map together. A text says why the steps can't go on.
func (l *look) reshape(k int) string {
	s := l.Steps[k]
	r, other := l.ranges[s.Range], l.ranges[s.OtherRange]
	switch {
	case s.Kind == StepMerge && other == nil && r != nil && !l.needs(s),
		s.Kind == StepSplit && other != nil && other.From == s.SplitKey:
		l.note(k, Done, 0)
	case l.needs(s):
	case r == nil:
		return fmt.Sprintf("range %d was split or merged", s.Range)
	case s.Kind == StepSplit && (other != nil || s.SplitKey <= r.From || s.SplitKey > r.To):
		return fmt.Sprintf("step %d: range %d was split elsewhere", k+1, s.Range)
	case s.Kind == StepMerge && r.Owner != other.Owner:
		return fmt.Sprintf("step %d: range %d is on %q, range %d on %q", k+1, s.Range, r.Owner, s.OtherRange, other.Owner)
	}
	return ""
}

// needs is whether a step waits for another.
func (l *look) needs(s Step) bool {
	for _, n := range s.DependsOn {
		if l.stands[n.Step] != Done {
			return true
		}
	}
	return false
}

// shapes splits or merges where that may be now. It moves no keys, so that no bound is asked.
func (l *look) shapes(k int) {
	s := l.Steps[k]
	if l.needs(s) {
		l.out.Blocked = append(l.out.Blocked, BlockedStep{k, fmt.Sprintf("step %d goes first", l.first(s)+1)})
		return
	}
	for _, r := range []*shardmap.Range{l.ranges[s.Range], l.ranges[s.OtherRange]} {
		if r != nil && !r.IsStable() {
			l.out.Blocked = append(l.out.Blocked, BlockedStep{k, fmt.Sprintf("%s has yet to say that it serves range %d", r.Owner,
				r.ID)})
			return
		}
	}
	do := ActionSplit
	if s.Kind == StepMerge {
		do = ActionMerge
	}
	l.add(Action{Kind: do, Step: k, Range: s.Range, SplitKey: s.SplitKey, OtherRange: s.OtherRange})
}

// first is the first step that one waits for.
func (l *look) first(s Step) int {
	for _, n := range s.DependsOn {
		if l.stands[n.Step] != Done {
			return n.Step
		}
	}
	return 0
}
