package rebalance

import (
	"cmp"
	"fmt"
	"slices"
)

// lacks says which ranges find no place, by the members that they are bound to and what fills those: the cut
// of the network that lets no more through.
func (a *assignment) lacks() error {
	reach, f, room, line := a.net.reach(), a.file, 0, 0
	var of []int
	for _, b := range a.bundles {
		if reach[a.net.arcs[b.in].to] {
			of = append(of, b.ranges...)
		}
	}
	for _, s := range a.singles {
		if reach[s.node] {
			of = append(of, s.of)
		}
	}
	slices.Sort(of)
	why := a.lines(of, nil)
	for _, i := range slices.Backward(of) {
		if rules := a.asked[i].rules; len(rules) > 0 {
			line = f.Rules[rules[0]].Line
		}
	}
	for k := range f.Rules {
		r := &f.Rules[k]
		switch r.Kind {
		case Drain:
			why = append(why, fmt.Sprintf("%q leaves by line %d", r.Member, r.Line))
		case Dedicated:
			why = append(why, fmt.Sprintf("%q is alone by line %d", r.Member, r.Line))
		default:
			continue
		}
		line = cmp.Or(line, r.Line)
	}
	var who []string
	for m, v := range a.members {
		if reach[a.member[m]] && a.stays[m] {
			room += v.Capacity
			line = cmp.Or(line, v.Line)
			who = append(who, fmt.Sprintf("%q (line %d) has room for %d", v.ID, v.Line, v.Capacity))
		}
	}
	if len(who) == 0 {
		who = []string{"no member may have them"}
	}
	text := fmt.Sprintf("%d ranges have to share %d places: %s", len(of), room, some(who))
	if len(why) > 0 {
		text += "; " + some(why)
	}
	return f.at(cmp.Or(line, a.members[0].Line), "%s", text)
}
