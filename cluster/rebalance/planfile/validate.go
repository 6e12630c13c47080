package planfile

import (
	"fmt"
	"slices"
)

// validate rejects contradictions that don't depend on the shard map.
func (f *File) validate() error {
	byName := map[string]*Rule{}
	for i := range f.Rules {
		r := &f.Rules[i]
		if earlier := byName[r.Name]; earlier != nil {
			return f.Errorf(r.Line, "%s %q: the name is used by %s in line %d", r.Kind, r.Name, earlier.Kind,
				earlier.Line)
		}
		byName[r.Name] = r
		if err := f.validateTarget(r); err != nil {
			return err
		}
	}
	return f.validatePrecedences()
}

// validateTarget rejects a rule whose member doesn't exist or is drained, or whose zone has no member that stays.
func (f *File) validateTarget(r *Rule) error {
	if (r.Member != "" || r.Kind == Pin) && f.FindMember(r.Member) == nil {
		return f.Errorf(r.Line, "%s %q: no member is called %q; it may be %s", r.Kind, r.Name, r.Member,
			f.memberNames())
	}
	switch r.Kind {
	case Pin, Dedicated:
		if drain := f.FindDrain(r.Member); drain != nil {
			return f.Errorf(r.Line, "%s %q wants ranges on %q, which leaves by line %d", r.Kind, r.Name, r.Member,
				drain.Line)
		}
	case ZoneAffinity:
		return f.validateZone(r)
	}
	return nil
}

// validateZone rejects a rule whose zone has no member, or only members that are drained.
func (f *File) validateZone(r *Rule) error {
	var zones, drained []string
	for _, m := range f.Members {
		zones = append(zones, fmt.Sprintf("%q", m.Zone))
		if m.Zone != r.Zone {
			continue
		}
		drain := f.FindDrain(m.ID)
		if drain == nil {
			return nil
		}
		drained = append(drained, fmt.Sprintf("%q leaves by line %d", m.ID, drain.Line))
	}
	if len(drained) > 0 {
		return f.Errorf(r.Line, "keep %q: zone %q has no member that stays: %s", r.Name, r.Zone, JoinSome(drained))
	}
	slices.Sort(zones)
	return f.Errorf(r.Line, "keep %q: zone %q has no member (members from line %d on); it may be %s", r.Name, r.Zone,
		f.Members[0].Line, JoinSome(slices.Compact(zones)))
}

func (f *File) memberNames() string {
	var names []string
	for _, m := range f.Members {
		names = append(names, fmt.Sprintf("%q", m.ID))
	}
	return JoinSome(names)
}
