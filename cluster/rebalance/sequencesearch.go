package rebalance

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"rowanlink/cluster/rebalance/planfile"
)

// maxSearchStates bounds the search for an order. Small clusters have fewer states in all, so that the search is exact
// there.
const maxSearchStates = 20_000

// sequenceSearch looks for an order where rules make moves wait, or members exceed their capacity at first: depth
// first, without branches that have no order even without rules, and without states that were dead ends before. The
// number of detours grows until an order is found.
type sequenceSearch struct {
	*sequencer
	byUrgency []int // moves
	isDone    []bool
	detour    []int // by move, the member where its range is on a detour; none: it is on none
	remaining []int // moves by rule
	free      []int // by slot

	path        []transition
	detoursLeft int
	states      int // visited so far
	deadEnds    map[uint64]bool
	furthest    []transition // the longest path that was a dead end
}

// transition is one step of the search: a move goes to its target, or to a member on a detour.
type transition struct {
	move   int
	detour int // none: to the target
}

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
		if detours > len(s.members) { // another detour could free nothing more
			break
		}
	}
	return search.noOrderError()
}

// urgency ranks moves by what waits for them; the least comes first.
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

// visit extends the path to an order of all moves, and returns false if that is impossible from here.
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
	if s.states > maxSearchStates || s.isHopeless(open) {
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

func (s *sequenceSearch) tryMoves() bool {
	for _, k := range s.byUrgency {
		canStart := !s.isDone[k] && s.free[s.moves[k].to] > 0 && s.isDue(k, s.remaining)
		if canStart && s.try(transition{k, noMember}) {
			return true
		}
	}
	return false
}

func (s *sequenceSearch) tryDetours() bool {
	for _, k := range s.byUrgency {
		if s.detoursLeft == 0 || s.isDone[k] || s.detour[k] >= 0 || !s.isDue(k, s.remaining) {
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

// backtrack leaves a dead end. The longest path is retained for the error.
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

// slots returns the slots that a transition frees and uses, by the state before it.
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

// isHopeless reports whether more full components are left than detours. A range on a detour breaks up its component.
func (s *sequenceSearch) isHopeless(open []int) bool {
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

// applyTransitions makes the path found the sequence. A move with a detour becomes two.
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

// noOrderError is the error if no order was found, by the state with the most moves done.
func (s *sequenceSearch) noOrderError() error {
	s.restoreFurthest()
	searched := ""
	if s.states > maxSearchStates {
		searched = fmt.Sprintf(" (none found in %d states)", maxSearchStates)
	}
	for _, k := range s.byUrgency {
		v := s.moves[k]
		if s.isDone[k] || !s.isDue(k, s.remaining) {
			continue
		}
		for _, other := range s.byUrgency { // one that would free the capacity, if it were not made to wait
			w := s.moves[other]
			if s.isDone[other] || w.from != v.to || s.isDue(other, s.remaining) {
				continue
			}
			return s.file.Errorf(s.blockingPrecedence(other, s.remaining).Line,
				"there is no order of moves%s: %s is blocked by this line, and %q has no capacity (%s) for %s "+
					"until it has left",
				searched, s.describeRange(w.rangeIndex), s.slotIDs[v.to], s.describeCapacity(v.to),
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
