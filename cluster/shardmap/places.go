package shardmap

import (
	"cmp"
	"slices"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// PlacementGroup is of destinations that stand at one place among the ranges, whatever their own numbers say, so that
// one member is home of them all.
type PlacementGroup struct {
	Key          cluster.KeyHash     `cbor:"1,keyasint"`
	Destinations []api.DestinationID `cbor:"2,keyasint"` // sorted
}

// MisplacedDestination is a destination that came to stand in another range while the grant of the one before was held: by
// that grant and a map from before Since it may be served there yet, and so nowhere else.
type MisplacedDestination struct {
	Destination api.DestinationID `cbor:"1,keyasint"`
	Grant       PriorGrant        `cbor:"2,keyasint"`
}

func (s MisplacedDestination) compare(o MisplacedDestination) int {
	return cmp.Or(cmp.Compare(s.Destination, o.Destination), cmp.Compare(s.Grant.Range, o.Grant.Range),
		cmp.Compare(s.Grant.Epoch, o.Grant.Epoch))
}

// maxPlacedDestinations bounds what a broken command can make a keeper hold.
const maxPlacedDestinations = 1 << 17

// keysByDestination is where destinations stand that are in a group.
func keysByDestination(groups []PlacementGroup) map[api.DestinationID]cluster.KeyHash {
	at := map[api.DestinationID]cluster.KeyHash{}
	for _, g := range groups {
		for _, d := range g.Destinations {
			at[d] = g.Key
		}
	}
	return at
}

// groupsAreDisjoint is whether no destination is in two groups, nor twice in one, and they are not too many.
func groupsAreDisjoint(groups []PlacementGroup) bool {
	n := 0
	for _, g := range groups {
		n += len(g.Destinations)
	}
	return n <= maxPlacedDestinations && n == len(keysByDestination(groups))
}

// KeyOf is where a destination stands among the ranges.
func (m *Map) KeyOf(d api.DestinationID) cluster.KeyHash {
	if at, is := m.keys[d]; is {
		return at
	}
	return cluster.Hash(d)
}

// Contains is whether a destination stands in a range of this map.
func (m *Map) Contains(r Range, d api.DestinationID) bool {
	k := m.KeyOf(d)
	return r.From <= k && k <= r.To
}

// applyPlacement has other destinations stand together. Guards against two that serve one of those that move: whoever
// holds the grant by which it was served is to say first that it goes by this map.
func (m *Map) applyPlacement(now cluster.Version, groups []PlacementGroup) error {
	if !groupsAreDisjoint(groups) {
		return cluster.ErrUnknown
	}
	if EqualPlacements(groups, m.Groups) {
		return cluster.ErrStale
	}
	was := *m
	m.SetPlacement(groups)
	m.Misplaced = slices.Clone(m.Misplaced)
	for _, of := range []map[api.DestinationID]cluster.KeyHash{was.keys, m.keys} {
		for d := range of {
			from, known := was.RangeOf(was.KeyOf(d))
			if to, _ := m.RangeOf(m.KeyOf(d)); !known || to.ID == from.ID {
				continue
			}
			for _, u := range append([]PriorGrant{{from.ID, from.Epoch, now}}, from.PriorGrants...) {
				if u.Since = now; m.isHeld(u) {
					m.Misplaced = append(m.Misplaced, MisplacedDestination{d, u})
				}
			}
		}
	}
	slices.SortFunc(m.Misplaced, func(a, b MisplacedDestination) int {
		return cmp.Or(a.compare(b), cmp.Compare(b.Grant.Since, a.Grant.Since))
	})
	m.Misplaced = slices.CompactFunc(m.Misplaced, func(a, b MisplacedDestination) bool { return a.compare(b) == 0 })
	return nil
}

// SetPlacement has destinations stand together in a map that nobody serves by yet; each is in one group.
func (m *Map) SetPlacement(groups []PlacementGroup) {
	m.Groups, m.keys = groups, keysByDestination(groups)
}

// EqualPlacements is whether nobody would stand elsewhere.
func EqualPlacements(a, b []PlacementGroup) bool {
	return slices.EqualFunc(a, b, func(a, b PlacementGroup) bool { return a.Key == b.Key && slices.Equal(a.Destinations, b.Destinations) })
}

// removeMisplaced forgets strays, where there are such.
func (m *Map) removeMisplaced(over func(MisplacedDestination) bool) error {
	left := slices.DeleteFunc(slices.Clone(m.Misplaced), over)
	if len(left) == len(m.Misplaced) {
		return cluster.ErrStale
	}
	m.Misplaced = left
	return nil
}

// MisplacedOf are those of a destination.
func (m *Map) MisplacedOf(d api.DestinationID) []MisplacedDestination {
	first, _ := slices.BinarySearchFunc(m.Misplaced, d, func(s MisplacedDestination, d api.DestinationID) int {
		return cmp.Compare(s.Destination, d)
	})
	last := first
	for last < len(m.Misplaced) && m.Misplaced[last].Destination == d {
		last++
	}
	return m.Misplaced[first:last]
}

// wasMisplacedFrom is whether a destination is still served under a range's grant, or was when it came to stand
// elsewhere: calls of it count among the range's.
func (m *Map) wasMisplacedFrom(r Range, d api.DestinationID) bool {
	return slices.ContainsFunc(m.MisplacedOf(d), func(s MisplacedDestination) bool { return s.Grant.Range == r.ID })
}

// CountsToward is whether calls of a destination are a range's: as long as one is out its grant is not let go.
func (m *Map) CountsToward(r Range, d api.DestinationID) bool {
	return m.Contains(r, d) || m.wasMisplacedFrom(r, d)
}

// IsServedBy is whether it is by a member's own grant that a destination may be served elsewhere.
func (s MisplacedDestination) IsServedBy(who LocalMember) bool {
	epoch, held := who.HeldEpoch(cluster.HomeOf(s.Grant.Range))
	return held && epoch == s.Grant.Epoch
}

// MisplacedByGrant lists a member's own grants under which destinations were served that stand elsewhere now, and
// which those are.
func (m *Map) MisplacedByGrant(who LocalMember) map[PriorGrant][]api.DestinationID {
	of := map[PriorGrant][]api.DestinationID{}
	for _, s := range m.Misplaced {
		if by := (PriorGrant{Range: s.Grant.Range, Epoch: s.Grant.Epoch}); s.IsServedBy(who) {
			of[by] = append(of[by], s.Destination)
		}
	}
	return of
}

// DecideDestination is what a member does with a destination's webhooks, now: DecideKey, but for one that may be
// served by another's grant yet.
func (m *Map) DecideDestination(who LocalMember, d api.DestinationID) Decision {
	v := m.DecideKey(who, m.KeyOf(d))
	if v.Action == Serve && slices.ContainsFunc(m.MisplacedOf(d), func(s MisplacedDestination) bool { return !s.IsServedBy(who) }) {
		v.Action = ParkOwned
	}
	return v
}

// AdmitDestination is what a member says to a webhook of a destination, forwarded by a version of the map.
func (m *Map) AdmitDestination(who LocalMember, d api.DestinationID, by cluster.Version) (Admission, Decision) {
	admission, v := m.AdmitKey(who, m.KeyOf(d), by)
	if admission == AdmissionAccepted {
		v = m.DecideDestination(who, d)
	}
	return admission, v
}

// Place has groups of destinations stand together, and all others by their own numbers.
func (e Coordinator) Place(groups []PlacementGroup) cluster.Command {
	return e.command(command{Op: opPlace, Groups: groups})
}

// SweepMisplaced forgets strays whose grant is over, where their holder did not live to say so.
func (e Coordinator) SweepMisplaced() cluster.Command {
	return e.command(command{Op: opSweepMisplaced})
}

// ConfirmPlacement says that a home goes by a map as new as this one, and that no call is out of what strayed from it
// until then.
func ConfirmPlacement(id cluster.RangeID, epoch cluster.Epoch, seen cluster.Version) cluster.Command {
	return command{Op: opConfirmPlacement, Range: id, Epoch: epoch, Seen: seen}.encode(cluster.HomeOf(id), epoch)
}
