package rebalance

import (
	"cmp"
	"fmt"
	"slices"

	"rowanlink/cluster/rebalance/planfile"
)

// infeasibleError explains why the ranges can't all be placed. It states the number of ranges on the source's side of a
// minimum cut of the network, the full members on that side, which are the only ones that these ranges may go to, and
// the rules that select the ranges or exclude members.
func (a *assignment) infeasibleError() error {
	reached := a.net.SourceSide()
	ranges := a.reachedRanges(reached)
	reasons := a.describeRules(ranges, nil)
	line := 0
	for _, i := range slices.Backward(ranges) {
		if rules := a.constraints[i].rules; len(rules) > 0 {
			line = a.file.Rules[rules[0]].Line
		}
	}
	for k := range a.file.Rules {
		r := &a.file.Rules[k]
		switch r.Kind {
		case planfile.Drain:
			reasons = append(reasons, fmt.Sprintf("%q leaves by line %d", r.Member, r.Line))
		case planfile.Dedicated:
			reasons = append(reasons, fmt.Sprintf("%q is alone by line %d", r.Member, r.Line))
		default:
			continue
		}
		line = cmp.Or(line, r.Line)
	}
	capacity := 0
	var fullMembers []string
	for m, member := range a.members {
		if !reached[a.memberNode[m]] || !a.stays[m] {
			continue
		}
		capacity += member.Capacity
		line = cmp.Or(line, member.Line)
		fullMembers = append(fullMembers,
			fmt.Sprintf("%q (line %d) has capacity %d", member.ID, member.Line, member.Capacity))
	}
	if len(fullMembers) == 0 {
		fullMembers = []string{"no member is allowed to own them"}
	}
	text := fmt.Sprintf("%d ranges have to share a capacity of %d: %s", len(ranges), capacity, planfile.JoinSome(fullMembers))
	if len(reasons) > 0 {
		text += "; " + planfile.JoinSome(reasons)
	}
	return a.file.Errorf(cmp.Or(line, a.members[0].Line), "%s", text)
}

// reachedRanges returns the ranges whose node the source still reaches, sorted.
func (a *assignment) reachedRanges(reached []bool) []int {
	var ranges []int
	for _, group := range a.groups {
		if reached[group.node] {
			ranges = append(ranges, group.ranges...)
		}
	}
	for _, s := range a.singles {
		if reached[s.node] {
			ranges = append(ranges, s.rangeIndex)
		}
	}
	slices.Sort(ranges)
	return ranges
}

// describeRules describes the rules that select some of the ranges, without the rule except, which may be nil. If no
// other rule selects them, it describes everything that could conflict with that rule: the rules of other kinds than
// anti-affinity, and the capacities.
func (p *problem) describeRules(ranges []int, except *planfile.Rule) []string {
	var rules []int
	for _, i := range ranges {
		rules = append(rules, p.constraints[i].rules...)
	}
	slices.Sort(rules)
	var texts []string
	for _, k := range slices.Compact(rules) {
		if rule := &p.file.Rules[k]; rule != except {
			texts = append(texts, describeRule(rule))
		}
	}
	if texts != nil || except == nil {
		return texts
	}
	for k := range p.file.Rules {
		if rule := &p.file.Rules[k]; rule.Kind != planfile.AntiAffinity && rule != except {
			texts = append(texts, describeRule(rule))
		}
	}
	for _, member := range p.members {
		if member.Capacity > 0 {
			texts = append(texts, fmt.Sprintf("capacity of %q in line %d", member.ID, member.Line))
		}
	}
	return texts
}

func describeRule(rule *planfile.Rule) string {
	return fmt.Sprintf("%s %q in line %d", rule.Kind, rule.Name, rule.Line)
}
