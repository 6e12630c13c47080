package rebalance

import (
	"fmt"
	"slices"
)

// partable refuses what can't be apart: two that other rules bring together, more than there are places for.
func (t *task) partable(rule int) error {
	r, f := &t.file.Rules[rule], t.file
	where := func(m int) string {
		if r.ByZone {
			return fmt.Sprintf("in zone %q", t.members[m].Zone)
		}
		return fmt.Sprintf("on %q", t.members[m].ID)
	}
	put := map[string]int{} // by place, the range that a rule puts there
	for _, i := range t.covered[rule] {
		by, place := t.asked[i].pin, ""
		switch keep := t.asked[i].keep; {
		case by != nil:
			place = where(t.at[by.Member])
		case keep != nil && r.ByZone:
			by, place = keep, fmt.Sprintf("in zone %q", keep.Zone)
		default:
			continue
		}
		if other, taken := put[place]; taken {
			was := t.asked[other].pin
			if was == nil {
				was = t.asked[other].keep
			}
			return f.at(r.Line, "apart %q: %s and %s shall both be %s, by %s %q (line %d) and %s %q (line %d)", r.Name,
				t.what(other, r, was), t.what(i, r, by), place, was.Kind, was.Name, was.Line, by.Kind, by.Name, by.Line)
		}
		put[place] = i
	}
	return t.enough(rule)
}

// enough refuses more ranges apart than members or zones that may take one of them.
func (t *task) enough(rule int) error {
	r, f := &t.file.Rules[rule], t.file
	places, unit := []string{}, "members"
	var why []string
	for m, v := range t.members {
		if alone := t.alone[m]; !t.stays[m] {
			why = append(why, fmt.Sprintf("%q leaves by line %d", v.ID, f.leaves(v.ID).Line))
			continue
		} else if alone != nil && !slices.ContainsFunc(t.covered[rule],
			func(i int) bool { return t.asked[i].pin == alone }) {
			why = append(why, fmt.Sprintf("%q is alone by line %d", v.ID, alone.Line))
			continue
		}
		place := fmt.Sprintf("%q (line %d)", v.ID, v.Line)
		if r.ByZone {
			place, unit = fmt.Sprintf("%q", v.Zone), fmt.Sprintf("zones (members from line %d on)", f.Members[0].Line)
		}
		if !slices.Contains(places, place) {
			places = append(places, place)
		}
	}
	if n := len(t.covered[rule]); n > len(places) {
		return f.at(r.Line, "apart %q: %d ranges for %d %s: %s", r.Name, n, len(places), unit, some(append(places,
			why...)))
	}
	return nil
}
