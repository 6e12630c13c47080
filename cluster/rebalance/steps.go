package rebalance

import (
	"cmp"
	"slices"

	"rowanlink/cluster"
)

// stepBuilder makes the sequence found into steps that each depend on the earlier ones which free the capacity that
// they use, so that each may start as soon as those are done, whatever the state of the others.
type stepBuilder struct {
	*sequencer
	steps []Step
	moves []move // by step
	level []int  // by step, how many steps have to be done one after the other before it

	lastStep  map[int]int // by range
	ruleLevel []int       // by rule, the level from which all its steps are done

	// By slot with limited capacity: vacancies, each with the steps that have to be done before it is free; how far
	// the slot is above its capacity; and the steps that brought it nearer to its capacity.
	vacancies [][]vacancy
	excess    []int
	relieving [][]int
}

// vacancy is unused capacity for one range: the steps that have to be done before it is free.
type vacancy []int

func (s *sequencer) steps() []Step {
	b := &stepBuilder{
		sequencer: s,
		lastStep:  map[int]int{},
		ruleLevel: make([]int, len(s.file.Rules)),
		vacancies: make([][]vacancy, len(s.slotIDs)),
		excess:    make([]int, len(s.slotIDs)),
		relieving: make([][]int, len(s.slotIDs)),
	}
	for slot := range s.slotIDs {
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

// release adds the vacancy that a step creates. The first ones only bring the slot down to its capacity.
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
	s := Step{From: b.slotIDs[v.from], To: b.slotIDs[v.to], Kind: v.kind, Move: v.id, Rules: v.rules}
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
	b.addRules(step)
	for _, d := range s.DependsOn {
		b.level[step] = max(b.level[step], b.level[d.Step]+1)
	}
	for _, r := range v.rules {
		b.ruleLevel[r] = max(b.ruleLevel[r], b.level[step]+1)
	}
	b.lastStep[v.rangeIndex] = step
	b.release(v.from, step)
}

// addRules makes a step wait for the rules that precede its own.
func (b *stepBuilder) addRules(step int) {
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

// sorted returns the steps by level, those in flight first and those that rules force first within a level.
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
