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

// noMember stands for "no member" where the index of a member is optional.
const noMember = -1

// constraints holds the rules that apply to one range. Of several rules that require the same, one is retained for
// errors: the first pin, unless there is a Dedicated rule, and the last zone affinity.
type constraints struct {
	pin          *planfile.Rule // of kind Pin or Dedicated
	zone         *planfile.Rule // of kind ZoneAffinity
	antiAffinity []int          // indexes of rules
	rules        []int          // indexes of all rules that select the range; Drain selects none
}

// problem is the planner's input, a plan file applied to a shard map. Members, rules and ranges are identified by their
// index: members and rules in the file, ranges in the map.
type problem struct {
	file    *planfile.File
	members []planfile.Member
	ranges  []shardmap.Range

	keyCounts     []uint64 // by range; its share of the hash space if key counts are unknown
	weights       []int64  // by range: its key count, scaled down so that costs can't overflow
	owner         []int    // by range; noMember: its owner isn't in the file
	pendingTarget []int    // by range, the target of its open move if that can still be rolled back; else noMember
	base          []int    // by range, the range that it was split off from; itself if it wasn't
	followsBase   []bool   // by range: it was split off and is placed where its base range is
	constraints   []constraints

	selected  [][]int          // by rule, the ranges that it selects, in the map's order
	stays     []bool           // by member: no rule drains it
	dedicated []*planfile.Rule // by member, the rule that dedicates it, or nil

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
		target := noMember
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
	return noMember
}

// setKeyCounts sets the key count and the weight of each range. If keys is nil, a range's share of the hash space
// counts as its keys. Weights are key counts scaled down so that no cost overflows: a cost is at most the sum of all
// weights times costPerKey, times twice the number of ranges.
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

// selectRanges returns the ranges that a rule selects, in the map's order.
func (p *problem) selectRanges(rule *planfile.Rule) ([]int, error) {
	var selected []int
	lastDestination := map[int]int{} // by range, the index of the last destination found in it
	destinations := rule.Selector.Destinations
	for k, d := range destinations {
		i := p.rangeAt(p.hashOf(d))
		other, isTaken := lastDestination[i]
		if isTaken && rule.Kind == planfile.AntiAffinity && destinations[other] != d {
			return nil, p.file.Errorf(rule.Line,
				"apart %q: destinations %d and %d are in one range (%d); split it first",
				rule.Name, destinations[other], d, p.ranges[i].ID)
		}
		lastDestination[i] = k
		selected = append(selected, i)
	}
	if rule.Selector.HasHashes {
		for i := p.rangeAt(rule.Selector.FirstHash); i < len(p.ranges) && p.ranges[i].From <= rule.Selector.LastHash; i++ {
			// Anti-affinity doesn't separate a range from the parts that were split off it.
			if rule.Kind != planfile.AntiAffinity || p.isBase(i) {
				selected = append(selected, i)
			}
		}
	}
	slices.Sort(selected)
	return slices.Compact(selected), nil
}

// rangeAt returns the index of the range that contains a hash.
func (p *problem) rangeAt(hash cluster.KeyHash) int {
	i, _ := slices.BinarySearchFunc(p.ranges, hash, func(r shardmap.Range, hash cluster.KeyHash) int {
		return cmp.Compare(r.To, hash)
	})
	return i
}

// describeRange describes a range for an error: by a destination that one of the rules names, if the range contains
// one, since operators know destinations rather than range IDs.
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

// constrain adds a rule to the constraints of a range. If the rule contradicts an earlier one, the error is about the
// later of the two.
func (p *problem) constrain(i, rule int) error {
	r, c := &p.file.Rules[rule], &p.constraints[i]
	c.rules = append(c.rules, rule)
	conflict := func(other *planfile.Rule, contradiction string) error {
		return p.file.Errorf(r.Line, "%s %q and %s %q (line %d) %s: %s", r.Kind, r.Name, other.Kind, other.Name,
			other.Line, contradiction, p.describeRange(i, r, other))
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

// checkPins rejects pins of more ranges to a member than its capacity, and pins to a member that is dedicated to other
// ranges.
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

// allowedMembers returns the members that may own a range, and a key that identifies this set of members: ranges with
// the same key have the same allowed members.
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
