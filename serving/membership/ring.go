package membership

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"rowanlink/serving/state"
)

const (
	// WatcherCount is the number of watchers of a member where there are enough other members.
	WatcherCount = 3
	// maxRingDistance is the number of successors on the ring from which watchers are selected, and so bounds how many
	// members one member can be watcher of.
	maxRingDistance = 16
	// smallZoneSize is the greatest number of live members of a zone in which remoteRank goes round exactly.
	smallZoneSize = 8
)

// ringPositionOf returns the position on the hash ring of a member.
func ringPositionOf(name string) uint64 { return xxhash.Sum64String(name) }

// membersOnRing returns the members on the ring, ordered by position and name.
func (t *Table) membersOnRing() []*trackedMember {
	if t.ringMembers != nil {
		return t.ringMembers
	}
	t.ringMembers = make([]*trackedMember, 0, len(t.members))
	for _, tracked := range t.members {
		if tracked.onRing {
			t.ringMembers = append(t.ringMembers, tracked)
		}
	}
	slices.SortFunc(t.ringMembers, func(a, b *trackedMember) int {
		return cmp.Or(cmp.Compare(a.ringPosition, b.ringPosition), cmp.Compare(a.member.Name, b.member.Name))
	})
	t.updateZones()
	return t.ringMembers
}

// updateZones lists the zones of the members on the ring and sets each member's remoteRank: in a small zone its
// index in the order of the ring, in a large one its position, so that few ranks change when a member comes or goes.
func (t *Table) updateZones() {
	t.zones = t.zones[:0]
	live := map[string][]*trackedMember{}
	for _, tracked := range t.ringMembers {
		zone := tracked.member.Zone
		if _, listed := live[zone]; !listed {
			t.zones = append(t.zones, zoneLocation{zone: zone, region: tracked.member.Region})
			live[zone] = nil
		}
		tracked.remoteRank = tracked.ringPosition
		if tracked.isLive() {
			live[zone] = append(live[zone], tracked)
		}
	}
	slices.SortFunc(t.zones, func(a, b zoneLocation) int { return cmp.Compare(a.zone, b.zone) })
	for _, inZone := range live {
		for number, tracked := range inZone {
			if len(inZone) <= smallZoneSize {
				tracked.remoteRank = uint64(number)
			}
		}
	}
}

// zoneLocation is a zone with its region.
type zoneLocation struct{ zone, region string }

// remoteZone returns the zone of another region in which a member prefers a watcher; empty where there is none. The
// members of a zone have different ones, so that each zone that isn't partitioned receives heartbeats of some of them.
func (t *Table) remoteZone(watched *trackedMember) string {
	var otherRegions []string
	for _, location := range t.zones {
		if location.region != watched.member.Region {
			otherRegions = append(otherRegions, location.zone)
		}
	}
	if len(otherRegions) == 0 {
		return ""
	}
	return otherRegions[watched.remoteRank%uint64(len(otherRegions))]
}

// removeDownFromRing removes the members from the ring that have been down for ringRetention.
func (t *Table) removeDownFromRing(now time.Time) {
	for _, tracked := range t.members {
		if tracked.onRing && !tracked.isLive() && now.Sub(tracked.downSince) >= ringRetention {
			tracked.onRing = false
			t.invalidateRing()
		}
	}
}

// invalidateRing discards what was derived from the ring after a member was added, removed or has changed its state.
func (t *Table) invalidateRing() {
	t.ringMembers = nil
	t.watchedStale = true
	t.needsEvaluation = true
	t.linksStale = true
}

// Watchers returns the watchers of a member, selected from its successors on the ring: one in another zone of its
// region, one in a third zone of the region or in its own zone, and one in another region; where the region has no
// other zone, two in its own. So a partition between two zones doesn't hide a member from the majority of its watchers,
// and after the loss of a zone there are watchers left that have a vote, see evaluateSuspicions. All members that know
// the same members agree on the watchers.
func (t *Table) Watchers(name string) []state.Member {
	watched, ok := t.members[name]
	if !ok {
		return nil
	}
	own := &watched.member
	selection := watcherSelection{candidates: t.successors(watched), zones: map[string]bool{own.Zone: true}}
	inRegion := func(m *state.Member) bool { return m.Region == own.Region && !selection.zones[m.Zone] }
	otherRegions := func(m *state.Member) bool { return m.Region != own.Region && !selection.zones[m.Zone] }
	inZone := func(m *state.Member) bool { return m.Zone == own.Zone }
	newZone := func(m *state.Member) bool { return !selection.zones[m.Zone] }
	anyone := func(*state.Member) bool { return true }
	remoteZone := t.remoteZone(watched)
	inRemoteZone := func(m *state.Member) bool { return m.Zone == remoteZone }

	selection.addNearest(inRegion)
	if !selection.addNearest(inRegion) {
		selection.addNearest(inZone)
	}
	if !selection.addNearest(inRemoteZone) {
		selection.addNearest(otherRegions)
	}
	for _, fits := range []func(*state.Member) bool{inZone, newZone, anyone} {
		for len(selection.selected) < WatcherCount && selection.addNearest(fits) {
		}
	}
	return selection.selected
}

// successors returns the maxRingDistance members after a member's position on the ring, the nearest first.
func (t *Table) successors(watched *trackedMember) []*state.Member {
	ring := t.membersOnRing()
	start := sort.Search(len(ring), func(i int) bool { return ring[i].ringPosition > watched.ringPosition })
	nearest := make([]*state.Member, 0, maxRingDistance)
	for i := 0; i < len(ring) && len(nearest) < maxRingDistance; i++ {
		next := ring[(start+i)%len(ring)]
		if next.member.Name != watched.member.Name {
			nearest = append(nearest, &next.member)
		}
	}
	return nearest
}

// watcherSelection collects the watchers of one member.
type watcherSelection struct {
	candidates []*state.Member
	zones      map[string]bool // of the member and of the watchers selected
	selected   []state.Member
}

// addNearest selects the nearest candidate that fits and reports whether there was one.
func (c *watcherSelection) addNearest(fits func(*state.Member) bool) bool {
	for i, member := range c.candidates {
		if member != nil && fits(member) {
			c.selected = append(c.selected, *member)
			c.zones[member.Zone] = true
			c.candidates[i] = nil
			return true
		}
	}
	return false
}
