package rebalance

import (
	"cmp"
	"slices"

	"rowanlink/cluster"
)

// stepBuilder turns the sequence of moves into steps with dependencies. A step depends on the earlier steps that free
// the capacity that it uses, so that it may start as soon as these are done, whatever the state of all others.
type stepBuilder struct {
	*sequencer
	steps []Step
	moves []move // by step
	level []int  // by step, the length of the longest chain of steps that have to be done before it

	lastStep  map[int]int // by range, the last step that moves it
	ruleLevel []int       // by rule, the lowest level above those of all its steps

	// By slot with limited capacity: its vacancies, in the order in which they are used; the number of ranges by which
	// the slot exceeds its capacity; and the steps that have reduced this excess.
	vacancies [][]vacancy
	excess    []int
	relieving [][]int
}

// vacancy is unused capacity for one range, given as the steps that have to be done before it is available.
type vacancy []int

// steps returns the steps for the moves in flight and for the sequence.
func (s *sequencer) steps() []Step {
	b := &stepBuilder{
		sequencer: s,
		lastStep:  map[int]int{},
		ruleLevel: make([]int, len(s.file.Rules)),
		vacancies: make([][]vacancy, len(s.slotMembers)),
		excess:    make([]int, len(s.slotMembers)),
		relieving: make([][]int, len(s.slotMembers)),
	}
	for slot := range s.slotMembers {
		b.excess[slot] = max(0, -s.freeNow[slot])
		if b.isLimited(slot) && s.freeNow[slot] > 0 {
			b.vacancies[slot] = make([]vacancy, s.freeNow[slot])
		}
	}
	for _, v := range s.inFlight {
		b.addInFlight(v)
	}
	for _, k := range s.sequence {
		b.addMove(s.moves[k])
	}
	return b.sorted()
}

func (b *stepBuilder) isLimited(slot int) bool {
	return slot < len(b.members) && b.members[slot].Capacity > 0
}

// release adds the vacancy that a step creates at a slot. While the slot exceeds its capacity, the step only reduces
// the excess; later vacancies then depend on it too.
func (b *stepBuilder) release(slot, step int) {
	if !b.isLimited(slot) {
		return
	}
	if b.excess[slot] > 0 {
		b.excess[slot]--
		b.relieving[slot] = append(b.relieving[slot], step)
		return
	}
	freedBy := append(slices.Clone(b.relieving[slot]), step)
	b.vacancies[slot] = append(b.vacancies[slot], freedBy)
}

func (b *stepBuilder) add(v move) int {
	s := Step{From: b.slotMembers[v.from], To: b.slotMembers[v.to], Kind: v.kind, Move: v.id, Rules: v.rules}
	if v.rangeIndex != noRange {
		s.Range, s.Keys = b.ranges[v.rangeIndex].ID, b.keyCounts[v.rangeIndex]
	}
	b.steps = append(b.steps, s)
	b.moves = append(b.moves, v)
	b.level = append(b.level, 0)
	return len(b.steps) - 1
}

func (b *stepBuilder) addInFlight(v move) {
	for _, r := range v.rules {
		b.ruleLevel[r] = 1
	}
	step := b.add(v)
	b.release(v.freedSlot(), step)
	if v.rangeIndex != noRange {
		b.lastStep[v.rangeIndex] = step
	}
}

func (b *stepBuilder) addMove(v move) {
	step := b.add(v)
	s := &b.steps[step]
	if earlier, hasMoved := b.lastStep[v.rangeIndex]; hasMoved {
		s.DependsOn = append(s.DependsOn, Dependency{earlier, SameRange})
	}
	if b.isLimited(v.to) {
		for _, earlier := range b.vacancies[v.to][0] {
			s.DependsOn = append(s.DependsOn, Dependency{earlier, CapacityFreed})
		}
		b.vacancies[v.to] = b.vacancies[v.to][1:]
	}
	b.addAfterRules(step)
	for _, d := range s.DependsOn {
		b.level[step] = max(b.level[step], b.level[d.Step]+1)
	}
	for _, r := range v.rules {
		b.ruleLevel[r] = max(b.ruleLevel[r], b.level[step]+1)
	}
	b.lastStep[v.rangeIndex] = step
	b.release(v.from, step)
}

// addAfterRules makes a step wait for the rules that precede its own rules.
func (b *stepBuilder) addAfterRules(step int) {
	s := &b.steps[step]
	for _, r := range s.Rules {
		for _, preceding := range b.precedingByRule[r] {
			if !slices.Contains(s.AfterRules, preceding) {
				s.AfterRules = append(s.AfterRules, preceding)
			}
			b.level[step] = max(b.level[step], b.ruleLevel[preceding])
		}
	}
	slices.Sort(s.AfterRules)
}

// sorted returns the steps sorted by level, after those in flight. Within a level, moves that rules force come before
// moves for balance.
func (b *stepBuilder) sorted() []Step {
	rank := func(step int) int {
		switch {
		case step < len(b.inFlight):
			return -1
		case b.moves[step].isForced:
			return 2 * b.level[step]
		}
		return 2*b.level[step] + 1
	}
	rangeOf := func(step int) cluster.RangeID { return b.steps[step].Range }
	order := make([]int, len(b.steps))
	for step := range order {
		order[step] = step
	}
	slices.SortStableFunc(order, func(x, y int) int {
		return cmp.Or(cmp.Compare(rank(x), rank(y)), cmp.Compare(rangeOf(x), rangeOf(y)))
	})
	newIndex := make([]int, len(b.steps))
	for index, step := range order {
		newIndex[step] = index
	}
	sorted := make([]Step, len(b.steps))
	for index, step := range order {
		s := b.steps[step]
		for k := range s.DependsOn {
			s.DependsOn[k].Step = newIndex[s.DependsOn[k].Step]
		}
		sorted[index] = s
	}
	return sorted
}
