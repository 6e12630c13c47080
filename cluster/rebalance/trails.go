package rebalance

import (
	"cmp"
	"slices"
)

// A free place wanders: a move from a to b fills one at b and frees one at a. So an order of moves is trails
// of free places along all moves backwards, each move once. Moves that hang together have such trails where
// some member has a place: those that in the end have one less than before begin one for each, and else it is
// one round trip from any free place (Euler's condition). Where all are full and stay so, it needs a
// stop-over.

// rings parts the moves into those that hang together by their members.
func (o *order) rings(moves []int) [][]int {
	parent := make([]int, len(o.names))
	for i := range parent {
		parent[i] = i
	}
	var root func(v int) int
	root = func(v int) int {
		for parent[v] != v {
			parent[v] = parent[parent[v]]
			v = parent[v]
		}
		return v
	}
	for _, k := range moves {
		parent[root(o.moves[k].from)] = root(o.moves[k].to)
	}
	var rings [][]int
	at := map[int]int{}
	for _, k := range moves {
		r := root(o.moves[k].from)
		if _, known := at[r]; !known {
			at[r], rings = len(rings), append(rings, nil)
		}
		rings[at[r]] = append(rings[at[r]], k)
	}
	return rings
}

// full tells whether moves that hang together have no free place among their members, now nor by themselves.
func (o *order) full(ring []int, free []int) bool {
	for _, k := range ring {
		if free[o.moves[k].from] > 0 || free[o.moves[k].to] > 0 {
			return false
		}
	}
	return true
}

// trails orders moves that no rule makes wait and no member is over its room for. It is exact: where it finds
// no order, there is none.
func (o *order) trails() error {
	all := make([]int, len(o.moves))
	for k := range all {
		all[k] = k
	}
	var stuck [][]int
	for _, ring := range o.rings(all) {
		if o.full(ring, o.free) {
			stuck = append(stuck, ring)
			continue
		}
		o.serial = append(o.serial, o.trail(ring, o.begins(ring))...)
	}
	for len(stuck) > 0 { // one that makes its stop-over may have a place for the next one's meanwhile
		left := slices.DeleteFunc(slices.Clone(stuck), o.stopOver)
		if len(left) == len(stuck) {
			return o.locked(stuck[0])
		}
		stuck = left
	}
	return nil
}

// begins is where trails begin, once for each.
func (o *order) begins(ring []int) (at []int) {
	gain := map[int]int{}
	for _, k := range ring {
		gain[o.moves[k].to]++
		gain[o.moves[k].from]--
	}
	var members []int
	for m := range gain {
		members = append(members, m)
	}
	slices.Sort(members)
	for _, m := range members {
		for range gain[m] {
			at = append(at, m)
		}
	}
	if at == nil {
		most := func(a, b int) int { return cmp.Compare(o.free[a], o.free[b]) }
		at = []int{slices.MaxFunc(members, most)}
	}
	return at
}

// trail is all of the moves in an order in which free places that begin at given members go along them.
func (o *order) trail(ring, begin []int) []int {
	const none = -1
	out, gain := map[int][]int{}, map[int]int{} // by member, what a free place there may go along
	for _, k := range ring {
		v := o.moves[k]
		out[v.to] = append(out[v.to], k)
		gain[v.from]++
		gain[v.to]--
	}
	// A node that is no member ties the trails to one round trip: from where they end to where they begin.
	for _, m := range begin {
		out[none] = append(out[none], -2-m)
		gain[m]++
	}
	ends := []int{}
	for m, n := range gain {
		for range n {
			ends = append(ends, m)
		}
	}
	slices.Sort(ends)
	for _, m := range ends {
		out[m] = append(out[m], none)
	}
	// Hierholzer's round trip, from its end.
	type step struct{ at, by int }
	open, back := []step{{none, none}}, []int{}
	for len(open) > 0 {
		v := open[len(open)-1]
		if n := len(out[v.at]); n > 0 {
			by := out[v.at][n-1]
			out[v.at] = out[v.at][:n-1]
			switch {
			case by >= 0:
				open = append(open, step{o.moves[by].from, by})
			case by == none:
				open = append(open, step{none, none})
			default:
				open = append(open, step{-2 - by, none})
			}
			continue
		}
		if open = open[:len(open)-1]; v.by >= 0 {
			back = append(back, v.by)
		}
	}
	slices.Reverse(back)
	return back
}

// stopOver orders a full ring by way of a free place elsewhere: the range of the fewest keys that may go to
// one goes there first and on last. It tells whether there is one.
func (o *order) stopOver(ring []int) bool {
	ring = slices.Clone(ring)
	slices.SortStableFunc(ring, func(a, b int) int {
		return cmp.Compare(o.keys[o.moves[a].of], o.keys[o.moves[b].of])
	})
	when := o.whenFree()
	for n, k := range ring {
		at, found := -1, -1
		for x := range o.members {
			if when[x] >= 0 && (at < 0 || when[x] < at) && o.mayStop(o.moves[k], x) {
				at, found = when[x], x
			}
		}
		if found < 0 {
			continue
		}
		first, last := o.moves[k], o.moves[k]
		first.to, first.way, last.from = found, StepDetour, found
		others := slices.Delete(slices.Clone(ring), n, n+1)
		slices.Sort(others)
		o.moves[k] = first
		o.moves = append(o.moves, last)
		way := append([]int{k}, o.trail(others, []int{first.from})...)
		o.serial = slices.Insert(o.serial, at, append(way, len(o.moves)-1)...)
		return true
	}
	return false
}

// whenFree is how many of the moves in order have to be through until a member has a free place; -1: it never
// has.
func (o *order) whenFree() []int {
	when, free := make([]int, len(o.names)), slices.Clone(o.free)
	for m := range when {
		if when[m] = -1; free[m] > 0 {
			when[m] = 0
		}
	}
	for n, k := range o.serial {
		v := o.moves[k]
		free[v.to]--
		if free[v.from]++; when[v.from] < 0 && free[v.from] > 0 {
			when[v.from] = n + 1
		}
	}
	return when
}

// mayStop tells whether a range may be on a member for a while: all rules hold there but its pin.
func (o *order) mayStop(v move, x int) bool {
	a := o.asked[v.of]
	if !o.whole(v.of) || x == v.from || x == v.to || !o.stays[x] || o.alone[x] != nil || a.keep != nil &&
		a.keep.Zone != o.members[x].Zone {
		return false
	}
	for _, k := range a.apart {
		for _, other := range o.covered[k] {
			if other != v.of && (o.near(o.file.Rules[k], o.home[other], x) || o.near(o.file.Rules[k], o.to[other],
				x)) {
				return false
			}
		}
	}
	return true
}

func (o *order) near(rule Rule, m, x int) bool {
	return m >= 0 && (m == x || rule.ByZone && o.members[m].Zone == o.members[x].Zone)
}
