// Package shardmap holds the versioned shard map: which member owns which range of keys, and the steps by which a
// range moves from one owner to another. It also contains what follows from the map for one member: which destinations
// it may serve, what it forwards, which forwarded webhooks it admits, and who has custody of a webhook that was handed
// to another member.
//
// The package is a deterministic state machine without I/O, clock or goroutine: times are arguments. The raft log
// replicates [Map.Apply]; members keep read-only copies, restored from snapshots. docs/cluster.md, "Ranges and moves",
// has the safety argument.
package shardmap

import (
	"cmp"
	"slices"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// Map assigns each range of key hashes to its owner. Its ranges are in order and cover each key hash exactly once.
type Map struct {
	// Version is the log index of the last command that changed the map; 0: none yet.
	Version cluster.Version `cbor:"1,keyasint"`
	Ranges  []Range         `cbor:"2,keyasint"`
	// DetachedMoves are the switched moves that both sides had not cleared when their range failed over.
	DetachedMoves []Move                 `cbor:"3,keyasint,omitempty"`
	NextID        cluster.RangeID        `cbor:"4,keyasint"`           // the lowest id that was never used
	Groups        []PlacementGroup       `cbor:"5,keyasint,omitempty"` // by key
	Misplaced     []MisplacedDestination `cbor:"6,keyasint,omitempty"` // sorted

	holders LeaseHolders
	keys    map[api.DestinationID]cluster.KeyHash // of the destinations in Groups
}

// LeaseHolders reports who holds a lease according to the log. When a lease has ended in the log, its holder no
// longer acts under it, judged by the holder's own clock: package lease ensures this before it ends a lease in the
// log.
type LeaseHolders interface {
	Holder(resource cluster.Resource) (holder cluster.LeaseHolder, held bool)
}

// New returns an empty map for a raft node, where holders is fed by the same log. A member's copy, which never
// applies commands, needs no holders.
func New(holders LeaseHolders) *Map { return &Map{NextID: 1, holders: holders} }

// RangeOf returns the range that contains a key hash; false if the map has no ranges yet.
func (m *Map) RangeOf(key cluster.KeyHash) (Range, bool) {
	compareEnd := func(r Range, k cluster.KeyHash) int { return cmp.Compare(r.To, k) }
	i, _ := slices.BinarySearchFunc(m.Ranges, key, compareEnd)
	if i == len(m.Ranges) {
		return Range{}, false
	}
	return m.Ranges[i], true
}

// RangeByID returns the range with an id.
func (m *Map) RangeByID(id cluster.RangeID) (Range, bool) {
	if i := m.indexOf(id); i >= 0 {
		return m.Ranges[i], true
	}
	return Range{}, false
}

// indexOf returns the index of a range in Ranges, or -1.
func (m *Map) indexOf(id cluster.RangeID) int {
	return slices.IndexFunc(m.Ranges, func(r Range) bool { return r.ID == id })
}

// OpenMove returns the move with an id if it is in progress, or has switched and was not cleared by both sides.
func (m *Map) OpenMove(id MoveID) (Move, bool) {
	if move := m.findMove(id); move != nil {
		return *move, true
	}
	return Move{}, false
}

// findMove returns the open move with an id, of a range or detached, or nil.
func (m *Map) findMove(id MoveID) *Move {
	for i := range m.Ranges {
		move := &m.Ranges[i].Move
		if move.IsOpen() && move.ID == id {
			return move
		}
	}
	i := slices.IndexFunc(m.DetachedMoves, func(move Move) bool { return move.ID == id })
	if i >= 0 {
		return &m.DetachedMoves[i]
	}
	return nil
}
