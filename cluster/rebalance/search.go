package rebalance

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// mostStates bounds the search for an order. Small fleets have fewer states in all, so that it is exact
// there.
const mostStates = 20_000

// search looks for an order where rules make moves wait, or members have more than their room at first: depth
// first, leaving out what has no order even without rules, and what was seen to lead nowhere.
type search struct {
	*order
	by       []int  // moves, most urgent first
	done     []bool // by move
	stop     []int  // where its range makes a stop-over; -1: nowhere
	undone   []int  // by rule
	free     []int
	serial   []act
	left     int // stop-overs that may still be made
	states   int
	dead     map[uint64]bool // hashes of states
	furthest []act
}

type act struct{ move, over int } // over: the member it stops at; -1: it goes where it should

func (o *order) search() error {
	s := &search{order: o, undone: make([]int, len(o.file.Rules))}
	for k, v := range o.moves {
		s.by = append(s.by, k)
		s.done, s.stop = append(s.done, false), append(s.stop, -1)
		for _, r := range v.rules {
			s.undone[r]++
		}
	}
	urgent := func(k int) int {
		v := o.moves[k]
		followed := slices.ContainsFunc(o.file.Precedences, func(t Precedence) bool {
			return slices.Contains(v.rules,
				t.First)
		})
		switch {
		case followed:
			return 0
		case o.start[v.from] < 0:
			return 1
		case len(v.rules) > 0:
			return 2
		}
		return 3
	}
	slices.SortStableFunc(s.by, func(a, b int) int { return cmp.Compare(urgent(a), urgent(b)) })
	for over := 0; over <= len(o.moves) && s.states < mostStates; over++ {
		s.free, s.serial, s.left, s.dead = slices.Clone(o.free), nil, over, map[uint64]bool{}
		if s.goOn() {
			o.take(s.serial)
			return nil
		}
		if over > len(o.members) { // there is nothing that one more could free
			break
		}
	}
	return s.none()
}

func (s *search) goOn() bool {
	var open []int
	for k, done := range s.done {
		if !done {
			open = append(open, k)
		}
	}
	if len(open) == 0 {
		return true
	}
	if s.states++; s.states > mostStates || s.hopeless(open) {
		return s.over()
	}
	state := s.state()
	if s.dead[state] {
		return false
	}
	for _, k := range s.by {
		if !s.done[k] && s.free[s.moves[k].to] > 0 && s.turn(k) && s.try(act{k, -1}) {
			return true
		}
	}
	for _, k := range s.by {
		if s.left == 0 || s.done[k] || s.stop[k] >= 0 || !s.turn(k) {
			continue
		}
		for x := range s.members {
			if s.free[x] > 0 && s.mayStop(s.moves[k], x) && s.try(act{k, x}) {
				return true
			}
		}
	}
	s.dead[state] = true
	return s.over()
}

// over ends a way that leads nowhere. The longest is kept to tell why.
func (s *search) over() bool {
	if len(s.serial) > len(s.furthest) {
		s.furthest = slices.Clone(s.serial)
	}
	return false
}

func (s *search) state() uint64 {
	text := binary.AppendVarint(nil, int64(s.left))
	for k, done := range s.done {
		if text = binary.AppendVarint(text, int64(s.stop[k])); done {
			text = append(text, 0xff)
		}
	}
	return xxhash.Sum64(text)
}

func (s *search) try(a act) bool {
	s.do(a, 1)
	s.serial = append(s.serial, a)
	if s.goOn() {
		return true
	}
	s.serial = s.serial[:len(s.serial)-1]
	s.do(a, -1)
	return false
}

// do does an act, or undoes it.
func (s *search) do(a act, sign int) {
	v := s.moves[a.move]
	from, to := v.from, v.to
	if a.over >= 0 {
		to = a.over
		s.left -= sign
		if s.stop[a.move] = -1; sign > 0 {
			s.stop[a.move] = a.over
		}
	} else {
		if at := s.stop[a.move]; at >= 0 {
			from = at
		}
		s.done[a.move] = sign > 0
		for _, r := range v.rules {
			s.undone[r] -= sign
		}
	}
	s.free[from] += sign
	s.free[to] -= sign
}

// turn tells whether all that goes before a move is through.
func (s *search) turn(k int) bool {
	return !slices.ContainsFunc(s.moves[k].rules, func(r int) bool {
		return slices.ContainsFunc(s.goesBefore[r], func(b int) bool { return s.undone[b] > 0 })
	})
}

// hopeless tells whether more full rings are left than stop-overs. A range that makes one is in no ring.
func (s *search) hopeless(open []int) bool {
	var rest []int
	for _, k := range open {
		if s.stop[k] >= 0 {
			return false
		}
		rest = append(rest, k)
	}
	rings := s.rings(rest)
	full := 0
	for _, ring := range rings {
		if s.full(ring, s.free) {
			full++
		}
	}
	return full > s.left
}

// take makes the acts found the order, a move and its stop-over two.
func (o *order) take(acts []act) {
	last := map[int]int{}
	for _, a := range acts {
		switch second, stopped := last[a.move]; {
		case a.over >= 0:
			v := o.moves[a.move]
			v.from = a.over
			last[a.move] = len(o.moves)
			o.moves = append(o.moves, v)
			o.moves[a.move].to, o.moves[a.move].way = a.over, StepDetour
			o.serial = append(o.serial, a.move)
		case stopped:
			o.serial = append(o.serial, second)
		default:
			o.serial = append(o.serial, a.move)
		}
	}
}
