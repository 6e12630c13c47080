package rebalance

import (
	"fmt"
	"slices"

	"rowanlink/cluster"
	"rowanlink/cluster/rebalance/planfile"
	"rowanlink/cluster/shardmap"
)

// move is a move that becomes a step. from and to are slots of the sequencer.
type move struct {
	rangeIndex int // noRange: its owner was lost
	from, to   int
	kind       StepKind
	id         shardmap.MoveID // of a move in flight
	rules      []int
	isForced   bool // a rule wants it, rather than balance
}

const noRange = -1

// sequencer searches for an order of the moves in which no member exceeds its capacity. A slot is a member as far as
// its capacity is used; split-off ranges use none, so that they have slots of their own for their members. The slots
// of the file's members come first, in the file's order.
type sequencer struct {
	*problem
	target  []int              // by range, its member
	slotIDs []cluster.MemberID // by slot; also of members that the file doesn't have

	inFlight []move // moves that have begun: they end by themselves
	moves    []move // moves to order
	sequence []int  // the order found: indexes of moves

	// Free capacity by slot, below 0 for a member above its capacity: now, and once the moves in flight are done.
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
	for _, left := range m.DetachedMoves {
		s.inFlight = append(s.inFlight, move{
			rangeIndex: noRange,
			from:       s.slot(left.From, capacitySlots),
			to:         s.slot(left.To, capacitySlots),
			kind:       StepContinue,
			id:         left.ID,
		})
	}
	s.freeNow = slices.Clone(s.free)
	for _, v := range s.inFlight {
		s.freeNow[v.freedSlot()]--
	}
	return s
}

// slot returns the slot of a member, which it adds if it is new.
func (s *sequencer) slot(id cluster.MemberID, slots map[cluster.MemberID]int) int {
	if k, isKnown := slots[id]; isKnown {
		return k
	}
	k := len(s.slotIDs)
	slots[id] = k
	s.slotIDs = append(s.slotIDs, id)
	capacity := unlimitedCapacity
	if k < len(s.members) && s.members[k].Capacity > 0 {
		capacity = s.members[k].Capacity
	}
	s.free = append(s.free, capacity)
	return k
}

// addInFlight adds a move that has begun. One that can be rolled back is, unless it goes to the range's target.
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

// memberOrUnknown returns a member's index, or one that no member of the file has.
func (s *sequencer) memberOrUnknown(id cluster.MemberID) int {
	if k, ok := s.memberIndex[id]; ok {
		return k
	}
	return len(s.members)
}

// freedSlot returns the slot whose capacity a move in flight uses until it is done.
func (v move) freedSlot() int {
	if v.kind == StepRollBack {
		return v.to
	}
	return v.from
}

// run finds an order of the moves. Where no rule makes moves wait and no member exceeds its capacity, the trails of
// free capacity are exact and fast; else it takes a search.
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

// remainingByRule counts the moves by each rule.
func (s *sequencer) remainingByRule() []int {
	remaining := make([]int, len(s.file.Rules))
	for _, v := range s.moves {
		for _, r := range v.rules {
			remaining[r]++
		}
	}
	return remaining
}

// isDue reports whether no move by a preceding rule remains before a move.
func (s *sequencer) isDue(move int, remaining []int) bool {
	for _, r := range s.moves[move].rules {
		for _, preceding := range s.precedingByRule[r] {
			if remaining[preceding] > 0 {
				return false
			}
		}
	}
	return true
}

// blockingPrecedence returns the precedence that a move waits for, if it waits for one.
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

// checkDeadlock rejects precedences by which moves that are under several rules wait for one another.
func (s *sequencer) checkDeadlock() error {
	remaining, isDone := s.remainingByRule(), make([]bool, len(s.moves))
	for hasChanged := true; hasChanged; {
		hasChanged = false
		for k, v := range s.moves {
			if isDone[k] || !s.isDue(k, remaining) {
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
		waiting = append(waiting, fmt.Sprintf("%s by line %d", s.describeRange(v.rangeIndex), line))
	}
	if waiting == nil {
		return nil
	}
	return s.file.Errorf(line, "deadlock, these moves wait for one another: %s", planfile.JoinSome(waiting))
}

// lockedError is the error for members at capacity that can't exchange ranges.
func (s *sequencer) lockedError(moves []int) error {
	var members, ranges []string
	line := 0
	for _, k := range moves {
		v := s.moves[k]
		for _, slot := range []int{v.from, v.to} {
			text := fmt.Sprintf("%q (%s)", s.slotIDs[slot], s.describeCapacity(slot))
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
		"%s are at capacity and shall exchange %s, and no other member may have one of these meanwhile: "+
			"each is at capacity, leaves, is dedicated, or excluded by the range's zone or rules",
		planfile.JoinSome(members), planfile.JoinSome(ranges))
}

func (s *sequencer) describeCapacity(slot int) string {
	if slot >= len(s.members) {
		return "not in the file"
	}
	return fmt.Sprintf("line %d, room = %d", s.members[slot].Line, s.members[slot].Capacity)
}

// allowsDetour reports whether a range may be on a member for a while: all its rules hold there, but for its pin.
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

// isSameDomain reports whether two members are in one domain of an anti-affinity rule. The first may be none.
func (s *sequencer) isSameDomain(rule *planfile.Rule, a, b int) bool {
	return a >= 0 && (a == b || rule.ByZone && s.members[a].Zone == s.members[b].Zone)
}
