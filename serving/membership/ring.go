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
	// WatcherCount is the number of watchers of a member, if there are enough other members.
	WatcherCount = 3
	// maxRingDistance is the number of successors on the ring from which watchers are selected. It is also the maximum
	// number of members that one member watches.
	maxRingDistance = 16
	// smallZoneSize is the number of live members up to which a zone's members are assigned to the zones of other
	// regions round-robin, see updateZones.
	smallZoneSize = 8
)

// ringPositionOf returns a member's position on the hash ring.
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

// updateZones lists the zones of the members on the ring and sets each member's remoteRank. In a zone with at most
// smallZoneSize live members, it is the member's index in ring order, which spreads the members evenly over the zones
// of other regions. In a larger zone, it is the member's ring position, so that it doesn't change when others come or
// go.
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
		for index, tracked := range inZone {
			if len(inZone) <= smallZoneSize {
				tracked.remoteRank = uint64(index)
			}
		}
	}
}

// zoneLocation is a zone with its region.
type zoneLocation struct{ zone, region string }

// remoteZone returns the zone of another region from which a member's remote watcher is preferably selected; it is
// empty if there is no other region. Members of one zone get different remote zones, so that every remote zone that
// isn't partitioned receives heartbeats from some of them.
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

// removeDownFromRing removes members from the ring that have been down for at least ringRetention.
func (t *Table) removeDownFromRing(now time.Time) {
	for _, tracked := range t.members {
		if tracked.onRing && !tracked.isLive() && now.Sub(tracked.downSince) >= ringRetention {
			tracked.onRing = false
			t.invalidateRing()
		}
	}
}

// invalidateRing marks everything derived from the ring as stale, after a member was added or removed or has changed
// its state.
func (t *Table) invalidateRing() {
	t.ringMembers = nil
	t.watchedStale = true
	t.needsEvaluation = true
	t.linksStale = true
}

// Watchers returns the watchers of a member, selected from its successors on the ring: one in another zone of its
// region, one in a third zone of the region or else in its own zone, and one in another region. If its region has no
// other zone, two are in its own zone. A partition between two zones therefore doesn't separate a member from the
// majority of its watchers, and after the loss of a zone there still are watchers with a vote, see evaluateSuspicions.
// All members that know the same members select the same watchers.
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

// successors returns the members that follow a member on the ring, at most maxRingDistance, nearest first.
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
	zones      map[string]bool // zones of the member and of the watchers selected so far
	selected   []state.Member
}

// addNearest selects the nearest remaining candidate that fits and reports whether there was one.
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
