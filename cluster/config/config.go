// Package config parses the operator file: the cluster's settings, members, sites and lists. It leaves the
// blocks of rebalance plans to cluster/rebalance.
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
	MaxClockDrift float64 // maximal difference between the rates of two clocks, as a share
	InitialRanges int     // number of ranges at the first start
	MaxDeparting  int     // members that may leave at once in a planned restart
	Members       []Member
	Sites         []Site
	Lists         []List
}

// Member is one process of the cluster.
type Member struct {
	ID          cluster.MemberID
	Address     string // host:port of its server
	RaftAddress string // host:port of its raft node; "": it has none
	Zone        string
	Weight      float64
	MaxRanges   int // 0: no limit
}

// Site is a set of subscribers that are reached through one relay.
type Site struct {
	ID          cluster.SiteID
	Relay       cluster.MemberID    // serves the site's subscribers, and takes no clients' requests for others
	Subscribers []api.DestinationID // sorted
}

// List is a set of subscribers that an announcement can be addressed to.
type List struct {
	ID          cluster.ListID
	Subscribers []api.DestinationID // sorted
}

// Member returns a member by its name.
func (f *File) Member(id cluster.MemberID) (Member, bool) {
	i := slices.IndexFunc(f.Members, func(m Member) bool { return m.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return f.Members[i], true
}

// SiteOf returns the site that a subscriber belongs to, if any.
func (f *File) SiteOf(d api.DestinationID) (Site, bool) {
	for _, s := range f.Sites {
		if _, ok := slices.BinarySearch(s.Subscribers, d); ok {
			return s, true
		}
	}
	return Site{}, false
}

// Groups returns the shard map's groups: the subscribers of each site share a position in the key space.
func (f *File) Groups() (all []shardmap.PlacementGroup) {
	for _, s := range f.Sites {
		if len(s.Subscribers) > 0 {
			all = append(all, shardmap.PlacementGroup{Key: cluster.SiteKeyHash(s.ID), Destinations: s.Subscribers})
		}
	}
	slices.SortFunc(all, func(a, b shardmap.PlacementGroup) int { return cmp.Compare(a.Key, b.Key) })
	return all
}
