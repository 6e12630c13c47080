package rebalance

import (
	"fmt"
	"maps"
	"slices"
)

// choice is where each range shall be.
type choice struct {
	to     []int
	price  int64
	barred map[[2]int]bool
}

// mostTries bounds the networks solved for ranges held apart by zone or by several rules. Others need one.
const mostTries = 200

// choose finds a member for each range by the rules: first as near to the members' parts as can be, then with
// as few keys moved as can be. least tells whether that is proven.
func (t *task) choose() (best choice, least bool, err error) {
	spans, tries := t.shares(), 0
	try := func(barred map[[2]int]bool) (choice, bool) {
		tries++
		a := t.build(spans, barred)
		to, price, ok := a.solve()
		if !ok && len(barred) == 0 {
			err = a.lacks()
		}
		return choice{to, price, barred}, ok
	}
	root, ok := try(nil)
	if !ok {
		return root, false, err
	}
	open, found := []choice{root}, false
	// One way straight down gives a bound for what is looked through then.
	for c, ok := root, true; ok && tries < mostTries/2; {
		together := t.together(c.to)
		if len(together) == 0 {
			best, found = c, true
			break
		}
		barred := maps.Clone(c.barred)
		for _, v := range together {
			barred = t.bar(barred, v.rule, v.second)
		}
		c, ok = try(barred)
	}
	for len(open) > 0 && tries < mostTries {
		next := 0
		for k := range open {
			if open[k].price < open[next].price {
				next = k
			}
		}
		c := open[next]
		open = slices.Delete(open, next, next+1)
		if found && c.price >= best.price {
			return best, true, nil
		}
		together := t.together(c.to)
		if len(together) == 0 {
			return c, true, nil
		}
		for _, i := range [...]at{together[0].first, together[0].second} {
			if child, ok := try(t.bar(c.barred, together[0].rule, i)); ok {
				open = append(open, child)
			}
		}
	}
	if !found {
		return best, false, t.notApart(root, len(open) > 0)
	}
	return best, len(open) == 0, nil
}

// at is a range and the member it shall not be on.
type at struct{ of, member int }

// pair is two ranges that a rule holds apart, in one place. The first has more reason to be there.
type pair struct {
	rule          int
	first, second at
}

func (t *task) together(to []int) (found []pair) {
	for k := range t.file.Rules {
		r := &t.file.Rules[k]
		if r.Kind != AntiAffinity {
			continue
		}
		there := map[string]int{}
		for _, i := range t.covered[k] {
			place := string(t.members[to[i]].ID)
			if r.ByZone {
				place = t.members[to[i]].Zone
			}
			other, taken := there[place]
			if !taken {
				there[place] = i
				continue
			}
			if t.reason(i, to[i]) > t.reason(other, to[other]) {
				there[place], other, i = i, i, other
			}
			found = append(found, pair{k, at{other, to[other]}, at{i, to[i]}})
		}
	}
	return found
}

// reason is how much a range has for staying where it is put.
func (t *task) reason(i, m int) int64 {
	switch a := t.asked[i]; {
	case a.pin != nil:
		return 1 << 62
	case t.home[i] == m:
		return 1<<60 + t.keys[i]
	case a.keep != nil:
		return 1 << 59
	}
	return 0
}

func (t *task) bar(barred map[[2]int]bool, rule int, what at) map[[2]int]bool {
	next := maps.Clone(barred)
	if next == nil {
		next = map[[2]int]bool{}
	}
	for m := range t.members {
		if m == what.member || t.file.Rules[rule].ByZone && t.members[m].Zone == t.members[what.member].Zone {
			next[[2]int{what.of, m}] = true
		}
	}
	return next
}

func (t *task) notApart(root choice, more bool) error {
	p := t.together(root.to)[0]
	r := &t.file.Rules[p.rule]
	text := "no way was found"
	if more {
		text = fmt.Sprintf("no way was found in %d tries", mostTries)
	}
	return t.file.at(r.Line, "apart %q: %s to part %s and %s beside the other rules (%s)", r.Name, text,
		t.what(p.first.of, r), t.what(p.second.of, r), some(t.lines([]int{p.first.of, p.second.of}, r)))
}

// lines names the rules that some ranges are under.
func (t *task) lines(of []int, but *Rule) []string {
	var rules []int
	for _, i := range of {
		rules = append(rules, t.asked[i].rules...)
	}
	slices.Sort(rules)
	var all []string
	for _, k := range slices.Compact(rules) {
		if r := &t.file.Rules[k]; r != but {
			all = append(all, fmt.Sprintf("%s %q in line %d", r.Kind, r.Name, r.Line))
		}
	}
	if r := t.file.Rules; all == nil && but != nil {
		for k := range r {
			if r[k].Kind != AntiAffinity && &r[k] != but {
				all = append(all, fmt.Sprintf("%s %q in line %d", r[k].Kind, r[k].Name, r[k].Line))
			}
		}
		for _, m := range t.members {
			if m.Capacity > 0 {
				all = append(all, fmt.Sprintf("room of %q in line %d", m.ID, m.Line))
			}
		}
	}
	return all
}
