package shardmap

import "rowanlink/cluster"

// OwnerStatus states whether the owner of a range serves it.
type OwnerStatus uint8

// The statuses. The numbers are encoded.
const (
	OwnerAssigned OwnerStatus = iota // an owner is named and has not yet confirmed by which lease it serves
	OwnerServing                     // the owner serves by the lease of Range.Epoch
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

// PriorGrant is a lease on another range by which an owner with a map older than Since may still serve a part of this
// range: one that was split off and not taken up yet, or one that was merged in.
type PriorGrant struct {
	Range cluster.RangeID `cbor:"1,keyasint"`
	Epoch cluster.Epoch   `cbor:"2,keyasint"`
	Since cluster.Version `cbor:"3,keyasint"`
}

// IsStable reports whether the range has an owner that serves it and no move is open.
func (r Range) IsStable() bool { return r.Status == OwnerServing && !r.Move.IsOpen() }

// ShouldAcquire reports whether a member that does not hold the range's lease should request it: as its owner, or as
// the target of a move whose source is about to release it. No other member requests it, since a lease held elsewhere
// would only keep the owner from serving.
func (r Range) ShouldAcquire(member cluster.MemberID) bool {
	if r.Move.Step == StepHandoff {
		return r.Move.To == member
	}
	return r.Owner == member
}

// ShouldRelease reports whether a member that holds the range's lease should release it: when it should not have it
// and no call is in flight, and as the source of a move once no call of the range is in flight and no webhook of it is
// outstanding.
func (r Range) ShouldRelease(member cluster.MemberID, callsInFlight, outstanding int) bool {
	if r.isSource(member) {
		return callsInFlight == 0 && outstanding == 0
	}
	return !r.ShouldAcquire(member) && callsInFlight == 0
}

// ShouldCloseIntake reports whether the source of a move should accept no more webhooks for the range: no call is in
// flight and what is outstanding fits into one message of batchSize webhooks. Without this a move might never end
// under load, since new webhooks always arrive. What is closed stays closed for one message and the switch.
func (r Range) ShouldCloseIntake(member cluster.MemberID, callsInFlight, outstanding, batchSize int) bool {
	return r.isSource(member) && callsInFlight == 0 && outstanding <= batchSize
}

// isSource reports whether a member is the source of the range's move in its hand-off step.
func (r Range) isSource(member cluster.MemberID) bool {
	return r.Move.Step == StepHandoff && r.Owner == member
}
