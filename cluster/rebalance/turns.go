package rebalance

import (
	"cmp"
	"slices"
)

// by is the rules that a move from a member is made by.
func (t *task) by(i, from int) []int {
	rules := slices.Clone(t.asked[i].rules)
	if from < len(t.members) && !t.stays[from] {
		for k := range t.file.Rules {
			if r := &t.file.Rules[k]; r.Kind == Drain && r.Member == t.members[from].ID {
				rules = append(rules, k)
			}
		}
	}
	return t.first(rules)
}

func (t *task) forced(i, home int) bool {
	_, may := t.may(i)
	return !slices.Contains(may, home)
}

// first leaves only rules that no other of them goes before: what is under two goes with the first.
func (t *task) first(rules []int) []int {
	kept := slices.DeleteFunc(slices.Clone(rules), func(k int) bool {
		return slices.ContainsFunc(t.before(k), func(b int) bool { return slices.Contains(rules, b) })
	})
	slices.SortFunc(kept, cmp.Compare)
	return kept
}

// before is all rules that go before one, however far.
func (t *task) before(rule int) (all []int) {
	open := []int{rule}
	for len(open) > 0 {
		k := open[len(open)-1]
		open = open[:len(open)-1]
		for _, turn := range t.file.Precedences {
			if turn.Then == k && !slices.Contains(all, turn.First) {
				all, open = append(all, turn.First), append(open, turn.First)
			}
		}
	}
	return all
}
