package shardmap

import (
	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// Action is what a member does with a webhook of a key hash.
type Action uint8

// The actions. The numbers are encoded.
const (
	// ParkUnmapped: no owner is known; the webhook is accepted and parked.
	ParkUnmapped Action = iota
	// Serve: this member owns the range and may use the destination's full rate.
	Serve
	// Forward: another member owns the range.
	Forward
	// ParkOwned: this member owns the range, but does not hold the lease that the map names, or hands the range off; the
	// webhook is accepted and parked.
	ParkOwned
	// ServeIsolated: possibly no range has a serving owner, see IsolationSuspected; this member calls webhooks whose owner
	// is unknown or unreachable, at an even share of the destination's rate.
	ServeIsolated
)

// Decision is what a member does with webhooks of a key hash, together with the version of the map that it follows
// from and the member that owns the range.
type Decision struct {
	Action  Action           `cbor:"Do"`
	Range   cluster.RangeID  `cbor:"Range"`
	Epoch   cluster.Epoch    `cbor:"Epoch"` // under which the owner serves; with Serve, to be checked before each call
	Version cluster.Version  `cbor:"Version"`
	Owner   cluster.MemberID `cbor:"To"`     // with Forward: where to forward to
	Move    Move             `cbor:"Passes"` // with ParkOwned: the move that hands the outstanding webhooks off, if any
}

// LocalMember is what a member knows about its own right to call.
type LocalMember struct {
	Member cluster.MemberID
	// HeldEpoch returns the epoch of the lease that the member holds on a resource now, by its own clock; false if none.
	HeldEpoch func(cluster.Resource) (cluster.Epoch, bool)
	// Isolated is the member's result of IsolationSuspected.
	Isolated bool
}

// holdsGrant reports whether the member holds the lease on a range with the given epoch.
func (l LocalMember) holdsGrant(id cluster.RangeID, epoch cluster.Epoch) bool {
	current, held := l.HeldEpoch(cluster.RangeOwnerResource(id))
	return held && current == epoch
}

// DecideKey returns what a member does now with webhooks of a key hash. A call requires Serve or ServeIsolated when
// it begins, and again before its last byte is sent. The decision is Serve only if the map names exactly the lease
// that the member holds. A map from before a move does not name the leases granted after it, so an outdated map never
// lets two members call.
func (m *Map) DecideKey(member LocalMember, key cluster.KeyHash) Decision {
	r, isMapped := m.RangeOf(key)
	d := Decision{Range: r.ID, Epoch: r.Epoch, Version: m.Version, Owner: r.Owner}
	isOwner := isMapped && r.Owner == member.Member
	switch {
	case isOwner && r.mayServe(member):
		d.Action = Serve
	case member.Isolated:
		d.Action = ServeIsolated
	case !isMapped:
		d.Action = ParkUnmapped
	case !isOwner:
		d.Action = Forward
	default:
		d.Action = ParkOwned
		if r.Move.Step == StepHandoff {
			d.Move = r.Move
		}
	}
	return d
}

// mayServe reports whether the range's owner holds the lease that the map names and does not hand the range off.
func (r Range) mayServe(owner LocalMember) bool {
	return owner.holdsGrant(r.ID, r.Epoch) && r.Status == OwnerServing && r.Move.Step != StepHandoff
}

// IsolationSuspected reports whether possibly no range has a serving owner anywhere, as far as a member can tell. Its
// own session expired at expiredAt (api.Never: it has not), and a whole lease TTL has passed since. In that time,
// every session that was last renewed before the member's own has ended too. If only this member is partitioned, the
// ranges do have owners; its calls then come in addition to theirs, at an even share of the rate at most.
func IsolationSuspected(expiredAt, now, ttl api.Micros) bool {
	return expiredAt != api.Never && now-expiredAt > ttl
}

// RateShare returns the share of a destination's rate, 0 to 1, that the member may use in a cluster with the given
// number of members.
func (d Decision) RateShare(members int) float64 {
	switch d.Action {
	case Serve:
		return 1
	case ServeIsolated:
		return 1 / float64(max(members, 1))
	}
	return 0
}

// AllowsCall reports whether a webhook may be called now. ordered states that the webhook belongs to an ordered event
// type and has a key. Such a webhook may not be called while isolated: an earlier one of its key may be at an owner
// that is unreachable.
func (d Decision) AllowsCall(ordered bool) bool {
	return d.Action == Serve || d.Action == ServeIsolated && !ordered
}
