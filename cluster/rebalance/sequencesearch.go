package rebalance

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"rowanlink/cluster/rebalance/planfile"
)

// maxSearchStates bounds the states that the search for an order visits. Small clusters have fewer states in total, so
// that the search is exact for them.
const maxSearchStates = 20_000

// sequenceSearch is a depth-first search for an order of the moves, for plans where precedences make moves wait or
// members exceed their capacity at first. It prunes paths that would need more detours even without precedences, and
// states known as dead ends. The number of detours allowed starts at 0 and grows until an order is found.
type sequenceSearch struct {
	*sequencer
	byUrgency []int // moves, sorted by urgency
	isDone    []bool
	detour    []int // by move, the member where its range is on a detour, or noMember
	remaining []int // by rule, moves that aren't done
	free      []int // by slot, its free capacity

	path        []transition
	detoursLeft int
	states      int // visited so far
	deadEnds    map[uint64]bool
	furthest    []transition // the longest path that ended in a dead end
}

// transition is one step of the search: a range moves to its target, or to another member on a detour.
type transition struct {
	move   int
	detour int // the other member; noMember: the range moves to its target
}

// search finds an order of the moves, with as few detours as possible.
func (s *sequencer) search() error {
	search := &sequenceSearch{
		sequencer: s,
		isDone:    make([]bool, len(s.moves)),
		remaining: s.remainingByRule(),
	}
	for k := range s.moves {
		search.byUrgency = append(search.byUrgency, k)
		search.detour = append(search.detour, noMember)
	}
	slices.SortStableFunc(search.byUrgency, func(a, b int) int {
		return cmp.Compare(s.urgency(a), s.urgency(b))
	})
	for detours := 0; detours <= len(s.moves) && search.states < maxSearchStates; detours++ {
		search.free = slices.Clone(s.free)
		search.path = nil
		search.detoursLeft = detours
		search.deadEnds = map[uint64]bool{}
		if search.visit() {
			s.applyTransitions(search.path)
			return nil
		}
		if detours > len(s.members) { // further detours can't free any more capacity
			break
		}
	}
	return search.noOrderError()
}

// urgency ranks a move; the search tries moves with a lower rank first. The ranks are, in this order, moves that
// precedences make others wait for, moves off members above their capacity, other moves by rules, and moves for
// balance.
func (s *sequencer) urgency(move int) int {
	v := s.moves[move]
	isAwaited := slices.ContainsFunc(s.file.Precedences, func(p planfile.Precedence) bool {
		return slices.Contains(v.rules, p.First)
	})
	switch {
	case isAwaited:
		return 0
	case s.freeNow[v.from] < 0:
		return 1
	case len(v.rules) > 0:
		return 2
	}
	return 3
}

// visit extends the path to an order of all moves. It returns false if the current state is a dead end or the search
// has reached its limit.
func (s *sequenceSearch) visit() bool {
	var open []int
	for k, isDone := range s.isDone {
		if !isDone {
			open = append(open, k)
		}
	}
	if len(open) == 0 {
		return true
	}
	s.states++
	if s.states > maxSearchStates || s.lacksDetours(open) {
		return s.backtrack()
	}
	state := s.hashState()
	if s.deadEnds[state] {
		return false
	}
	if s.tryMoves() || s.tryDetours() {
		return true
	}
	s.deadEnds[state] = true
	return s.backtrack()
}

// tryMoves continues with each move to its target that can start.
func (s *sequenceSearch) tryMoves() bool {
	for _, k := range s.byUrgency {
		canStart := !s.isDone[k] && s.free[s.moves[k].to] > 0 && s.precedencesAllow(k, s.remaining)
		if canStart && s.try(transition{k, noMember}) {
			return true
		}
	}
	return false
}

// tryDetours continues with each detour that can start.
func (s *sequenceSearch) tryDetours() bool {
	for _, k := range s.byUrgency {
		if s.detoursLeft == 0 || s.isDone[k] || s.detour[k] >= 0 || !s.precedencesAllow(k, s.remaining) {
			continue
		}
		for m := range s.members {
			if s.free[m] > 0 && s.allowsDetour(s.moves[k], m) && s.try(transition{k, m}) {
				return true
			}
		}
	}
	return false
}

// backtrack records the path if it is the longest so far, for the error, and returns false.
func (s *sequenceSearch) backtrack() bool {
	if len(s.path) > len(s.furthest) {
		s.furthest = slices.Clone(s.path)
	}
	return false
}

