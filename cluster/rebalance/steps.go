package rebalance

import (
	"cmp"
	"fmt"
	"slices"
)

// run finds an order of the moves.
func (o *order) run() error {
	o.goesBefore = make([][]int, len(o.file.Rules))
	waits, over := false, false
	for k := range o.file.Rules {
		o.goesBefore[k] = o.before(k)
	}
	for _, v := range o.moves {
		waits = waits || slices.ContainsFunc(v.rules, func(r int) bool { return len(o.goesBefore[r]) > 0 })
	}
	for _, n := range o.free {
		over = over || n < 0
	}
	if waits {
		if err := o.crossed(); err != nil {
			return err
		}
	}
	if waits || over {
		return o.search()
	}
	return o.trails()
}

// crossed refuses turns by which two moves, each under several rules, wait for one another.
func (o *order) crossed() error {
	undone, gone := make([]int, len(o.file.Rules)), make([]bool, len(o.moves))
	for _, v := range o.moves {
		for _, r := range v.rules {
			undone[r]++
		}
	}
	s := &search{order: o, undone: undone}
	for again := true; again; {
		again = false
		for k, v := range o.moves {
			if gone[k] || !s.turn(k) {
				continue
			}
			gone[k], again = true, true
			for _, r := range v.rules {
				undone[r]--
			}
		}
	}
	var line Precedence
	var all []string
	for k, v := range o.moves {
		if !gone[k] {
			t := s.waitsBy(k)
			line = t
			all = append(all, fmt.Sprintf("%s by line %d", o.what(v.of), t.Line))
		}
	}
	if all == nil {
		return nil
	}
	return o.file.at(line.Line, "these wait for one another: %s", some(all))
}

// locked says that full members can't change places.
func (o *order) locked(ring []int) error {
	var who, what []string
	line := 0
	for _, k := range ring {
		v := o.moves[k]
		for _, m := range []int{v.from, v.to} {
			name := fmt.Sprintf("%q (%s)", o.names[m], o.room(m))
			if !slices.Contains(who, name) {
				who = append(who, name)
			}
			if line == 0 && m < len(o.members) {
				line = o.members[m].Line
			}
		}
		what = append(what, o.what(v.of))
	}
	return o.file.at(line,
		"%s are full and shall change %s, and no other member may have one of these meanwhile: "+
			"each is full, leaves, is alone, or out of the range's zone or rules", some(who), some(what))
}

func (o *order) room(m int) string {
	if m >= len(o.members) {
		return "not in the file"
	}
	return fmt.Sprintf("line %d, room = %d", o.members[m].Line, o.members[m].Capacity)
}

// steps makes the order found into steps that each know which earlier one frees their place, so that they may
// start as soon as it is through, whatever the others do.
func (o *order) steps() []Step {
	type place struct{ by []int } // steps that have to be through
	free := make([][]place, len(o.names))
	debt, paid := make([]int, len(o.names)), make([][]int, len(o.names))
	bounded := func(m int) bool { return m < len(o.members) && o.members[m].Capacity > 0 }
	for m := range o.names {
		debt[m] = max(0, -o.start[m])
		for range o.start[m] {
			if !bounded(m) {
				break
			}
			free[m] = append(free[m], place{})
		}
	}
	leaves := func(m, step int) {
		if !bounded(m) {
			return
		}
		if debt[m] > 0 {
			debt[m]--
			paid[m] = append(paid[m], step)
			return
		}
		free[m] = append(free[m], place{append(slices.Clone(paid[m]), step)})
	}
	var all []Step
	last, level := map[int]int{}, []int{}
	add := func(v move) int {
		s := Step{From: o.names[v.from], To: o.names[v.to], Kind: v.way, Move: v.id, Rules: v.rules}
		if v.of >= 0 {
			s.Range, s.Keys = o.ranges[v.of].ID, o.told[v.of]
		}
		all, level = append(all, s), append(level, 0)
		return len(all) - 1
	}
	rule := make([]int, len(o.file.Rules)) // the level after which all of a rule are through
	for _, v := range o.head {
		for _, r := range v.rules {
			rule[r] = 1
		}
		k := add(v)
		leaves(o.frees(v), k)
		if v.of >= 0 {
			last[v.of] = k
		}
	}
	heads := len(all)
	of := slices.Clone(o.head)
	for _, k := range o.serial {
		v := o.moves[k]
		n := add(v)
		of = append(of, v)
		s := &all[n]
		if before, moved := last[v.of]; moved {
			s.DependsOn = append(s.DependsOn, Dependency{before, SameRange})
		}
		if bounded(v.to) {
			for _, by := range free[v.to][0].by {
				s.DependsOn = append(s.DependsOn, Dependency{by, CapacityFreed})
			}
			free[v.to] = free[v.to][1:]
		}
		for _, r := range v.rules {
			for _, b := range o.goesBefore[r] {
				if !slices.Contains(s.AfterRules, b) {
					s.AfterRules = append(s.AfterRules, b)
				}
				level[n] = max(level[n], rule[b])
			}
		}
		slices.Sort(s.AfterRules)
		for _, need := range s.DependsOn {
			level[n] = max(level[n], level[need.Step]+1)
		}
		for _, r := range v.rules {
			rule[r] = max(rule[r], level[n]+1)
		}
		last[v.of] = n
		leaves(v.from, n)
	}
	return arranged(all, level, heads, of)
}

// arranged numbers the steps by how many have to be through before them, those that rules want first.
func arranged(all []Step, level []int, heads int, of []move) []Step {
	by := make([]int, len(all))
	for n := range by {
		by[n] = n
	}
	weight := func(n int) int {
		switch {
		case n < heads:
			return -1
		case of[n].forced:
			return 2 * level[n]
		}
		return 2*level[n] + 1
	}
	slices.SortStableFunc(by, func(a, b int) int {
		return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(all[a].Range, all[b].Range))
	})
	now := make([]int, len(all))
	for n, was := range by {
		now[was] = n
	}
	steps := make([]Step, len(all))
	for n, was := range by {
		s := all[was]
		for k := range s.DependsOn {
			s.DependsOn[k].Step = now[s.DependsOn[k].Step]
		}
		steps[n] = s
	}
	return steps
}
