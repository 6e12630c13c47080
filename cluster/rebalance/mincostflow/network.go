// Package mincostflow finds a maximum flow of minimum cost through a network whose arcs have integral capacities and
// convex costs: the cost of an arc's units may rise from unit to unit, but never fall.
//
// The algorithm is that of successive shortest paths with node potentials (Edmonds and Karp 1972; Ahuja, Magnanti and
// Orlin, "Network Flows", 1993, section 9.7, and 14.5 for convex costs), which is exact for such costs. Between two
// searches for shortest paths, units are sent along all paths of that length, as in Dinic's algorithm. gonum has no
// such algorithm.
package mincostflow

import (
	"math"

	"rowanlink/internal/timerqueue"
)

// Source and Sink are the nodes that every network has.
const (
	Source = 0
	Sink   = 1
)

// Network is a network of nodes and arcs, and the flow through it.
type Network struct {
	arcs     []arc
	residual [][]residualArc // by node, the residual arcs that leave it

	potential []int64 // by node; no residual arc has a negative reduced cost
	distance  []int64 // by node, its distance from the source in reduced costs
	visited   []bool  // by node, whether the present search for an augmenting path has visited it
	current   []int   // by node, the index of the next residual arc to try
}

type arc struct {
	from, to int32
	flow     int
	capacity int
	flatCost int64
	unitCost func(unit int) int64 // cost of each unit, counted from 0; nil: flatCost for each
}

// residualArc is 2*arc for the forward direction of an arc, and 2*arc+1 for the reverse one.
type residualArc int32

func (r residualArc) arc() int         { return int(r / 2) }
func (r residualArc) isBackward() bool { return r%2 == 1 }

// New returns a network that has only the source and the sink.
func New() *Network { return &Network{residual: make([][]residualArc, 2)} }

// AddNode adds a node and returns its index.
func (n *Network) AddNode() int {
	n.residual = append(n.residual, nil)
	return len(n.residual) - 1
}

// AddArc adds an arc whose units all have the same cost, and returns its index. The cost must not be negative.
func (n *Network) AddArc(from, to, capacity int, cost int64) int {
	return n.add(arc{from: int32(from), to: int32(to), capacity: capacity, flatCost: cost})
}

// AddConvexArc adds an arc with a cost for each unit, and returns its index. unitCost returns the cost of a unit,
// counted from 0. The costs must not be negative and must not fall from unit to unit.
func (n *Network) AddConvexArc(from, to, capacity int, unitCost func(unit int) int64) int {
	return n.add(arc{from: int32(from), to: int32(to), capacity: capacity, unitCost: unitCost})
}

func (n *Network) add(a arc) int {
	k := len(n.arcs)
	n.arcs = append(n.arcs, a)
	n.residual[a.from] = append(n.residual[a.from], residualArc(2*k))
	n.residual[a.to] = append(n.residual[a.to], residualArc(2*k+1))
	return k
}

// Flow returns the number of units that flow along an arc.
func (n *Network) Flow(arc int) int { return n.arcs[arc].flow }

// Cost returns the cost of the flow.
func (n *Network) Cost() (sum int64) {
	for k := range n.arcs {
		a := &n.arcs[k]
		if a.unitCost == nil {
			sum += int64(a.flow) * a.flatCost
			continue
		}
		for unit := range a.flow {
			sum += a.unitCost(unit)
		}
	}
	return sum
}

// follow returns the node that a residual arc leads to, the cost of the next unit along it, and whether it has capacity
// for one.
func (n *Network) follow(r residualArc) (to int32, cost int64, hasCapacity bool) {
	a := &n.arcs[r.arc()]
	unit, sign := a.flow, int64(1)
	to, hasCapacity = a.to, a.flow < a.capacity
	if r.isBackward() {
		unit, sign = a.flow-1, -1
		to, hasCapacity = a.from, a.flow > 0
	}
	if !hasCapacity {
		return to, 0, false
	}
	if a.unitCost == nil {
		return to, sign * a.flatCost, true
	}
	return to, sign * a.unitCost(unit), true
}

// Solve sends as many units as possible from the source to the sink, as cheaply as possible, and returns how many.
func (n *Network) Solve() (units int) {
	nodes := len(n.residual)
	n.potential, n.distance = make([]int64, nodes), make([]int64, nodes)
	n.visited, n.current = make([]bool, nodes), make([]int, nodes)
	for n.updatePotentials() {
		for {
			clear(n.visited)
			sent := n.augment(Source, math.MaxInt)
			if sent == 0 {
				break
			}
			units += sent
		}
	}
	return units
}

// updatePotentials finds the shortest paths to the sink (Dijkstra's algorithm) and updates the potentials so that the
// residual arcs on these paths have a reduced cost of 0. It returns false if there is no path.
func (n *Network) updatePotentials() bool {
	for i := range n.distance {
		n.distance[i], n.current[i] = math.MaxInt64, 0
	}
	n.distance[Source] = 0
	var queue timerqueue.Queue[int32]
	queue.Add(0, Source)
	for queue.Len() > 0 {
		distance, _ := queue.Next()
		node, _ := queue.PopDue(distance)
		if distance > n.distance[node] || distance >= n.distance[Sink] {
			continue
		}
		for _, r := range n.residual[node] {
			to, cost, hasCapacity := n.follow(r)
			if !hasCapacity {
				continue
			}
			next := distance + cost + n.potential[node] - n.potential[to]
			if next < n.distance[to] && next < n.distance[Sink] {
				n.distance[to] = next
				queue.Add(next, to)
			}
		}
	}
	if n.distance[Sink] == math.MaxInt64 {
		return false
	}
	for i := range n.potential {
		n.potential[i] += min(n.distance[i], n.distance[Sink])
	}
	return true
}

// augment sends at most limit units from a node to the sink along residual arcs of reduced cost 0, depth first, and
// returns how many it sent.
func (n *Network) augment(node int32, limit int) int {
	if node == Sink {
		return limit
	}
	n.visited[node] = true
	for ; n.current[node] < len(n.residual[node]); n.current[node]++ {
		r := n.residual[node][n.current[node]]
		to, cost, hasCapacity := n.follow(r)
		if !hasCapacity || n.visited[to] || cost+n.potential[node]-n.potential[to] != 0 {
			continue
		}
		sent := n.augment(to, min(limit, n.unitsAtSameCost(r)))
		if sent == 0 {
			continue
		}
		if r.isBackward() {
			n.arcs[r.arc()].flow -= sent
		} else {
			n.arcs[r.arc()].flow += sent
		}
		return sent
	}
	return 0
}

// unitsAtSameCost returns how many units can be sent along a residual arc at the cost of the next one. For an arc with
// a cost for each unit it returns 1.
func (n *Network) unitsAtSameCost(r residualArc) int {
	a := &n.arcs[r.arc()]
	switch {
	case a.unitCost != nil:
		return 1
	case r.isBackward():
		return a.flow
	}
	return a.capacity - a.flow
}

// SourceSide returns, by node, whether the source reaches it along residual arcs that have capacity. After Solve, these
// nodes are the source's side of a minimum cut.
func (n *Network) SourceSide() []bool {
	reached := make([]bool, len(n.residual))
	reached[Source] = true
	stack := []int32{Source}
	for len(stack) > 0 {
		node := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		for _, r := range n.residual[node] {
			to, _, hasCapacity := n.follow(r)
			if hasCapacity && !reached[to] {
				reached[to] = true
				stack = append(stack, to)
			}
		}
	}
	return reached
}
