package rebalance

import (
	"fmt"
	"slices"

	"rowanlink/cluster"
	"rowanlink/cluster/rebalance/planfile"
	"rowanlink/cluster/shardmap"
)

// move is the move of a range from one slot of the sequencer to another. Each move becomes a step.
type move struct {
	rangeIndex int // noRange: a detached move
	from, to   int
	kind       StepKind
	id         shardmap.MoveID // set for a move in flight
	rules      []int
	isForced   bool // the rules don't allow the range on its owner; else it moves for balance
}

// noRange is the rangeIndex of a detached move, whose range failed over while it was in flight.
const noRange = -1

// sequencer searches for an order of the moves in which no member exceeds its capacity. A slot is a place with its own
// capacity. Each member has a slot with the member's capacity and, since split-off ranges use no capacity, an unlimited
// slot for these if it needs one. The capacity slots of the file's members come first, in the file's order, so that
// such a member's index is also its slot.
type sequencer struct {
	*problem
	target      []int              // by range, the member where it will be placed
	slotMembers []cluster.MemberID // by slot, its member, which may not be in the file

	inFlight []move // moves that have begun; they need no order
	moves    []move // moves to order
	sequence []int  // the order found: indexes of moves

	// Free capacity by slot, now and once the moves in flight are done. It is below 0 for a member above its capacity.
	freeNow, free []int

	precedingByRule [][]int // by rule, all rules that precede it
}

const unlimitedCapacity = 1 << 30

func (p *problem) newSequencer(m *shardmap.Map, target []int) *sequencer {
	s := &sequencer{problem: p, target: target}
	capacitySlots := map[cluster.MemberID]int{}
	splitOffSlots := map[cluster.MemberID]int{}
	for _, member := range p.members {
		s.slot(member.ID, capacitySlots)
	}
	for i, r := range p.ranges {
		slots := capacitySlots
		if !p.isBase(i) {
			slots = splitOffSlots
		}
		owner := s.slot(r.Owner, slots)
		ownerMember := s.slot(r.Owner, capacitySlots)
		s.free[owner]--
		if r.Move.IsOpen() {
			s.addInFlight(i, r.Move, s.slot(r.Move.From, slots), s.slot(r.Move.To, slots))
		}
		goal := p.members[target[i]].ID
		if goal == r.Owner || canRollBack(r.Move) && goal == r.Move.To {
			continue
		}
		s.moves = append(s.moves, move{
			rangeIndex: i,
			from:       owner,
			to:         s.slot(goal, slots),
			kind:       StepMove,
			rules:      p.moveRules(i, ownerMember),
			isForced:   p.isForcedAway(i, ownerMember),
		})
	}
	for _, detached := range m.DetachedMoves {
		s.inFlight = append(s.inFlight, move{
			rangeIndex: noRange,
			from:       s.slot(detached.From, capacitySlots),
			to:         s.slot(detached.To, capacitySlots),
			kind:       StepContinue,
			id:         detached.ID,
		})
	}
	s.freeNow = slices.Clone(s.free)
	for _, v := range s.inFlight {
		s.freeNow[v.freedSlot()]--
	}
	return s
}

// slot returns the slot of a member in slots. It adds the slot if it is new.
func (s *sequencer) slot(id cluster.MemberID, slots map[cluster.MemberID]int) int {
	if k, isKnown := slots[id]; isKnown {
		return k
	}
	k := len(s.slotMembers)
	slots[id] = k
	s.slotMembers = append(s.slotMembers, id)
	capacity := unlimitedCapacity
	if k < len(s.members) && s.members[k].Capacity > 0 {
		capacity = s.members[k].Capacity
	}
	s.free = append(s.free, capacity)
	return k
}

// addInFlight adds a move that has begun. A move that can still be rolled back is rolled back unless it goes to the
// range's target; any other continues.
func (s *sequencer) addInFlight(i int, v shardmap.Move, from, to int) {
	kind, rules := StepContinue, s.moveRules(i, s.memberOrUnknown(v.From))
	if canRollBack(v) {
		if s.members[s.target[i]].ID != v.To {
			kind, rules = StepRollBack, nil
		} else {
			s.free[to]--
			s.free[from]++
		}
	}
	s.inFlight = append(s.inFlight, move{
		rangeIndex: i,
		from:       from,
		to:         to,
		kind:       kind,
		id:         v.ID,
		rules:      rules,
	})
}

// memberOrUnknown returns the index of a member, or len(s.members) if the file doesn't have it.
func (s *sequencer) memberOrUnknown(id cluster.MemberID) int {
	if k, ok := s.memberIndex[id]; ok {
		return k
	}
	return len(s.members)
}

// freedSlot returns the slot where a move in flight uses capacity until it is done, besides the slot where the range
// will be.
func (v move) freedSlot() int {
	if v.kind == StepRollBack {
		return v.to
	}
	return v.from
}

