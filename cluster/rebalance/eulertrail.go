package rebalance

import (
	"cmp"
	"maps"
	"slices"
)

// A vacancy is free capacity for one range. A move from slot a to slot b fills a vacancy at b and creates one at a, so
// that the vacancy moves from b to a. Take the slots as nodes and each move as an edge from its target back to its
// source: an order of the moves is then a set of trails of vacancies in which each edge occurs once. By Euler's
// condition, a connected component has such trails if one of its slots has a vacancy: as many trails start at a slot as
// it has more ranges in the end than before; if there is no such slot, the trail is one circuit that starts at any
// vacancy. If all slots of a component are full, it needs a detour by a member outside it.

// components divides moves into connected components: moves that share a slot are in the same one (union-find).
func (s *sequencer) components(moves []int) [][]int {
	parent := make([]int, len(s.slotMembers))
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

// isFull reports whether no slot of a component has a vacancy, so that none of its moves can be the first. free is the
// free capacity by slot.
func (s *sequencer) isFull(component []int, free []int) bool {
	return !slices.ContainsFunc(component, func(k int) bool {
		return free[s.moves[k].from] > 0 || free[s.moves[k].to] > 0
	})
}

// orderByTrails finds an order of the moves if no precedence makes a move wait and no member exceeds its capacity. It
// is exact: if it finds no order, there is none.
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
	for len(full) > 0 { // a component that is done may leave a vacancy for the detour of another
		remaining := slices.DeleteFunc(slices.Clone(full), s.orderByDetour)
		if len(remaining) == len(full) {
			return s.lockedError(full[0])
		}
		full = remaining
	}
	return nil
}

// trailStarts returns the slots where trails start, a slot once for each trail that starts there.
func (s *sequencer) trailStarts(component []int) (starts []int) {
	gain := map[int]int{} // by slot, how many more ranges it has in the end than before
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
		mostFree := slices.MaxFunc(slots, func(a, b int) int { return cmp.Compare(s.free[a], s.free[b]) })
		starts = []int{mostFree}
	}
	return starts
}

// The trails are found as one Euler circuit by way of an additional root node, with an edge from the root to the start
// of each trail and an edge from the end of each trail to the root. An edge is the index of a move, toRootEdge, or a
// startEdge.
const (
	rootNode   = -1
	toRootEdge = -1
)

func startEdge(slot int) int     { return -2 - slot }
func slotOfStartEdge(e int) int  { return -2 - e }
func isMoveEdge(edge int) bool   { return edge >= 0 }
func isToRootEdge(edge int) bool { return edge == toRootEdge }

// trails returns all moves of a component in an order in which vacancies that start at the given slots move along them.
func (s *sequencer) trails(component, starts []int) []int {
	edges := s.trailEdges(component, starts)
	// Hierholzer's algorithm finds the circuit in reverse.
	type visit struct{ node, edge int }
	stack := []visit{{rootNode, toRootEdge}}
	circuit := []int{}
	for len(stack) > 0 {
		v := stack[len(stack)-1]
		n := len(edges[v.node])
		if n == 0 {
			stack = stack[:len(stack)-1]
			if isMoveEdge(v.edge) {
				circuit = append(circuit, v.edge)
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
	slices.Reverse(circuit)
	return circuit
}

// trailEdges returns, by node, the edges that leave it.
func (s *sequencer) trailEdges(component, starts []int) map[int][]int {
	edges := map[int][]int{}
	surplus := map[int]int{} // by slot, the number of edges that enter it minus those that leave it
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

// orderByDetour orders a full component with a detour by a member that has a vacancy: of the ranges that may be there
// temporarily, the one with the fewest keys moves there first, and to its target last. It returns false if there is no
// such member for any range.
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

// earliestDetour returns the member that allows the detour of a move and is the first to have a vacancy in the
// sequence, or noMember.
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

// neverFree is the result of freeAfter for a slot that has no vacancy at any point of the sequence.
const neverFree = -1

// freeAfter returns, by slot, the number of moves of the sequence after which it first has a vacancy, or neverFree.
func (s *sequencer) freeAfter() []int {
	after, free := make([]int, len(s.slotMembers)), slices.Clone(s.free)
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
