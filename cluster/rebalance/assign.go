package rebalance

import (
	"cmp"
	"fmt"
	"slices"
)

// A move costs the keys that it moves, and a small part of a key for being one; less if it is on its way.
// Balance goes before cost: a range beyond a member's part costs more than all moves together.
const (
	costPart = 64 // of a key
	oneMove  = 2
)

func (t *task) cost(i, to int) int64 {
	sum := t.costs(i, to)
	for k := i + 1; t.whole(i) && k < len(t.ranges) && t.head[k] == i; k++ {
		if t.follows[k] {
			sum += t.costs(k, to)
		}
	}
	return sum
}

func (t *task) costs(i, to int) int64 {
	switch {
	case t.home[i] == to:
		return 0
	case t.towards[i] == to:
		return costPart*t.keys[i] + oneMove - 1
	}
	return costPart*t.keys[i] + oneMove
}

// assignment is the network of one try, and what its arcs stand for.
type assignment struct {
	*task
	net     *network
	spans   []span
	bundles []bundle
	classes []class
	direct  []direct
	singles []single
	member  []int // nodes
	beside  []int // nodes, of pieces: they take no room
	sink    []int // arcs
	gates   map[[2]int]int
	barred  map[[2]int]bool // range, member
}

// bundle is ranges of one home that are alike but for their keys: the cheapest of them leave first.
type bundle struct {
	ranges    []int
	in        int // arcs
	toClass   int
	fromClass int // index of the class
}

// class is the members that ranges alike may move to.
type class struct {
	key  string
	node int
	may  []int
	arcs []int
}

// single is a range by itself, and its node.
type single struct{ of, node int }

// direct is an arc for one range to one member.
type direct struct{ of, to, arc int }

// may tells which members may be a range's home.
func (t *task) may(i int) (key string, members []int) {
	if t.follows[i] {
		i = t.head[i]
	}
	a := t.asked[i]
	if a.pin != nil {
		m := t.at[a.pin.Member]
		return fmt.Sprint("pin ", m), []int{m}
	}
	if key = "free"; a.keep != nil {
		key = "zone " + a.keep.Zone
	}
	for m, v := range t.members {
		if t.stays[m] && t.alone[m] == nil && (a.keep == nil || v.Zone == a.keep.Zone) {
			members = append(members, m)
		}
	}
	return key, members
}

// build makes the network: ranges stay at home for nothing or go to another member at their cost; a member
// takes as many as its room, at a price that rises beyond its part. Ranges apart by one rule pass a gate at
// each member.
func (t *task) build(spans []span, barred map[[2]int]bool) *assignment {
	a := &assignment{task: t, net: newNetwork(), spans: spans, gates: map[[2]int]int{}, barred: barred}
	unit := int64(1)
	for i := range t.ranges {
		unit += costPart*t.keys[i] + oneMove
	}
	most := 0
	for _, s := range spans {
		most = max(most, s.low)
	}
	for m, v := range t.members {
		room, s := len(t.ranges), spans[m]
		if v.Capacity > 0 {
			room = min(room, v.Capacity)
		}
		if !t.stays[m] {
			room = 0
		}
		a.member = append(a.member, a.net.node())
		a.sink = append(a.sink, a.net.arc(a.member[m], 1, room, 0, func(k int) int64 {
			switch {
			case k < s.low:
				return unit * int64(most-s.low+k)
			case k < s.high:
				return unit * int64(most)
			}
			return unit * int64(most+k-s.high+1)
		}))
	}
	alike := map[string]int{}
	special := map[int]bool{}
	for of := range barred {
		special[of[0]] = true
	}
	for m := range t.members {
		a.beside = append(a.beside, a.net.node())
		a.net.arc(a.beside[m], 1, len(t.ranges), 0, nil)
	}
	grouped := map[int]bool{}
	for i, follows := range t.follows {
		grouped[t.head[i]] = grouped[t.head[i]] || follows
	}
	for i := range t.ranges {
		if t.follows[i] {
			continue
		}
		if !t.whole(i) || grouped[i] || special[i] || t.towards[i] >= 0 || len(t.asked[i].apart) > 0 {
			a.apart(i)
			continue
		}
		key, may := t.may(i)
		of := fmt.Sprint(t.home[i], " ", key)
		b, known := alike[of]
		if !known {
			b, alike[of] = len(a.bundles), len(a.bundles)
			a.bundles = append(a.bundles, bundle{fromClass: a.class(key, may)})
		}
		a.bundles[b].ranges = append(a.bundles[b].ranges, i)
	}
	for b := range a.bundles {
		a.join(&a.bundles[b])
	}
	return a
}

func (a *assignment) class(key string, may []int) int {
	if k := slices.IndexFunc(a.classes, func(c class) bool { return c.key == key }); k >= 0 {
		return k
	}
	c := class{key: key, node: a.net.node(), may: may}
	for _, m := range may {
		c.arcs = append(c.arcs, a.net.arc(c.node, a.member[m], len(a.ranges), 0, nil))
	}
	a.classes = append(a.classes, c)
	return len(a.classes) - 1
}

func (a *assignment) join(b *bundle) {
	slices.SortStableFunc(b.ranges, func(i, k int) int { return cmp.Compare(a.keys[i], a.keys[k]) })
	node, home, n := a.net.node(), a.home[b.ranges[0]], len(b.ranges)
	b.in = a.net.arc(0, node, n, 0, nil)
	if slices.Contains(a.classes[b.fromClass].may, home) {
		a.net.arc(node, a.member[home], n, 0, nil)
	}
	b.toClass = a.net.arc(node, a.classes[b.fromClass].node, n, 0, func(k int) int64 {
		return costPart*a.keys[b.ranges[k]] + oneMove
	})
}

// apart gives one range arcs of its own. Only ranges that one rule holds apart, member by member, pass gates;
// what else shall be apart is seen to by barring places.
func (a *assignment) apart(i int) {
	node := a.net.node()
	a.singles = append(a.singles, single{i, node})
	a.net.arc(0, node, 1, 0, nil)
	_, may := a.may(i)
	apart := a.asked[i].apart
	gated := len(apart) == 1 && !a.file.Rules[apart[0]].ByZone &&
		!slices.ContainsFunc(a.covered[apart[0]], func(k int) bool { return a.whole(k) != a.whole(i) })
	for _, m := range may {
		if a.barred[[2]int{i, m}] {
			continue
		}
		to := a.member[m]
		if !a.whole(i) {
			to = a.beside[m]
		}
		if gated {
			to = a.gate(apart[0], m, to)
		}
		a.direct = append(a.direct, direct{i, m, a.net.arc(node, to, 1, a.cost(i, m), nil)})
	}
}

func (a *assignment) gate(rule, m, to int) int {
	at := [2]int{rule, m}
	node, known := a.gates[at]
	if !known {
		node = a.net.node()
		a.gates[at] = node
		a.net.arc(node, to, 1, 0, nil)
	}
	return node
}
