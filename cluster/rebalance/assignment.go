package rebalance

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"rowanlink/cluster/rebalance/mincostflow"
	"rowanlink/cluster/rebalance/planfile"
)

// A move costs costPerKey for each key, and costPerMove so that of two placements that move the same number of keys the
// one with fewer moves is cheaper. A move that is already in flight costs 1 less. Balance takes precedence over both: a
// range above a member's quota costs more than all moves together.
const (
	costPerKey  = 64
	costPerMove = 2
)

// placement assigns one range to one member.
type placement struct{ rangeIndex, member int }

// assignment is the flow network of one attempt to assign ranges to members, with the meaning of its nodes and arcs.
// Each unit of flow is a range. It flows from the source through the node of the range or of its group to the node of a
// member, and on to the sink.
type assignment struct {
	*problem
	net       *mincostflow.Network
	quotas    []quota
	forbidden map[placement]bool

	memberNode     []int // by member, for base ranges, which use its capacity
	splitOffNode   []int // by member, for split-off ranges, which use no capacity
	groups         []rangeGroup
	classes        []targetClass
	singles        []singleRange
	directArcs     []directArc
	exclusionNodes map[ruleAtMember]int // each lets one range through to its member
}

// rangeGroup is the ranges with the same owner and the same allowed members. They share a node, since
// the network only has to decide how many of them move: those with the fewest keys move first.
type rangeGroup struct {
	ranges     []int // sorted by number of keys
	node       int
	arcToClass int
	class      int // index of assignment.classes
}

// targetClass is the set of members that ranges with the same constraints may move to. All groups of these ranges share
// its node.
type targetClass struct {
	key     string
	node    int
	members []int
	arcs    []int // to each of the members
}

// singleRange is a range with a node of its own.
type singleRange struct{ rangeIndex, node int }

// directArc is the arc that stands for one placement of a single range.
type directArc struct {
	placement
	arc int
}

type ruleAtMember struct{ rule, member int }

// newAssignment builds the network. A range stays with its owner at no cost, or moves to another member at the cost of
// the move. A member takes as many ranges as its capacity allows, at a cost per range that rises with their number.
// Ranges under one anti-affinity rule reach a member through an exclusion node: a node with an outgoing capacity of 1,
// so that the member gets at most one of them.
func (p *problem) newAssignment(quotas []quota, forbidden map[placement]bool) *assignment {
	a := &assignment{
		problem:        p,
		net:            mincostflow.New(),
		quotas:         quotas,
		forbidden:      forbidden,
		exclusionNodes: map[ruleAtMember]int{},
	}
	a.addMembers()
	for m := range p.members {
		a.splitOffNode = append(a.splitOffNode, a.net.AddNode())
		a.net.AddArc(a.splitOffNode[m], mincostflow.Sink, len(p.ranges), 0)
	}
	a.addRanges()
	return a
}

// addMembers adds a node for each member, with an arc to the sink whose cost keeps the member near its quota: up to
// quota.low and from quota.high on, each range costs more than the one before, and each such difference is larger than
// the cost of all moves together. Between quota.low and quota.high the cost is constant.
func (a *assignment) addMembers() {
	balanceCost := int64(1)
	for i := range a.ranges {
		balanceCost += costPerKey*a.weights[i] + costPerMove
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
				return balanceCost * int64(largestQuota-q.low+unit)
			case unit < q.high:
				return balanceCost * int64(largestQuota)
			}
			return balanceCost * int64(largestQuota+unit-q.high+1)
		})
	}
}

// addRanges adds the nodes of ranges. Ranges with the same owner and the same allowed members share a node, unless they
// need one of their own: split-off ranges, and ranges that have forbidden placements, a move in flight, an
// anti-affinity rule, or split-off ranges that follow them. The followers have no node.
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

// classOf returns the index of the class with a key that allowedMembers returned. It adds the class if it is new.
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

// addSingleRange adds a range with a node and arcs of its own. Exclusion nodes enforce the anti-affinity of a range
// with only one anti-affinity rule, if that rule separates by member (see usesExclusionNodes); all other anti-affinity
// is enforced by forbidden placements.
func (a *assignment) addSingleRange(i int) {
	node := a.net.AddNode()
	a.singles = append(a.singles, singleRange{rangeIndex: i, node: node})
	a.net.AddArc(mincostflow.Source, node, 1, 0)
	_, members := a.allowedMembers(i)
	isExclusive := a.usesExclusionNodes(i)
	for _, m := range members {
		if a.forbidden[placement{i, m}] {
			continue
		}
		to := a.memberNode[m]
		if !a.isBase(i) {
			to = a.splitOffNode[m]
		}
		if isExclusive {
			to = a.exclusionNode(ruleAtMember{a.constraints[i].antiAffinity[0], m}, to)
		}
		arc := a.net.AddArc(node, to, 1, a.moveCost(i, m))
		a.directArcs = append(a.directArcs, directArc{placement: placement{i, m}, arc: arc})
	}
}

// usesExclusionNodes reports whether exclusion nodes enforce a range's anti-affinity. They do if the range is under a
// single anti-affinity rule, by member, and the rule selects base ranges only or split-off ranges only: an exclusion
// node leads to one node of the member, and the two kinds of ranges have different ones.
func (a *assignment) usesExclusionNodes(i int) bool {
	rules := a.constraints[i].antiAffinity
	if len(rules) != 1 || a.file.Rules[rules[0]].ByZone {
		return false
	}
	return !slices.ContainsFunc(a.selected[rules[0]], func(k int) bool { return a.isBase(k) != a.isBase(i) })
}

// exclusionNode returns the exclusion node of a rule at a member. It adds the node, with an arc to a given one, if it
// is new.
func (a *assignment) exclusionNode(at ruleAtMember, to int) int {
	node, isKnown := a.exclusionNodes[at]
	if !isKnown {
		node = a.net.AddNode()
		a.exclusionNodes[at] = node
		a.net.AddArc(node, to, 1, 0)
	}
	return node
}

// moveCost returns the cost of moving a range, and the split-off ranges that follow it, to a member.
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

// solve solves the network and returns the member of each range and the total cost. ok is false if some range can't be
// assigned.
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

// assignGroups assigns the ranges that leave their owner to the members of their class, as many to each member as the
// flow says. A member gets one of its own ranges back only if no other range is left.
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
