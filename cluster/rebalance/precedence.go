package rebalance

import (
	"cmp"
	"slices"

	"rowanlink/cluster/rebalance/planfile"
)

// moveRules returns the rules that the move of a range off a member counts for: the rules that select the range and the
// drain of the member, without those that another of them precedes. from is the index of the member, or any higher
// number for a member that the file doesn't have.
func (p *problem) moveRules(i, from int) []int {
	rules := slices.Clone(p.constraints[i].rules)
	if from < len(p.members) && !p.stays[from] {
		for k := range p.file.Rules {
			rule := &p.file.Rules[k]
			if rule.Kind == planfile.Drain && rule.Member == p.members[from].ID {
				rules = append(rules, k)
			}
		}
	}
	return p.firstRules(rules)
}

// firstRules returns those of the rules that no other of them precedes: a range under two ordered rules moves with the
// first.
func (p *problem) firstRules(rules []int) []int {
	isPreceded := func(k int) bool {
		return slices.ContainsFunc(p.precedingRules(k), func(b int) bool { return slices.Contains(rules, b) })
	}
	first := slices.DeleteFunc(slices.Clone(rules), isPreceded)
	slices.SortFunc(first, cmp.Compare)
	return first
}

// precedingRules returns all rules that precede a rule, directly or transitively.
func (p *problem) precedingRules(rule int) (preceding []int) {
	stack := []int{rule}
	for len(stack) > 0 {
		k := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		for _, precedence := range p.file.Precedences {
			if precedence.Then != k || slices.Contains(preceding, precedence.First) {
				continue
			}
			preceding = append(preceding, precedence.First)
			stack = append(stack, precedence.First)
		}
	}
	return preceding
}
