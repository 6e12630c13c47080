package shardmap

import (
	"cmp"
	"slices"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// PlacementGroup is a set of destinations that are placed at one key, whatever their own hashes are, so that one
// member owns them all.
type PlacementGroup struct {
	Key          cluster.KeyHash     `cbor:"1,keyasint"`
	Destinations []api.DestinationID `cbor:"2,keyasint"` // sorted
}

// maxPlacedDestinations limits how many destinations a faulty command can make a raft node store.
const maxPlacedDestinations = 1 << 17

// keysByDestination returns the key of each destination that is in a group.
func keysByDestination(groups []PlacementGroup) map[api.DestinationID]cluster.KeyHash {
	keys := map[api.DestinationID]cluster.KeyHash{}
	for _, g := range groups {
		for _, d := range g.Destinations {
			keys[d] = g.Key
		}
	}
	return keys
}

// groupsAreValid reports whether no destination is listed twice and there are at most maxPlacedDestinations.
func groupsAreValid(groups []PlacementGroup) bool {
	n := 0
	for _, g := range groups {
		n += len(g.Destinations)
	}
	return n <= maxPlacedDestinations && n == len(keysByDestination(groups))
}

// EqualPlacements reports whether two placements put each destination at the same key.
func EqualPlacements(a, b []PlacementGroup) bool {
	return slices.EqualFunc(a, b, func(a, b PlacementGroup) bool {
		return a.Key == b.Key && slices.Equal(a.Destinations, b.Destinations)
	})
}

// KeyOf returns the key hash that a destination is placed at: that of its group or, without a group, its own.
func (m *Map) KeyOf(destination api.DestinationID) cluster.KeyHash {
	if key, isPlaced := m.keys[destination]; isPlaced {
		return key
	}
	return cluster.DestinationKeyHash(destination)
}

// Contains reports whether a destination is placed in a range of this map.
func (m *Map) Contains(r Range, destination api.DestinationID) bool {
	key := m.KeyOf(destination)
	return r.From <= key && key <= r.To
}

// SetPlacement sets the placement of a map that nobody serves by yet. Each destination must be in at most one group.
func (m *Map) SetPlacement(groups []PlacementGroup) {
	m.Groups = groups
	m.keys = keysByDestination(groups)
}

// applyPlacement changes the placement. Each destination that thereby changes to another range is recorded as
// misplaced, once for each grant under which it may still be served in the previous range. Until the holder of the
// grant confirms the new map, no other member serves the destination.
func (m *Map) applyPlacement(version cluster.Version, groups []PlacementGroup) error {
	if !groupsAreValid(groups) {
		return cluster.ErrNotFound
	}
	if EqualPlacements(groups, m.Groups) {
		return cluster.ErrStale
	}
	previous := *m
	m.SetPlacement(groups)
	m.Misplaced = slices.Clone(m.Misplaced)
	for _, keys := range []map[api.DestinationID]cluster.KeyHash{previous.keys, m.keys} {
		for destination := range keys {
			m.recordMisplaced(version, &previous, destination)
		}
	}
	slices.SortFunc(m.Misplaced, func(a, b MisplacedDestination) int {
		return cmp.Or(a.compare(b), cmp.Compare(b.Grant.Since, a.Grant.Since))
	})
	m.Misplaced = slices.CompactFunc(m.Misplaced, func(a, b MisplacedDestination) bool { return a.compare(b) == 0 })
	return nil
}

// recordMisplaced appends an entry to Misplaced for each grant that is held and under which the destination was
// served in another range of the previous map.
func (m *Map) recordMisplaced(version cluster.Version, previous *Map, destination api.DestinationID) {
	from, wasMapped := previous.RangeOf(previous.KeyOf(destination))
	to, _ := m.RangeOf(m.KeyOf(destination))
	if !wasMapped || to.ID == from.ID {
		return
	}
	grants := append([]PriorGrant{{Range: from.ID, Epoch: from.Epoch}}, from.PriorGrants...)
	for _, grant := range grants {
		grant.Since = version
		if m.isHeld(grant) {
			m.Misplaced = append(m.Misplaced, MisplacedDestination{Destination: destination, Grant: grant})
		}
	}
}

// DecideDestination returns what a member does now with a destination's webhooks. It decides as DecideKey does, but
// returns ParkOwned instead of Serve for a destination that may still be served under another member's grant.
func (m *Map) DecideDestination(member LocalMember, destination api.DestinationID) Decision {
	decision := m.DecideKey(member, m.KeyOf(destination))
	if decision.Action == Serve && slices.ContainsFunc(m.MisplacedOf(destination),
		func(d MisplacedDestination) bool { return !d.IsServedBy(member) }) {
		decision.Action = ParkOwned
	}
	return decision
}