// run finds an order of the moves. If no precedence makes a move wait and no member exceeds its capacity, orderByTrails
// solves this exactly and fast; otherwise run calls search.
func (s *sequencer) run() error {
	for k := range s.file.Rules {
		s.precedingByRule = append(s.precedingByRule, s.precedingRules(k))
	}
	isPreceded := func(rule int) bool { return len(s.precedingByRule[rule]) > 0 }
	hasWaiting := slices.ContainsFunc(s.moves, func(v move) bool { return slices.ContainsFunc(v.rules, isPreceded) })
	hasExcess := slices.ContainsFunc(s.free, func(n int) bool { return n < 0 })
	if hasWaiting {
		if err := s.checkDeadlock(); err != nil {
			return err
		}
	}
	if hasWaiting || hasExcess {
		return s.search()
	}
	return s.orderByTrails()
}

// remainingByRule returns, by rule, the number of moves that count for it.
func (s *sequencer) remainingByRule() []int {
	remaining := make([]int, len(s.file.Rules))
	for _, v := range s.moves {
		for _, r := range v.rules {
			remaining[r]++
		}
	}
	return remaining
}

// precedencesAllow reports whether the precedences allow a move to start: every move that counts for a preceding
// rule is done.
func (s *sequencer) precedencesAllow(move int, remaining []int) bool {
	for _, r := range s.moves[move].rules {
		for _, preceding := range s.precedingByRule[r] {
			if remaining[preceding] > 0 {
				return false
			}
		}
	}
	return true
}

// blockingPrecedence returns the precedence that makes a move wait, or the zero value if none does.
func (s *sequencer) blockingPrecedence(move int, remaining []int) planfile.Precedence {
	for _, r := range s.moves[move].rules {
		for _, p := range s.file.Precedences {
			applies := p.Then == r || slices.Contains(s.precedingByRule[r], p.Then)
			if applies && remaining[p.First] > 0 {
				return p
			}
		}
	}
	return planfile.Precedence{}
}

// checkDeadlock rejects precedences that make moves wait for one another. If several rules apply to one range,
// this can happen even though the precedences have no cycle.
func (s *sequencer) checkDeadlock() error {
	remaining, isDone := s.remainingByRule(), make([]bool, len(s.moves))
	for hasChanged := true; hasChanged; {
		hasChanged = false
		for k, v := range s.moves {
			if isDone[k] || !s.precedencesAllow(k, remaining) {
				continue
			}
			isDone[k], hasChanged = true, true
			for _, r := range v.rules {
				remaining[r]--
			}
		}
	}
	line := 0
	var waiting []string
	for k, v := range s.moves {
		if isDone[k] {
			continue
		}
		line = s.blockingPrecedence(k, remaining).Line
		waiting = append(waiting, fmt.Sprintf("%s (blocked by line %d)", s.describeRange(v.rangeIndex), line))
	}
	if waiting == nil {
		return nil
	}
	return s.file.Errorf(line, "deadlock, these moves wait for one another: %s", planfile.JoinSome(waiting))
}

// lockedError returns the error for members at capacity that can't exchange ranges by the given moves.
func (s *sequencer) lockedError(moves []int) error {
	var members, ranges []string
	line := 0
	for _, k := range moves {
		v := s.moves[k]
		for _, slot := range []int{v.from, v.to} {
			text := fmt.Sprintf("%q (%s)", s.slotMembers[slot], s.describeCapacity(slot))
			if !slices.Contains(members, text) {
				members = append(members, text)
			}
			if line == 0 && slot < len(s.members) {
				line = s.members[slot].Line
			}
		}
		ranges = append(ranges, s.describeRange(v.rangeIndex))
	}
	return s.file.Errorf(line,
		"%s are at capacity and shall exchange %s, and no other member can hold one of these in the meantime: "+
			"each is at capacity, leaves, is dedicated, or is excluded by the range's zone or rules",
		planfile.JoinSome(members), planfile.JoinSome(ranges))
}

func (s *sequencer) describeCapacity(slot int) string {
	if slot >= len(s.members) {
		return "not in the file"
	}
	return fmt.Sprintf("line %d, room = %d", s.members[slot].Line, s.members[slot].Capacity)
}

// allowsDetour reports whether a range may be on a member temporarily: the member is neither end of the move, and
// neither drained nor dedicated, and the range's zone affinity and anti-affinity are satisfied there. A pin is ignored,
// since it states the final member. Split-off ranges make no detours, as they need no capacity.
func (s *sequencer) allowsDetour(v move, member int) bool {
	c := s.constraints[v.rangeIndex]
	switch {
	case !s.isBase(v.rangeIndex), member == v.from, member == v.to:
		return false
	case !s.stays[member], s.dedicated[member] != nil:
		return false
	case c.zone != nil && c.zone.Zone != s.members[member].Zone:
		return false
	}
	for _, k := range c.antiAffinity {
		rule := &s.file.Rules[k]
		for _, other := range s.selected[k] {
			if other == v.rangeIndex {
				continue
			}
			if s.isSameDomain(rule, s.owner[other], member) || s.isSameDomain(rule, s.target[other], member) {
				return false
			}
		}
	}
	return true
}

// isSameDomain reports whether two members are in one domain of an anti-affinity rule. The first may be noMember.
func (s *sequencer) isSameDomain(rule *planfile.Rule, a, b int) bool {
	return a >= 0 && (a == b || rule.ByZone && s.members[a].Zone == s.members[b].Zone)
}
