// Package config parses the operator file: the cluster's settings, members, sites and lists. It ignores the
// blocks of rebalance plans, which cluster/rebalance parses.
package config

import (
	"cmp"
	"slices"

	"rowanlink/cluster"
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
)

// File is the content of an operator file.
type File struct {
	Name          string // of the cluster
	LeaseTTL      api.Micros
	MaxClockDrift float64 // maximum difference between the rates of two members' clocks: 0.05 is 5 %
	InitialRanges int     // number of ranges when the cluster first starts
	MaxDeparting  int     // number of members that may leave at the same time in a planned restart
	Members       []Member
	Sites         []Site
	Lists         []List
}

// Member is one process of the cluster.
type Member struct {
	ID          cluster.MemberID
	Address     string // host:port of its server
	RaftAddress string // host:port of its raft node; empty if it runs none
	Zone        string
	Weight      float64
	MaxRanges   int // maximum number of ranges it may own; 0: no limit
}

// Site is a set of subscribers that are reached through one relay.
type Site struct {
	ID          cluster.SiteID
	Relay       cluster.MemberID    // serves the site's subscribers, and no client requests for other subscribers
	Subscribers []api.DestinationID // sorted
}

// List is a set of subscribers that an announcement can be addressed to.
type List struct {
	ID          cluster.ListID
	Subscribers []api.DestinationID // sorted
}

// Member returns the member with an id, and whether there is one.
func (f *File) Member(id cluster.MemberID) (Member, bool) {
	i := slices.IndexFunc(f.Members, func(m Member) bool { return m.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return f.Members[i], true
}

// SiteOf returns the site that a subscriber belongs to, and whether it belongs to one.
func (f *File) SiteOf(d api.DestinationID) (Site, bool) {
	for _, s := range f.Sites {
		if _, ok := slices.BinarySearch(s.Subscribers, d); ok {
			return s, true
		}
	}
	return Site{}, false
}

// Groups returns the shard map's placement groups, sorted by key. The subscribers of a site form one group, so that they
// share a position in the key space.
func (f *File) Groups() (all []shardmap.PlacementGroup) {
	for _, s := range f.Sites {
		if len(s.Subscribers) > 0 {
			all = append(all, shardmap.PlacementGroup{Key: cluster.SiteKeyHash(s.ID), Destinations: s.Subscribers})
		}
	}
	slices.SortFunc(all, func(a, b shardmap.PlacementGroup) int { return cmp.Compare(a.Key, b.Key) })
	return all
}
