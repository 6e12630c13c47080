package rebalance

import (
	"cmp"
	"maps"
	"slices"
)

// A move from a to b fills a vacancy at b and creates one at a, so that the vacancy moves from b to a. An order
// of moves is thus a set of trails of vacancies along all moves backwards, each move once. Moves that are connected
// by their slots have such trails if some slot has a vacancy: the slots that have one less in the end than before
// begin one for each, or else it is one round trip from any vacancy (Euler's condition). Where all slots are full
// and stay so, the moves need a detour.

// components divides moves into those that are connected by their slots (union-find).
func (s *sequencer) components(moves []int) [][]int {
	parent := make([]int, len(s.slotIDs))
	for i := range parent {
		parent[i] = i
	}
	root := func(v int) int {
		for parent[v] != v {
			parent[v] = parent[parent[v]]
			v = parent[v]
		}
		return v
	}
	for _, k := range moves {
		parent[root(s.moves[k].from)] = root(s.moves[k].to)
	}
	var components [][]int
	index := map[int]int{} // by root
	for _, k := range moves {
		r := root(s.moves[k].from)
		if _, isKnown := index[r]; !isKnown {
			index[r] = len(components)
			components = append(components, nil)
		}
		components[index[r]] = append(components[index[r]], k)
	}
	return components
}

// isFull reports whether connected moves have no vacancy at their slots, now nor by themselves.
func (s *sequencer) isFull(component []int, free []int) bool {
	return !slices.ContainsFunc(component, func(k int) bool {
		return free[s.moves[k].from] > 0 || free[s.moves[k].to] > 0
	})
}

// orderByTrails orders moves that no rule makes wait, of members that don't exceed their capacity. It is exact: where
// it finds no order, there is none.
func (s *sequencer) orderByTrails() error {
	moves := make([]int, len(s.moves))
	for k := range moves {
		moves[k] = k
	}
	var full [][]int
	for _, component := range s.components(moves) {
		if s.isFull(component, s.free) {
			full = append(full, component)
			continue
		}
		s.sequence = append(s.sequence, s.trails(component, s.trailStarts(component))...)
	}
	for len(full) > 0 { // a range on its detour may leave a vacancy for the next component's
		remaining := slices.DeleteFunc(slices.Clone(full), s.orderByDetour)
		if len(remaining) == len(full) {
			return s.lockedError(full[0])
		}
		full = remaining
	}
	return nil
}

// trailStarts returns the slots where trails begin, once for each trail.
func (s *sequencer) trailStarts(component []int) (starts []int) {
	gain := map[int]int{} // by slot, ranges that it has more in the end
	for _, k := range component {
		gain[s.moves[k].to]++
		gain[s.moves[k].from]--
	}
	slots := slices.Sorted(maps.Keys(gain))
	for _, slot := range slots {
		for range gain[slot] {
			starts = append(starts, slot)
		}
	}
	if starts == nil {
		freest := slices.MaxFunc(slots, func(a, b int) int { return cmp.Compare(s.free[a], s.free[b]) })
		starts = []int{freest}
	}
	return starts
}

// The trails are one round trip by a root node, which is no slot: from the root to each start, and from each end to
// the root. Edges are indexes of moves, or one of these.
const (
	rootNode   = -1
	toRootEdge = -1
)

func startEdge(slot int) int     { return -2 - slot }
func slotOfStartEdge(e int) int  { return -2 - e }
func isMoveEdge(edge int) bool   { return edge >= 0 }
func isToRootEdge(edge int) bool { return edge == toRootEdge }

// trails returns all moves of a component in an order in which vacancies move along them from the given slots.
func (s *sequencer) trails(component, starts []int) []int {
	edges := s.trailEdges(component, starts)
	// Hierholzer's algorithm finds the round trip from its end.
	type visit struct{ node, edge int }
	stack := []visit{{rootNode, toRootEdge}}
	trip := []int{}
	for len(stack) > 0 {
		v := stack[len(stack)-1]
		n := len(edges[v.node])
		if n == 0 {
			stack = stack[:len(stack)-1]
			if isMoveEdge(v.edge) {
				trip = append(trip, v.edge)
			}
			continue
		}
		edge := edges[v.node][n-1]
		edges[v.node] = edges[v.node][:n-1]
		switch {
		case isMoveEdge(edge):
			stack = append(stack, visit{s.moves[edge].from, edge})
		case isToRootEdge(edge):
			stack = append(stack, visit{rootNode, toRootEdge})
		default:
			stack = append(stack, visit{slotOfStartEdge(edge), toRootEdge})
		}
	}
	slices.Reverse(trip)
	return trip
}

// trailEdges returns by node the edges that a vacancy there may go along.
func (s *sequencer) trailEdges(component, starts []int) map[int][]int {
	edges := map[int][]int{}
	surplus := map[int]int{} // by slot, edges that enter it over those that leave it
	for _, k := range component {
		v := s.moves[k]
		edges[v.to] = append(edges[v.to], k)
		surplus[v.from]++
		surplus[v.to]--
	}
	for _, slot := range starts {
		edges[rootNode] = append(edges[rootNode], startEdge(slot))
		surplus[slot]++
	}
	for _, slot := range slices.Sorted(maps.Keys(surplus)) {
		for range surplus[slot] {
			edges[slot] = append(edges[slot], toRootEdge)
		}
	}
	return edges
}

// orderByDetour orders a full component by way of a vacancy elsewhere: the range of the fewest keys that may go to
// one goes there first, and on to its target last. It returns false if there is none.
func (s *sequencer) orderByDetour(component []int) bool {
	component = slices.Clone(component)
	slices.SortStableFunc(component, func(a, b int) int {
		return cmp.Compare(s.weights[s.moves[a].rangeIndex], s.weights[s.moves[b].rangeIndex])
	})
	freeAfter := s.freeAfter()
	for n, k := range component {
		via := s.earliestDetour(s.moves[k], freeAfter)
		if via == noMember {
			continue
		}
		first, last := s.moves[k], s.moves[k]
		first.to, first.kind = via, StepDetour
		last.from = via
		s.moves[k] = first
		s.moves = append(s.moves, last)

		others := slices.Delete(slices.Clone(component), n, n+1)
		slices.Sort(others)
		ordered := append([]int{k}, s.trails(others, []int{first.from})...)
		ordered = append(ordered, len(s.moves)-1)
		s.sequence = slices.Insert(s.sequence, freeAfter[via], ordered...)
		return true
	}
	return false
}

// earliestDetour returns the member that has a vacancy for a detour of a move first, or none.
func (s *sequencer) earliestDetour(v move, freeAfter []int) int {
	best := noMember
	for m := range s.members {
		if freeAfter[m] == neverFree || !s.allowsDetour(v, m) {
			continue
		}
		if best == noMember || freeAfter[m] < freeAfter[best] {
			best = m
		}
	}
	return best
}

const neverFree = -1

// freeAfter returns by slot how many moves of the sequence have to be done until it has a vacancy, or neverFree.
func (s *sequencer) freeAfter() []int {
	after, free := make([]int, len(s.slotIDs)), slices.Clone(s.free)
	for slot := range after {
		after[slot] = neverFree
		if free[slot] > 0 {
			after[slot] = 0
		}
	}
	for n, k := range s.sequence {
		v := s.moves[k]
		free[v.to]--
		free[v.from]++
		if after[v.from] == neverFree && free[v.from] > 0 {
			after[v.from] = n + 1
		}
	}
	return after
}
