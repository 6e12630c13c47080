package shardmap

import "rowanlink/cluster"

// MoveID identifies a move: it is the log index of the command that planned it. Like the map's version it only rises.
type MoveID uint64

// MoveStep is the progress of a move. Before StepSwitched a move can be reverted; afterwards it only goes forward.
type MoveStep uint8

// The steps. The numbers are encoded.
const (
	StepNone     MoveStep = iota // no move
	StepPlanned                  // nothing done yet
	StepWarming                  // the target learns what the source knows of the destinations
	StepHandoff                  // the source starts no call of the range and hands its outstanding webhooks to the target
	StepSwitched                 // the target is the owner; both sides have copies to clear
)

// Move is the transfer of a range from one owner to another.
type Move struct {
	ID   MoveID           `cbor:"1,keyasint"`
	From cluster.MemberID `cbor:"2,keyasint"`
	To   cluster.MemberID `cbor:"3,keyasint"`
	Step MoveStep         `cbor:"4,keyasint"`
	// Once switched: which side has cleared its copies.
	SourceCleared bool `cbor:"5,keyasint,omitempty"`
	TargetCleared bool `cbor:"6,keyasint,omitempty"`
}

// IsOpen reports whether there is a move: in progress, or switched and not cleared by both sides.
func (m Move) IsOpen() bool { return m.Step != StepNone }

// MoveOwner states which side of a move owns the range, as far as a copy of the map shows.
type MoveOwner uint8

// The sides.
const (
	OwnerUndecided MoveOwner = iota // neither switched nor reverted: webhooks that the move transferred stay parked
	OwnerIsSource
	OwnerIsTarget
)

// OwnerByMove returns the side of a move that owns the range by this copy of the map. A move that is no longer in the
// map was reverted or cleared; then webhooks that it transferred go where the map says, as all others do, and the
// answer is OwnerIsSource.
func (m *Map) OwnerByMove(id MoveID) MoveOwner {
	move, open := m.OpenMove(id)
	switch {
	case m.isOlderThan(id) || open && move.Step < StepSwitched:
		return OwnerUndecided
	case open:
		return OwnerIsTarget
	}
	return OwnerIsSource
}

// AdmitTransfer returns a target's answer to webhooks that are sent to it by a move: AdmissionAccepted;
// AdmissionMapStale while its map does not show the move at its hand-off step; AdmissionRedirected when the move was
// reverted or cleared, after which nothing of it is accepted.
func (m *Map) AdmitTransfer(id MoveID, target cluster.MemberID) Admission {
	move, open := m.OpenMove(id)
	switch {
	case m.isOlderThan(id) || open && move.Step < StepHandoff:
		return AdmissionMapStale
	case open && move.To == target:
		return AdmissionAccepted
	}
	return AdmissionRedirected
}

// isOlderThan reports whether the map is from before a move was planned.
func (m *Map) isOlderThan(id MoveID) bool { return m.Version < cluster.Version(id) }
