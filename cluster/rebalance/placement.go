package rebalance

import (
	"fmt"
	"maps"
	"slices"

	"rowanlink/cluster/rebalance/planfile"
)

// maxAttempts bounds the networks that are solved for one plan. Plans whose anti-affinity is
// enforced by exclusion nodes need one.
const maxAttempts = 200

// candidate is a placement of all ranges. It may still violate anti-affinity rules that the network doesn't enforce.
type candidate struct {
	target    []int // by range
	cost      int64
	forbidden map[placement]bool
}

// placementSearch is a branch-and-bound search. Where a solution of the network puts two ranges into one domain against
// an anti-affinity rule, it branches: one branch forbids the placement of the first range, the other that of the
// second.
type placementSearch struct {
	*problem
	quotas     []quota
	attempts   int
	infeasible error // why there is no solution even without anti-affinity
}

func (s *placementSearch) solve(forbidden map[placement]bool) (candidate, bool) {
	s.attempts++
	a := s.newAssignment(s.quotas, forbidden)
	target, cost, ok := a.solve()
	if !ok && len(forbidden) == 0 {
		s.infeasible = a.infeasibleError()
	}
	return candidate{target: target, cost: cost, forbidden: forbidden}, ok
}

// choosePlacement finds a placement that the rules allow: as close to the members' quotas as possible, and among those
// the one that moves the fewest keys. isOptimal reports whether the search has proven that.
func (p *problem) choosePlacement() (best candidate, isOptimal bool, err error) {
	s := &placementSearch{problem: p, quotas: p.quotas()}
	root, ok := s.solve(nil)
	if !ok {
		return root, false, s.infeasible
	}
	best, found := s.findInitial(root)
	open := []candidate{root}
	for len(open) > 0 && s.attempts < maxAttempts {
		next := cheapest(open)
		c := open[next]
		open = slices.Delete(open, next, next+1)
		if found && c.cost >= best.cost {
			return best, true, nil
		}
		conflicts := s.conflicts(c.target)
		if len(conflicts) == 0 {
			return c, true, nil
		}
		first := conflicts[0]
		for _, p := range [...]placement{first.stronger, first.weaker} {
			if child, ok := s.solve(s.forbid(c.forbidden, first.rule, p)); ok {
				open = append(open, child)
			}
		}
	}
	if !found {
		return best, false, s.antiAffinityError(root, len(open) > 0)
	}
	return best, len(open) == 0, nil
}

// findInitial forbids the weaker placement of each conflict until no conflict is left. The cost of what it finds is the
// first upper bound of the search.
func (s *placementSearch) findInitial(root candidate) (initial candidate, found bool) {
	for c, ok := root, true; ok && s.attempts < maxAttempts/2; {
		conflicts := s.conflicts(c.target)
		if len(conflicts) == 0 {
			return c, true
		}
		forbidden := maps.Clone(c.forbidden)
		for _, conflict := range conflicts {
			forbidden = s.forbid(forbidden, conflict.rule, conflict.weaker)
		}
		c, ok = s.solve(forbidden)
	}
	return candidate{}, false
}

// cheapest returns the index of the first candidate with the least cost.
func cheapest(candidates []candidate) int {
	best := 0
	for k := range candidates {
		if candidates[k].cost < candidates[best].cost {
			best = k
		}
	}
	return best
}

// conflict is a pair of ranges that a candidate puts into one domain against an anti-affinity rule.
type conflict struct {
	rule             int
	stronger, weaker placement // by preference
}

// conflicts returns the violations of anti-affinity rules in a placement of all ranges.
func (p *problem) conflicts(target []int) (found []conflict) {
	for k := range p.file.Rules {
		rule := &p.file.Rules[k]
		if rule.Kind != planfile.AntiAffinity {
			continue
		}
		rangeByDomain := map[string]int{} // by domain, the range that is preferred there
		for _, i := range p.selected[k] {
			domain := p.antiAffinityDomain(rule, target[i])
			other, isTaken := rangeByDomain[domain]
			if !isTaken {
				rangeByDomain[domain] = i
				continue
			}
			if p.preference(i, target[i]) > p.preference(other, target[other]) {
				rangeByDomain[domain] = i
				other, i = i, other
			}
			found = append(found, conflict{
				rule:     k,
				stronger: placement{other, target[other]},
				weaker:   placement{i, target[i]},
			})
		}
	}
	return found
}

// preference ranks how strongly a range belongs on a member. A pin ranks first, then ownership by that member (more
// keys rank higher), then a zone affinity.
func (p *problem) preference(i, member int) int64 {
	switch c := p.constraints[i]; {
	case c.pin != nil:
		return 1 << 62
	case p.owner[i] == member:
		return 1<<60 + p.weights[i]
	case c.zone != nil:
		return 1 << 59
	}
	return 0
}

// forbid returns a copy of the forbidden placements with one more, or one for each member of the zone if the rule is by
// zone.
func (p *problem) forbid(forbidden map[placement]bool, rule int, added placement) map[placement]bool {
	next := maps.Clone(forbidden)
	if next == nil {
		next = map[placement]bool{}
	}
	for m := range p.members {
		isSameZone := p.members[m].Zone == p.members[added.member].Zone
		if m == added.member || p.file.Rules[rule].ByZone && isSameZone {
			next[placement{added.rangeIndex, m}] = true
		}
	}
	return next
}

func (p *problem) antiAffinityError(root candidate, gaveUp bool) error {
	c := p.conflicts(root.target)[0]
	rule := &p.file.Rules[c.rule]
	text := "no assignment was found"
	if gaveUp {
		text = fmt.Sprintf("no assignment was found in %d attempts", maxAttempts)
	}
	stronger, weaker := c.stronger.rangeIndex, c.weaker.rangeIndex
	others := p.describeRules([]int{stronger, weaker}, rule)
	return p.file.Errorf(rule.Line, "apart %q: %s that separates %s and %s and satisfies the other rules (%s)", rule.Name, text,
		p.describeRange(stronger, rule), p.describeRange(weaker, rule), planfile.JoinSome(others))
}
