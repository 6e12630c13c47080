package rebalance

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"rowanlink/cluster/rebalance/mincostflow"
	"rowanlink/cluster/rebalance/planfile"
)

// A move costs the keys that it moves, and a small part of a key for being a move; less if it is in flight already.
// Balance takes precedence: a range above a member's quota costs more than all moves together.
const (
	costPerKey  = 64
	costPerMove = 2
)

// placement is a range on a member.
type placement struct{ rangeIndex, member int }

// assignment is the network of one attempt to assign ranges to members, and what its arcs stand for. Units are
// ranges: they go from the source by a node of their own or of a group to the node of a member, and on to the sink.
type assignment struct {
	*problem
	net       *mincostflow.Network
	quotas    []quota
	forbidden map[placement]bool

	memberNode   []int // by member, for ranges that use its capacity
	splitOffNode []int // by member, for ranges that were split off, which use none
	groups       []rangeGroup
	classes      []targetClass
	singles      []singleRange
	directArcs   []directArc
	gates        map[ruleAtMember]int // nodes that let one range of an anti-affinity rule through to a member
}

// rangeGroup is ranges with one owner and the same allowed members: those of the fewest keys move first.
type rangeGroup struct {
	ranges     []int // by weight
	node       int
	arcToClass int
	class      int // index of assignment.classes
}

// targetClass is the members that ranges with the same constraints may move to.
type targetClass struct {
	key     string
	node    int
	members []int
	arcs    []int // by index of members
}

// singleRange is a range with a node of its own.
type singleRange struct{ rangeIndex, node int }

// directArc is the arc for a placement of a single range.
type directArc struct {
	placement
	arc int
}

type ruleAtMember struct{ rule, member int }

// newAssignment builds the network: ranges stay with their owner for nothing or go to another member at their cost; a
// member takes as many as its capacity, at a price that rises above its quota. Ranges of one anti-affinity rule pass
// a gate at each member.
func (p *problem) newAssignment(quotas []quota, forbidden map[placement]bool) *assignment {
	a := &assignment{
		problem:   p,
		net:       mincostflow.New(),
		quotas:    quotas,
		forbidden: forbidden,
		gates:     map[ruleAtMember]int{},
	}
	a.addMembers()
	for m := range p.members {
		a.splitOffNode = append(a.splitOffNode, a.net.AddNode())
		a.net.AddArc(a.splitOffNode[m], mincostflow.Sink, len(p.ranges), 0)
	}
	a.addRanges()
	return a
}

// addMembers adds a node for each member, with an arc to the sink whose price keeps the member near its quota: each
// range below the quota costs less than the next, and one above it costs more than all moves together.
func (a *assignment) addMembers() {
	aboveAllMoves := int64(1)
	for i := range a.ranges {
		aboveAllMoves += costPerKey*a.weights[i] + costPerMove
	}
	largestQuota := 0
	for _, q := range a.quotas {
		largestQuota = max(largestQuota, q.low)
	}
	for m, member := range a.members {
		q := a.quotas[m]
		capacity := len(a.ranges)
		if member.Capacity > 0 {
			capacity = min(capacity, member.Capacity)
		}
		if !a.stays[m] {
			capacity = 0
		}
		node := a.net.AddNode()
		a.memberNode = append(a.memberNode, node)
		a.net.AddConvexArc(node, mincostflow.Sink, capacity, func(unit int) int64 {
			switch {
			case unit < q.low:
				return aboveAllMoves * int64(largestQuota-q.low+unit)
			case unit < q.high:
				return aboveAllMoves * int64(largestQuota)
			}
			return aboveAllMoves * int64(largestQuota+unit-q.high+1)
		})
	}
}

// addRanges adds the nodes of ranges: ranges that are alike but for their keys share one.
func (a *assignment) addRanges() {
	needsOwnNode := make([]bool, len(a.ranges))
	for p := range maps.Keys(a.forbidden) {
		needsOwnNode[p.rangeIndex] = true
	}
	for i, follows := range a.followsBase {
		if follows {
			needsOwnNode[a.base[i]] = true
		}
	}
	groupIndex := map[string]int{}
	for i := range a.ranges {
		if a.followsBase[i] {
			continue
		}
		if needsOwnNode[i] || !a.isBase(i) || a.pendingTarget[i] >= 0 || len(a.constraints[i].antiAffinity) > 0 {
			a.addSingleRange(i)
			continue
		}
		classKey, members := a.allowedMembers(i)
		groupKey := fmt.Sprint(a.owner[i], " ", classKey)
		g, isKnown := groupIndex[groupKey]
		if !isKnown {
			g = len(a.groups)
			groupIndex[groupKey] = g
			a.groups = append(a.groups, rangeGroup{class: a.classOf(classKey, members)})
		}
		a.groups[g].ranges = append(a.groups[g].ranges, i)
	}
	for g := range a.groups {
		a.addGroup(&a.groups[g])
	}
}

// classOf returns the index of the class of a key, which it adds if it is new.
func (a *assignment) classOf(key string, members []int) int {
	if k := slices.IndexFunc(a.classes, func(c targetClass) bool { return c.key == key }); k >= 0 {
		return k
	}
	c := targetClass{key: key, node: a.net.AddNode(), members: members}
	for _, m := range members {
		c.arcs = append(c.arcs, a.net.AddArc(c.node, a.memberNode[m], len(a.ranges), 0))
	}
	a.classes = append(a.classes, c)
	return len(a.classes) - 1
}

