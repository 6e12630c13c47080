package rebalance

import (
	"fmt"

	"rowanlink/cluster/shardmap"
)

// reshape brings a split or a merge and the map together. A text says why the steps can't go on.
func (l *look) reshape(k int) string {
	s := l.Steps[k]
	r, other := l.ranges[s.Range], l.ranges[s.Other]
	switch {
	case s.Way == Join && other == nil && r != nil && !l.needs(s),
		s.Way == Split && other != nil && other.From == s.At:
		l.note(k, Through, 0)
	case l.needs(s):
	case r == nil:
		return fmt.Sprintf("range %d was split or merged", s.Range)
	case s.Way == Split && (other != nil || s.At <= r.From || s.At > r.To):
		return fmt.Sprintf("step %d: range %d was split elsewhere", k+1, s.Range)
	case s.Way == Join && r.Home != other.Home:
		return fmt.Sprintf("step %d: range %d is on %q, range %d on %q", k+1, s.Range, r.Home, s.Other, other.Home)
	}
	return ""
}

// needs is whether a step waits for another.
func (l *look) needs(s Step) bool {
	for _, n := range s.Needs {
		if l.stands[n.Step] != Through {
			return true
		}
	}
	return false
}

// shapes splits or merges where that may be now. It moves no keys, so that no bound is asked.
func (l *look) shapes(k int) {
	s := l.Steps[k]
	if l.needs(s) {
		l.out.Waits = append(l.out.Waits, Wait{k, fmt.Sprintf("step %d goes first", l.first(s)+1)})
		return
	}
	for _, r := range []*shardmap.Range{l.ranges[s.Range], l.ranges[s.Other]} {
		if r != nil && !r.Settled() {
			l.out.Waits = append(l.out.Waits, Wait{k, fmt.Sprintf("%s has yet to say that it serves range %d", r.Home,
				r.ID)})
			return
		}
	}
	do := SplitOff
	if s.Way == Join {
		do = MergeIn
	}
	l.add(Action{Do: do, Step: k, Range: s.Range, At: s.At, Other: s.Other})
}

// first is the first step that one waits for.
func (l *look) first(s Step) int {
	for _, n := range s.Needs {
		if l.stands[n.Step] != Through {
			return n.Step
		}
	}
	return 0
}
