package shardmap

import "rowanlink/cluster"

// Owner is whose home a range is as far as a move goes.
type Owner uint8

const (
	Undecided Owner = iota // the move has neither switched nor gone back: what went over by it is parked
	Source
	Target
)

// Owns is the owner by a member's copy of the map. A move that is not there any more went back or was
// cleared: then what came by it goes where the map says, as all else does.
func (m *Map) Owns(id MoveID) Owner {
	v, open := m.Open(id)
	switch {
	case m.Version < cluster.Version(id) || open && v.Step < Switched:
		return Undecided
	case open:
		return Target
	}
	return Source
}

// Passes is what a target says to what is sent to it by a move: Take, or Behind where it knows nothing of the
// move yet; Newer: the move went back or was cleared, and nothing of it is taken any more.
func (m *Map) Passes(id MoveID, target cluster.MemberID) Admission {
	v, open := m.Open(id)
	switch {
	case m.Version < cluster.Version(id) || open && v.Step < Passing:
		return Behind
	case open && v.To == target:
		return Take
	}
	return Newer
}
