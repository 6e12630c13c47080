package rebalance

import (
	"math"

	"rowanlink/internal/timerqueue"
)

// network finds the cheapest way for units from node 0 to node 1. The price of an arc's units may rise from
// unit to unit, but never fall; then the way by shortest augmenting paths is exact. (gonum has no such
// search.)
type network struct {
	arcs []arc
	from [][]int32 // by node: 2*arc on, 2*arc+1 back along it

	height []int64 // by node; no arc with room has a negative price against the difference in height
	dist   []int64
	seen   []bool
	next   []int
}

type arc struct {
	from, to  int32
	has, room int
	flat      int64
	price     func(unit int) int64 // of units from 0 on; nil: flat
}

func newNetwork() *network { return &network{from: make([][]int32, 2)} }

func (n *network) node() int {
	n.from = append(n.from, nil)
	return len(n.from) - 1
}

func (n *network) arc(from, to, room int, flat int64, price func(unit int) int64) int {
	k := len(n.arcs)
	n.arcs = append(n.arcs, arc{int32(from), int32(to), 0, room, flat, price})
	n.from[from], n.from[to] = append(n.from[from], int32(2*k)), append(n.from[to], int32(2*k+1))
	return k
}

// way is where half an arc leads, what the next unit along it costs, and whether there is room for one.
func (n *network) way(half int32) (to int32, price int64, room bool) {
	a := &n.arcs[half/2]
	unit, sign := a.has, int64(1)
	if to, room = a.to, a.has < a.room; half%2 == 1 {
		unit, sign, to, room = a.has-1, -1, a.from, a.has > 0
	}
	if !room {
		return to, 0, false
	}
	if a.price == nil {
		return to, sign * a.flat, true
	}
	return to, sign * a.price(unit), true
}

// run sends as many units as it can, each as cheaply as it goes, and returns how many. What node 0 still
// reaches then tells why no more can go.
func (n *network) run() (units int) {
	n.height, n.dist = make([]int64, len(n.from)), make([]int64, len(n.from))
	n.seen, n.next = make([]bool, len(n.from)), make([]int, len(n.from))
	for n.shortest() {
		for {
			clear(n.seen)
			if sent := n.send(0, math.MaxInt); sent > 0 {
				units += sent
				continue
			}
			break
		}
	}
	return units
}

// shortest lifts the nodes so that the cheapest ways to node 1 go down by their price.
func (n *network) shortest() bool {
	for i := range n.dist {
		n.dist[i], n.next[i] = math.MaxInt64, 0
	}
	n.dist[0] = 0
	var open timerqueue.Queue[int32]
	open.Add(0, 0)
	for open.Len() > 0 {
		dist, _ := open.Next()
		v, _ := open.PopDue(dist)
		if dist > n.dist[v] || dist >= n.dist[1] {
			continue
		}
		for _, half := range n.from[v] {
			to, price, room := n.way(half)
			if !room {
				continue
			}
			if d := dist + price + n.height[v] - n.height[to]; d < n.dist[to] && d < n.dist[1] {
				n.dist[to] = d
				open.Add(d, to)
			}
		}
	}
	if n.dist[1] == math.MaxInt64 {
		return false
	}
	for i := range n.height {
		n.height[i] += min(n.dist[i], n.dist[1])
	}
	return true
}

func (n *network) send(v int32, most int) int {
	if v == 1 {
		return most
	}
	n.seen[v] = true
	for ; n.next[v] < len(n.from[v]); n.next[v]++ {
		half := n.from[v][n.next[v]]
		to, price, room := n.way(half)
		if !room || n.seen[to] || price+n.height[v]-n.height[to] != 0 {
			continue
		}
		if sent := n.send(to, min(most, n.alike(half))); sent > 0 {
			n.arcs[half/2].has += sent * (1 - 2*int(half%2))
			return sent
		}
	}
	return 0
}

// alike is how many units go at the next one's price, or 1 where that is not known.
func (n *network) alike(half int32) int {
	a := &n.arcs[half/2]
	switch {
	case a.price != nil:
		return 1
	case half%2 == 1:
		return a.has
	}
	return a.room - a.has
}

// reach is what node 0 reaches by arcs with room.
func (n *network) reach() []bool {
	seen, open := make([]bool, len(n.from)), []int32{0}
	seen[0] = true
	for len(open) > 0 {
		v := open[len(open)-1]
		open = open[:len(open)-1]
		for _, half := range n.from[v] {
			if to, _, room := n.way(half); room && !seen[to] {
				seen[to] = true
				open = append(open, to)
			}
		}
	}
	return seen
}
