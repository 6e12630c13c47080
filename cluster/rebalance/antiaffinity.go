package rebalance

import (
	"fmt"
	"slices"

	"rowanlink/cluster/rebalance/planfile"
)

// checkAntiAffinity rejects an anti-affinity rule that can't be satisfied: other rules force two of its ranges into one
// domain (member or zone), or it selects more ranges than there are domains.
func (p *problem) checkAntiAffinity(rule int) error {
	r := &p.file.Rules[rule]
	rangeByDomain := map[string]int{} // by domain, the range that another rule forces there
	for _, i := range p.selected[rule] {
		by, domain := p.forcedDomain(i, r)
		if by == nil {
			continue
		}
		other, isTaken := rangeByDomain[domain]
		if !isTaken {
			rangeByDomain[domain] = i
			continue
		}
		otherBy := p.constraints[other].pin
		if otherBy == nil {
			otherBy = p.constraints[other].zone
		}
		return p.file.Errorf(r.Line, "apart %q: %s and %s shall both be %s, by %s %q (line %d) and %s %q (line %d)",
			r.Name, p.describeRange(other, r, otherBy), p.describeRange(i, r, by), domain,
			otherBy.Kind, otherBy.Name, otherBy.Line, by.Kind, by.Name, by.Line)
	}
	return p.checkDomainCount(rule)
}

// forcedDomain returns the pin or zone affinity that forces a range into one domain of an anti-affinity rule, and
// describes that domain. by is nil if no rule does.
func (p *problem) forcedDomain(i int, antiAffinity *planfile.Rule) (by *planfile.Rule, domain string) {
	c := p.constraints[i]
	switch {
	case c.pin != nil && antiAffinity.ByZone:
		return c.pin, fmt.Sprintf("in zone %q", p.zoneOf(c.pin.Member))
	case c.pin != nil:
		return c.pin, fmt.Sprintf("on %q", c.pin.Member)
	case c.zone != nil && antiAffinity.ByZone:
		return c.zone, fmt.Sprintf("in zone %q", c.zone.Zone)
	}
	return nil, ""
}

// checkDomainCount rejects an anti-affinity rule that selects more ranges than there are members, or zones, that may
// own one of them.
func (p *problem) checkDomainCount(rule int) error {
	r, f := &p.file.Rules[rule], p.file
	domains, unit := []string{}, "members"
	var excluded []string
	for m, member := range p.members {
		if !p.stays[m] {
			excluded = append(excluded, fmt.Sprintf("%q leaves by line %d", member.ID, f.FindDrain(member.ID).Line))
			continue
		}
		if dedicated := p.dedicated[m]; dedicated != nil && !p.anyPinnedBy(p.selected[rule], dedicated) {
			excluded = append(excluded, fmt.Sprintf("%q is alone by line %d", member.ID, dedicated.Line))
			continue
		}
		domain := fmt.Sprintf("%q (line %d)", member.ID, member.Line)
		if r.ByZone {
			domain = fmt.Sprintf("%q", member.Zone)
			unit = fmt.Sprintf("zones (members from line %d on)", f.Members[0].Line)
		}
		if !slices.Contains(domains, domain) {
			domains = append(domains, domain)
		}
	}
	if n := len(p.selected[rule]); n > len(domains) {
		return f.Errorf(r.Line, "apart %q: %d ranges for %d %s: %s", r.Name, n, len(domains), unit,
			planfile.JoinSome(append(domains, excluded...)))
	}
	return nil
}

func (p *problem) anyPinnedBy(ranges []int, rule *planfile.Rule) bool {
	return slices.ContainsFunc(ranges, func(i int) bool { return p.constraints[i].pin == rule })
}