func (s *sequenceSearch) hashState() uint64 {
	const doneMark = 0xff
	state := binary.AppendVarint(nil, int64(s.detoursLeft))
	for k, isDone := range s.isDone {
		state = binary.AppendVarint(state, int64(s.detour[k]))
		if isDone {
			state = append(state, doneMark)
		}
	}
	return xxhash.Sum64(state)
}

// try continues the search after a transition, and reverts it if that leads to a dead end.
func (s *sequenceSearch) try(t transition) bool {
	s.apply(t)
	s.path = append(s.path, t)
	if s.visit() {
		return true
	}
	s.path = s.path[:len(s.path)-1]
	s.revert(t)
	return false
}

// apply updates the state by a transition.
func (s *sequenceSearch) apply(t transition) {
	from, to := s.slots(t)
	if t.detour != noMember {
		s.detoursLeft--
		s.detour[t.move] = t.detour
	} else {
		s.isDone[t.move] = true
		for _, r := range s.moves[t.move].rules {
			s.remaining[r]--
		}
	}
	s.free[from]++
	s.free[to]--
}

// revert undoes apply.
func (s *sequenceSearch) revert(t transition) {
	if t.detour != noMember {
		s.detoursLeft++
		s.detour[t.move] = noMember
	} else {
		s.isDone[t.move] = false
		for _, r := range s.moves[t.move].rules {
			s.remaining[r]++
		}
	}
	from, to := s.slots(t)
	s.free[from]--
	s.free[to]++
}

// slots returns the slots between which a transition moves the range, given the state before the transition.
func (s *sequenceSearch) slots(t transition) (from, to int) {
	v := s.moves[t.move]
	if t.detour != noMember {
		return v.from, t.detour
	}
	if at := s.detour[t.move]; at != noMember {
		return at, v.to
	}
	return v.from, v.to
}

// lacksDetours reports whether the open moves need more detours than are left, since each full component needs one.
// While a range is on a detour, this isn't known: the range has left a vacancy in its component.
func (s *sequenceSearch) lacksDetours(open []int) bool {
	if slices.ContainsFunc(open, func(k int) bool { return s.detour[k] >= 0 }) {
		return false
	}
	full := 0
	for _, component := range s.components(open) {
		if s.isFull(component, s.free) {
			full++
		}
	}
	return full > s.detoursLeft
}

// applyTransitions sets the sequence to a path of the search. A move with a detour becomes two moves.
func (s *sequencer) applyTransitions(path []transition) {
	secondMove := map[int]int{} // by move with a detour, the move that completes it
	for _, t := range path {
		if t.detour != noMember {
			second := s.moves[t.move]
			second.from = t.detour
			secondMove[t.move] = len(s.moves)
			s.moves = append(s.moves, second)
			s.moves[t.move].to, s.moves[t.move].kind = t.detour, StepDetour
			s.sequence = append(s.sequence, t.move)
			continue
		}
		if second, hasDetour := secondMove[t.move]; hasDetour {
			s.sequence = append(s.sequence, second)
			continue
		}
		s.sequence = append(s.sequence, t.move)
	}
}

// noOrderError returns the error for moves without an order. It describes what blocks the longest path of the search.
func (s *sequenceSearch) noOrderError() error {
	s.restoreFurthest()
	searched := ""
	if s.states > maxSearchStates {
		searched = fmt.Sprintf(" (none found in %d states)", maxSearchStates)
	}
	for _, k := range s.byUrgency {
		v := s.moves[k]
		if s.isDone[k] || !s.precedencesAllow(k, s.remaining) {
			continue
		}
		for _, other := range s.byUrgency { // a move that would free the capacity if no precedence made it wait
			w := s.moves[other]
			if s.isDone[other] || w.from != v.to || s.precedencesAllow(other, s.remaining) {
				continue
			}
			return s.file.Errorf(s.blockingPrecedence(other, s.remaining).Line,
				"there is no order of moves%s: %s is blocked by this line, and %q has no capacity (%s) for %s "+
					"until it has left",
				searched, s.describeRange(w.rangeIndex), s.slotMembers[v.to], s.describeCapacity(v.to),
				s.describeRange(v.rangeIndex))
		}
	}
	for _, k := range s.byUrgency {
		if !s.isDone[k] {
			return s.lockedError([]int{k})
		}
	}
	return nil
}

// restoreFurthest restores the state at the end of the longest path.
func (s *sequenceSearch) restoreFurthest() {
	for k := range s.isDone {
		s.isDone[k], s.detour[k] = false, noMember
	}
	s.remaining = s.remainingByRule()
	s.free = slices.Clone(s.sequencer.free)
	for _, t := range s.furthest {
		s.apply(t)
	}
}
