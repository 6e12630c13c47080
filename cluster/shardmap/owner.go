package shardmap

import "rowanlink/cluster"

// MoveOwner is whose home a range is as far as a move goes.
type MoveOwner uint8

const (
	OwnerUndecided MoveOwner = iota // the move has neither switched nor gone back: what went over by it is parked
	OwnerIsSource
	OwnerIsTarget
)

// OwnerByMove is the owner by a member's copy of the map. A move that is not there any more went back or was
// cleared: then what came by it goes where the map says, as all else does.
func (m *Map) OwnerByMove(id MoveID) MoveOwner {
	v, open := m.OpenMove(id)
	switch {
	case m.Version < cluster.Version(id) || open && v.Step < StepSwitched:
		return OwnerUndecided
	case open:
		return OwnerIsTarget
	}
	return OwnerIsSource
}

// AdmitTransfer is what a target says to what is sent to it by a move: Take, or Behind where it knows nothing of the
// move yet; Newer: the move went back or was cleared, and nothing of it is taken any more.
func (m *Map) AdmitTransfer(id MoveID, target cluster.MemberID) Admission {
	v, open := m.OpenMove(id)
	switch {
	case m.Version < cluster.Version(id) || open && v.Step < StepHandoff:
		return AdmissionMapStale
	case open && v.To == target:
		return AdmissionAccepted
	}
	return AdmissionRedirected
}
