package shardmap

import (
	"cmp"
	"slices"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// MisplacedDestination is a destination that was placed in another range while the lease of its previous range was
// held under Grant. The holder may still serve the destination under this grant, by a map older than Grant.Since;
// until this is ruled out, no other member may serve it.
type MisplacedDestination struct {
	Destination api.DestinationID `cbor:"1,keyasint"`
	Grant       PriorGrant        `cbor:"2,keyasint"`
}

func (d MisplacedDestination) compare(o MisplacedDestination) int {
	return cmp.Or(
		cmp.Compare(d.Destination, o.Destination),
		cmp.Compare(d.Grant.Range, o.Grant.Range),
		cmp.Compare(d.Grant.Epoch, o.Grant.Epoch),
	)
}

// IsServedBy reports whether the grant by which the destination may still be served is a member's own.
func (d MisplacedDestination) IsServedBy(member LocalMember) bool {
	return member.holdsGrant(d.Grant.Range, d.Grant.Epoch)
}

// MisplacedOf returns the entries of one destination.
func (m *Map) MisplacedOf(destination api.DestinationID) []MisplacedDestination {
	first, _ := slices.BinarySearchFunc(m.Misplaced, destination,
		func(d MisplacedDestination, destination api.DestinationID) int {
			return cmp.Compare(d.Destination, destination)
		})
	last := first
	for last < len(m.Misplaced) && m.Misplaced[last].Destination == destination {
		last++
	}
	return m.Misplaced[first:last]
}

// MisplacedByGrant returns, for each grant that the member holds, the destinations that it served under the grant and
// that are placed elsewhere now. Since is 0 in the keys.
func (m *Map) MisplacedByGrant(member LocalMember) map[PriorGrant][]api.DestinationID {
	destinations := map[PriorGrant][]api.DestinationID{}
	for _, d := range m.Misplaced {
		if d.IsServedBy(member) {
			grant := PriorGrant{Range: d.Grant.Range, Epoch: d.Grant.Epoch}
			destinations[grant] = append(destinations[grant], d.Destination)
		}
	}
	return destinations
}

// CountsToward reports whether calls of a destination count among those of a range: while such a call is in flight,
// the range's lease is not released.
func (m *Map) CountsToward(r Range, destination api.DestinationID) bool {
	return m.Contains(r, destination) || m.wasMisplacedFrom(r, destination)
}

// wasMisplacedFrom reports whether a destination is recorded as misplaced from the range, under its current grant or
// an earlier one.
func (m *Map) wasMisplacedFrom(r Range, destination api.DestinationID) bool {
	return slices.ContainsFunc(m.MisplacedOf(destination), func(d MisplacedDestination) bool {
		return d.Grant.Range == r.ID
	})
}

// removeMisplaced removes the entries for which isResolved is true. It returns cluster.ErrStale if there are none.
func (m *Map) removeMisplaced(isResolved func(MisplacedDestination) bool) error {
	remaining := slices.DeleteFunc(slices.Clone(m.Misplaced), isResolved)
	if len(remaining) == len(m.Misplaced) {
		return cluster.ErrStale
	}
	m.Misplaced = remaining
	return nil
}
