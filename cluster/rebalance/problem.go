package rebalance

import (
	"cmp"
	"fmt"
	"math/bits"
	"slices"

	"rowanlink/cluster"
	"rowanlink/cluster/rebalance/planfile"
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
)

// none is the index of no member, where a member's index is optional.
const none = -1

// constraints is what the rules require of one range. Where several rules require the same, errors name the first.
type constraints struct {
	pin          *planfile.Rule // of kind Pin or Dedicated
	zone         *planfile.Rule // of kind ZoneAffinity
	antiAffinity []int          // indexes of rules
	rules        []int          // indexes of all rules that select the range; Drain selects none
}

// problem is a plan file applied to a map: which member shall own each range. Members and ranges are named by their
// indexes in the file and in the map.
type problem struct {
	file    *planfile.File
	members []planfile.Member
	ranges  []shardmap.Range

	keyCounts     []uint64 // by range; its part of the hashes where the counts aren't known
	weights       []int64  // by range: key counts scaled down so that costs can't overflow
	owner         []int    // by range; none: a member that the file doesn't have
	pendingTarget []int    // by range, where a move goes that can still be rolled back; none: there is no such move
	base          []int    // by range, the range that it was split off from; itself if it wasn't
	followsBase   []bool   // by range: it was split off and goes where its base range goes
	constraints   []constraints

	selected  [][]int          // by rule, the ranges that it selects, in order
	stays     []bool           // by member: it isn't drained
	dedicated []*planfile.Rule // by member, the rule that dedicates it; nil: none

	memberIndex map[cluster.MemberID]int
	rangeIndex  map[cluster.RangeID]int
	hashOf      func(api.DestinationID) cluster.KeyHash
}

func newProblem(f *planfile.File, m *shardmap.Map, keys func(cluster.RangeID) uint64) *problem {
	p := &problem{
		file:        f,
		members:     f.Members,
		ranges:      m.Ranges,
		base:        baseIndexes(m.Ranges),
		followsBase: make([]bool, len(m.Ranges)),
		constraints: make([]constraints, len(m.Ranges)),
		memberIndex: map[cluster.MemberID]int{},
		rangeIndex:  map[cluster.RangeID]int{},
		hashOf:      m.KeyOf,
	}
	for i, member := range f.Members {
		p.memberIndex[member.ID] = i
		p.stays = append(p.stays, f.FindDrain(member.ID) == nil)
		p.dedicated = append(p.dedicated, f.FindRule(planfile.Dedicated, member.ID))
	}
	for i, r := range p.ranges {
		p.rangeIndex[r.ID] = i
		p.owner = append(p.owner, p.findMember(r.Owner))
		target := none
		if canRollBack(r.Move) {
			target = p.findMember(r.Move.To)
		}
		p.pendingTarget = append(p.pendingTarget, target)
	}
	p.setKeyCounts(keys)
	return p
}

// canRollBack reports whether a move is open and ownership has not switched to its target.
func canRollBack(move shardmap.Move) bool { return move.IsOpen() && move.Step < shardmap.StepSwitched }

func (p *problem) findMember(id cluster.MemberID) int {
	if i, ok := p.memberIndex[id]; ok {
		return i
	}
	return none
}

// setKeyCounts takes the keys of each range from a function, or else its part of the hashes. The weights are scaled
// down so that no cost overflows: a cost is at most the sum of all keys, times costPerKey, times twice the ranges.
func (p *problem) setKeyCounts(keys func(cluster.RangeID) uint64) {
	sumBits := 60 - bits.Len(costPerKey) - 2*bits.Len(uint(len(p.ranges)))
	largest := uint64(0)
	for _, r := range p.ranges {
		n := uint64(r.To-r.From)>>32 + 1
		if keys != nil {
			n = keys(r.ID)
		}
		p.keyCounts = append(p.keyCounts, n)
		largest = max(largest, n)
	}
	shift := 0
	for largest>>shift > 1<<sumBits/uint64(len(p.ranges))+1 {
		shift++
	}
	for _, n := range p.keyCounts {
		p.weights = append(p.weights, int64(n>>shift))
	}
}

// applyRules finds the ranges that each rule selects and rejects rules that contradict each other.
func (p *problem) applyRules() error {
	rules := p.file.Rules
	p.selected = make([][]int, len(rules))
	for k := range rules {
		selected, err := p.selectRanges(&rules[k])
		if err != nil {
			return err
		}
		p.selected[k] = selected
		for _, i := range selected {
			if err := p.constrain(i, k); err != nil {
				return err
			}
		}
	}
	p.findFollowers()
	if err := p.checkPins(); err != nil {
		return err
	}
	for k := range rules {
		if rules[k].Kind != planfile.AntiAffinity {
			continue
		}
		if err := p.checkAntiAffinity(k); err != nil {
			return err
		}
	}
	return nil
}

