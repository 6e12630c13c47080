package rebalance

import (
	"fmt"
	"slices"
)

// none says why no order was found, by the state that came furthest.
func (s *search) none() error {
	for k := range s.done {
		s.done[k], s.stop[k] = false, -1
	}
	clear(s.undone)
	for _, v := range s.moves {
		for _, r := range v.rules {
			s.undone[r]++
		}
	}
	s.free = slices.Clone(s.order.free)
	for _, a := range s.furthest {
		s.do(a, 1)
	}
	tried := ""
	if s.states > mostStates {
		tried = fmt.Sprintf(" (none found in %d states)", mostStates)
	}
	for _, k := range s.by {
		v := s.moves[k]
		if s.done[k] || !s.turn(k) {
			continue
		}
		for _, other := range s.by { // which would leave, if it might
			w := s.moves[other]
			if s.done[other] || w.from != v.to || s.turn(other) {
				continue
			}
			turn := s.waitsBy(other)
			return s.file.at(turn.Line,
				"there is no order of moves%s: %s waits by this line, and %q has no room (%s) for %s "+
					"until it has left", tried, s.what(w.of), s.names[v.to], s.room(v.to), s.what(v.of))
		}
	}
	for _, k := range s.by {
		if !s.done[k] {
			return s.locked([]int{k})
		}
	}
	return nil
}

func (s *search) waitsBy(k int) Precedence {
	for _, r := range s.moves[k].rules {
		for _, t := range s.file.Precedences {
			if (t.Then == r || slices.Contains(s.goesBefore[r], t.Then)) && s.undone[t.First] > 0 {
				return t
			}
		}
	}
	return Precedence{}
}