func (a *assignment) addGroup(g *rangeGroup) {
	slices.SortStableFunc(g.ranges, func(i, k int) int { return cmp.Compare(a.weights[i], a.weights[k]) })
	owner, n := a.owner[g.ranges[0]], len(g.ranges)
	class := a.classes[g.class]
	g.node = a.net.AddNode()
	a.net.AddArc(mincostflow.Source, g.node, n, 0)
	if slices.Contains(class.members, owner) {
		a.net.AddArc(g.node, a.memberNode[owner], n, 0)
	}
	g.arcToClass = a.net.AddConvexArc(g.node, class.node, n, func(unit int) int64 {
		return costPerKey*a.weights[g.ranges[unit]] + costPerMove
	})
}

// addSingleRange adds a range with a node and arcs of its own. Only ranges of a single anti-affinity rule by member
// pass gates; the other anti-affinity rules are enforced by forbidden placements.
func (a *assignment) addSingleRange(i int) {
	node := a.net.AddNode()
	a.singles = append(a.singles, singleRange{rangeIndex: i, node: node})
	a.net.AddArc(mincostflow.Source, node, 1, 0)
	_, members := a.allowedMembers(i)
	isGated := a.passesGates(i)
	for _, m := range members {
		if a.forbidden[placement{i, m}] {
			continue
		}
		to := a.memberNode[m]
		if !a.isBase(i) {
			to = a.splitOffNode[m]
		}
		if isGated {
			to = a.gate(ruleAtMember{a.constraints[i].antiAffinity[0], m}, to)
		}
		arc := a.net.AddArc(node, to, 1, a.moveCost(i, m))
		a.directArcs = append(a.directArcs, directArc{placement: placement{i, m}, arc: arc})
	}
}

// passesGates reports whether gates enforce a range's anti-affinity: it is under one rule, by member, whose ranges all
// use capacity, or all use none.
func (a *assignment) passesGates(i int) bool {
	rules := a.constraints[i].antiAffinity
	if len(rules) != 1 || a.file.Rules[rules[0]].ByZone {
		return false
	}
	return !slices.ContainsFunc(a.selected[rules[0]], func(k int) bool { return a.isBase(k) != a.isBase(i) })
}

// gate returns the gate of a rule at a member, which it adds if it is new.
func (a *assignment) gate(at ruleAtMember, to int) int {
	node, isKnown := a.gates[at]
	if !isKnown {
		node = a.net.AddNode()
		a.gates[at] = node
		a.net.AddArc(node, to, 1, 0)
	}
	return node
}

// moveCost returns the cost of moving a range, and those that follow it, to a member.
func (p *problem) moveCost(i, to int) int64 {
	sum := p.ownMoveCost(i, to)
	for k := i + 1; p.isBase(i) && k < len(p.ranges) && p.base[k] == i; k++ {
		if p.followsBase[k] {
			sum += p.ownMoveCost(k, to)
		}
	}
	return sum
}

func (p *problem) ownMoveCost(i, to int) int64 {
	switch {
	case p.owner[i] == to:
		return 0
	case p.pendingTarget[i] == to:
		return costPerKey*p.weights[i] + costPerMove - 1
	}
	return costPerKey*p.weights[i] + costPerMove
}

// solve solves the network and returns each range's member and the cost of it all, or false if some range
// can't be assigned.
func (a *assignment) solve() (target []int, cost int64, ok bool) {
	placed := a.net.Solve()
	target = slices.Clone(a.owner)
	for _, d := range a.directArcs {
		if a.net.Flow(d.arc) > 0 {
			target[d.rangeIndex] = d.member
		}
	}
	a.assignGroups(target)
	for i, follows := range a.followsBase {
		if follows {
			target[i] = target[a.base[i]]
			placed++
		}
	}
	return target, a.net.Cost(), placed == len(a.ranges)
}

// assignGroups assigns the ranges that leave their owner by a class to its members. A member doesn't get back what it
// owns if something else is left.
func (a *assignment) assignGroups(target []int) {
	leaving := make([][]int, len(a.classes))
	for _, g := range a.groups {
		leaving[g.class] = append(leaving[g.class], g.ranges[:a.net.Flow(g.arcToClass)]...)
	}
	for k, class := range a.classes {
		slices.Sort(leaving[k])
		for n, arc := range class.arcs {
			member := class.members[n]
			for range a.net.Flow(arc) {
				isOther := func(i int) bool { return a.owner[i] != member }
				next := max(0, slices.IndexFunc(leaving[k], isOther))
				target[leaving[k][next]] = member
				leaving[k] = slices.Delete(leaving[k], next, next+1)
			}
		}
	}
}

// antiAffinityDomain names the domain of a member for an anti-affinity rule: the member itself, or its zone.
func (p *problem) antiAffinityDomain(rule *planfile.Rule, member int) string {
	if rule.ByZone {
		return p.members[member].Zone
	}
	return string(p.members[member].ID)
}
