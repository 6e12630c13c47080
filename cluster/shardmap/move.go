package shardmap

import "rowanlink/cluster"

// MoveID identifies a move. It is the log index of the command that planned the move and, like the version of the
// map, only rises.
type MoveID uint64

// MoveStep is the progress of a move. Before StepSwitched a move can be reverted; from then on it can only be
// completed.
type MoveStep uint8

// The steps. The numbers are encoded.
const (
	StepNone     MoveStep = iota // no move
	StepPlanned                  // nothing done yet
	StepWarming                  // the target learns what the source knows about the destinations
	StepHandoff                  // the source starts no calls for the range and hands outstanding webhooks to the target
	StepSwitched                 // the target is the owner; both sides still have copies of webhooks to clear
)

// Move is the transfer of a range from one owner to another.
type Move struct {
	ID   MoveID           `cbor:"1,keyasint"`
	From cluster.MemberID `cbor:"2,keyasint"`
	To   cluster.MemberID `cbor:"3,keyasint"`
	Step MoveStep         `cbor:"4,keyasint"`
	// Which side has cleared its copies, once the move has switched.
	SourceCleared bool `cbor:"5,keyasint,omitempty"`
	TargetCleared bool `cbor:"6,keyasint,omitempty"`
}

// IsOpen reports whether there is a move that is in progress, or that has switched and is not cleared by both sides.
func (m Move) IsOpen() bool { return m.Step != StepNone }

// MoveOwner states which side of a move owns the range, as far as a copy of the map shows it.
type MoveOwner uint8

// The sides.
const (
	OwnerUndecided MoveOwner = iota // neither switched nor reverted: webhooks that the move transferred stay parked
	OwnerIsSource
	OwnerIsTarget
)

// OwnerByMove returns the side of a move that owns the range by this copy of the map. A move that is no longer in the
// map was reverted or cleared. Webhooks that it transferred then go where the map says, like all others, and the
// result is OwnerIsSource.
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

// AdmitTransfer returns a target's answer to webhooks that a move transfers to it:
//   - AdmissionAccepted: the move is at its hand-off step or has switched.
//   - AdmissionMapStale: the target's map does not show the move at its hand-off step yet.
//   - AdmissionRedirected: the move was reverted or cleared, or has another target; none of its webhooks is accepted.
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
