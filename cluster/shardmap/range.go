package shardmap

import "rowanlink/cluster"

// OwnerStatus states whether the owner of a range serves it.
type OwnerStatus uint8

// The statuses. The numbers are encoded.
const (
	OwnerAssigned OwnerStatus = iota // the owner has not yet confirmed under which lease it serves
	OwnerServing                     // the owner serves under the lease with the epoch Range.Epoch
)

// Range is an interval of key hashes. From and To both belong to it.
type Range struct {
	ID    cluster.RangeID  `cbor:"1,keyasint"`
	From  cluster.KeyHash  `cbor:"2,keyasint"`
	To    cluster.KeyHash  `cbor:"3,keyasint"`
	Owner cluster.MemberID `cbor:"4,keyasint"`
	// Epoch is that of the lease on cluster.RangeOwnerResource(ID) by which Owner serves; 0: it never served.
	Epoch       cluster.Epoch `cbor:"5,keyasint"`
	Status      OwnerStatus   `cbor:"6,keyasint"`
	Move        Move          `cbor:"7,keyasint"`
	PriorGrants []PriorGrant  `cbor:"8,keyasint,omitempty"`
	SplitOff    bool          `cbor:"9,keyasint,omitempty"` // split off the range below it
}

// PriorGrant is a lease on another range under which an owner with a map older than Since may still serve a part of
// this range. The part was either split off that range, and its new lease is not confirmed yet, or was merged in.
type PriorGrant struct {
	Range cluster.RangeID `cbor:"1,keyasint"`
	Epoch cluster.Epoch   `cbor:"2,keyasint"`
	Since cluster.Version `cbor:"3,keyasint"`
}

// IsStable reports whether the range has an owner that serves it and no move is open.
func (r Range) IsStable() bool { return r.Status == OwnerServing && !r.Move.IsOpen() }

// ShouldAcquire reports whether a member that does not hold the range's lease should request it: as the owner of the
// range, or as the target of a move whose source is about to release the lease. No other member requests it: if one
// held the lease, the owner could not serve.
func (r Range) ShouldAcquire(member cluster.MemberID) bool {
	if r.Move.Step == StepHandoff {
		return r.Move.To == member
	}
	return r.Owner == member
}

// ShouldRelease reports whether a member that holds the range's lease should release it. The source of a move does so
// once no call of the range is in flight and no webhook of it is outstanding; a member that should not have the lease
// does so once no call is in flight.
func (r Range) ShouldRelease(member cluster.MemberID, callsInFlight, outstanding int) bool {
	if r.isSource(member) {
		return callsInFlight == 0 && outstanding == 0
	}
	return !r.ShouldAcquire(member) && callsInFlight == 0
}

// ShouldCloseIntake reports whether the source of a move should stop accepting webhooks for the range: no call is in
// flight, and the outstanding webhooks fit into one message of batchSize webhooks. Without this a move might never
// end under load, since new webhooks always arrive. The intake is closed only until this one message is sent and the
// owner has switched.
func (r Range) ShouldCloseIntake(member cluster.MemberID, callsInFlight, outstanding, batchSize int) bool {
	return r.isSource(member) && callsInFlight == 0 && outstanding <= batchSize
}

// isSource reports whether a member is the source of the range's move in its hand-off step.
func (r Range) isSource(member cluster.MemberID) bool {
	return r.Move.Step == StepHandoff && r.Owner == member
}
