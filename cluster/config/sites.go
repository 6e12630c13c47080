package config

import (
	"cmp"
	"slices"

	"github.com/hashicorp/hcl/v2"

	"rowanlink/cluster"
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
)

func (f *File) sites(r raw) error {
	of, named, serves := map[api.DestinationID]hcl.Range{}, map[string]hcl.Range{}, map[string]hcl.Range{}
	for _, s := range r.Sites {
		if was, ok := named[s.ID]; ok || s.ID == "" {
			return at(s.At, "site %q: a name of its own is needed (see line %d)", s.ID, was.Start.Line)
		}
		named[s.ID] = s.At
		if _, ok := f.Member(cluster.MemberID(s.Relay)); !ok {
			return at(s.At, "site %q: no member is called %q", s.ID, s.Relay)
		}
		if was, ok := serves[s.Relay]; ok {
			return at(s.At, "site %q: %s is the relay of the site in line %d already: it has one", s.ID, s.Relay,
				was.Start.Line)
		}
		serves[s.Relay] = s.At
		to := subscribers(s.Subscribers)
		for _, d := range to {
			if was, ok := of[d]; ok {
				return at(s.At, "destination %d stands behind a relay in line %d already: it has one site", d,
					was.Start.Line)
			}
			of[d] = s.At
		}
		f.Sites = append(f.Sites, Site{cluster.SiteID(s.ID), cluster.MemberID(s.Relay), to})
	}
	return nil
}

func (f *File) lists(r raw) error {
	named := map[string]hcl.Range{}
	for _, l := range r.Lists {
		if was, ok := named[l.ID]; ok || l.ID == "" {
			return at(l.At, "list %q: a name of its own is needed (see line %d)", l.ID, was.Start.Line)
		}
		named[l.ID] = l.At
		if len(l.Subscribers) == 0 {
			return at(l.At, "list %q has no subscriber", l.ID)
		}
		f.Lists = append(f.Lists, List{cluster.ListID(l.ID), subscribers(l.Subscribers)})
	}
	return nil
}

// subscribers are named once each, however often they stand there: an announcement is owed to each once.
func subscribers(numbers []uint32) (all []api.DestinationID) {
	for _, n := range numbers {
		all = append(all, api.DestinationID(n))
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// SiteOf tells behind which relay a subscriber stands, if any.
func (f *File) SiteOf(d api.DestinationID) (Site, bool) {
	for _, s := range f.Sites {
		if _, ok := slices.BinarySearch(s.Subscribers, d); ok {
			return s, true
		}
	}
	return Site{}, false
}

// Groups are where the sites' subscribers stand among the ranges.
func (f *File) Groups() (all []shardmap.PlacementGroup) {
	for _, s := range f.Sites {
		if len(s.Subscribers) > 0 {
			all = append(all, shardmap.PlacementGroup{Key: cluster.SiteKeyHash(s.ID), Destinations: s.Subscribers})
		}
	}
	slices.SortFunc(all, func(a, b shardmap.PlacementGroup) int { return cmp.Compare(a.Key, b.Key) })
	return all
}