// selectRanges returns the ranges that a rule selects, in order.
func (p *problem) selectRanges(rule *planfile.Rule) ([]int, error) {
	var selected []int
	firstDestination := map[int]int{} // by range, the index of the last destination in it
	destinations := rule.Selector.Destinations
	for k, d := range destinations {
		i := p.rangeAt(p.hashOf(d))
		other, isTaken := firstDestination[i]
		if isTaken && rule.Kind == planfile.AntiAffinity && destinations[other] != d {
			return nil, p.file.Errorf(rule.Line,
				"apart %q: destinations %d and %d are in one range (%d); split it first",
				rule.Name, destinations[other], d, p.ranges[i].ID)
		}
		firstDestination[i] = k
		selected = append(selected, i)
	}
	if rule.Selector.HasHashes {
		for i := p.rangeAt(rule.Selector.FirstHash); i < len(p.ranges) && p.ranges[i].From <= rule.Selector.LastHash; i++ {
			// The parts of one range aren't kept apart from one another.
			if rule.Kind != planfile.AntiAffinity || p.isBase(i) {
				selected = append(selected, i)
			}
		}
	}
	slices.Sort(selected)
	return slices.Compact(selected), nil
}

// rangeAt returns the range that a hash is in.
func (p *problem) rangeAt(hash cluster.KeyHash) int {
	i, _ := slices.BinarySearchFunc(p.ranges, hash, func(r shardmap.Range, hash cluster.KeyHash) int {
		return cmp.Compare(r.To, hash)
	})
	return i
}

// describeRange names a range as the operator knows it: by a destination of one of the rules if possible.
func (p *problem) describeRange(i int, rules ...*planfile.Rule) string {
	for _, rule := range rules {
		for _, d := range rule.Selector.Destinations {
			if p.rangeAt(p.hashOf(d)) == i {
				return fmt.Sprintf("destination %d (range %d)", d, p.ranges[i].ID)
			}
		}
	}
	return fmt.Sprintf("range %d", p.ranges[i].ID)
}

// constrain adds a rule to the constraints of a range. Of two rules that contradict each other, the later is rejected.
func (p *problem) constrain(i, rule int) error {
	r, c := &p.file.Rules[rule], &p.constraints[i]
	c.rules = append(c.rules, rule)
	conflict := func(other *planfile.Rule, problem string) error {
		return p.file.Errorf(r.Line, "%s %q and %s %q (line %d) %s: %s", r.Kind, r.Name, other.Kind, other.Name,
			other.Line, problem, p.describeRange(i, r, other))
	}
	switch r.Kind {
	case planfile.Pin, planfile.Dedicated:
		if c.pin != nil && c.pin.Member != r.Member {
			return conflict(c.pin, "want it on two members")
		}
		if c.zone != nil && c.zone.Zone != p.zoneOf(r.Member) {
			return conflict(c.zone, fmt.Sprintf("can't both be, as %q is not in zone %q", r.Member, c.zone.Zone))
		}
		if c.pin == nil || r.Kind == planfile.Dedicated {
			c.pin = r
		}
	case planfile.ZoneAffinity:
		if c.zone != nil && c.zone.Zone != r.Zone {
			return conflict(c.zone, "want it in two zones")
		}
		if c.pin != nil && p.zoneOf(c.pin.Member) != r.Zone {
			return conflict(c.pin, fmt.Sprintf("can't both be, as %q is not in zone %q", c.pin.Member, r.Zone))
		}
		c.zone = r
	case planfile.AntiAffinity:
		c.antiAffinity = append(c.antiAffinity, rule)
	}
	return nil
}

func (p *problem) zoneOf(id cluster.MemberID) string { return p.members[p.memberIndex[id]].Zone }

// checkPins rejects ranges that are pinned to a member beyond its capacity, or to a member dedicated to others.
func (p *problem) checkPins() error {
	pinned := make([]int, len(p.members))
	for i := range p.ranges {
		pin := p.constraints[i].pin
		if pin == nil {
			continue
		}
		m := p.memberIndex[pin.Member]
		member := p.members[m]
		if dedicated := p.dedicated[m]; dedicated != nil && pin.Kind != planfile.Dedicated {
			return p.file.Errorf(pin.Line,
				"pin %q puts %s on %q, which is dedicated by alone %q (line %d)",
				pin.Name, p.describeRange(i, pin), pin.Member, dedicated.Name, dedicated.Line)
		}
		if p.isBase(i) {
			pinned[m]++
		}
		if member.Capacity > 0 && pinned[m] > member.Capacity {
			return p.file.Errorf(pin.Line, "%s %q: %q has capacity %d (line %d), and more are pinned there, as %s",
				pin.Kind, pin.Name, pin.Member, member.Capacity, member.Line, p.describeRange(i, pin))
		}
	}
	return nil
}

// allowedMembers returns the members that may own a range, and a key that is the same for ranges with the same
// allowed members.
func (p *problem) allowedMembers(i int) (key string, members []int) {
	if p.followsBase[i] {
		i = p.base[i]
	}
	c := p.constraints[i]
	if c.pin != nil {
		m := p.memberIndex[c.pin.Member]
		return fmt.Sprint("pin ", m), []int{m}
	}
	key = "free"
	if c.zone != nil {
		key = "zone " + c.zone.Zone
	}
	for m, member := range p.members {
		if p.stays[m] && p.dedicated[m] == nil && (c.zone == nil || member.Zone == c.zone.Zone) {
			members = append(members, m)
		}
	}
	return key, members
}
