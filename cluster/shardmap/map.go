// Package shardmap holds the versioned map of ranges of keys, the steps by which a range moves from one home to
// another, and what follows from both for a member: what it may serve, what it forwards, and whose a webhook
// is. docs/cluster.md, "Ranges and moves", has the argument.
package shardmap

import (
	"cmp"
	"fmt"
	"slices"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// MoveID is the log's index of the entry that planned the move. Like a map's version it only rises.
type MoveID uint64

// OwnerStatus is how a range stands with its home.
type OwnerStatus uint8

const (
	OwnerAssigned OwnerStatus = iota // a home is named and has yet to say by which grant it serves
	OwnerServing                     // its home serves by the grant of Range.Epoch
)

// MoveStep is how far a move has come. Before Switched it can go back, after it only on.
type MoveStep uint8

const (
	StepNone     MoveStep = iota // no move
	StepPlanned                  // nothing done yet
	StepWarming                  // the target learns what the source knows of the destinations
	StepHandoff                  // the source starts no call of the range, and what it owes goes over
	StepSwitched                 // the target is home; both sides have copies to clear away
)

// Move is a range's way to another home.
type Move struct {
	ID   MoveID           `cbor:"1,keyasint"`
	From cluster.MemberID `cbor:"2,keyasint"`
	To   cluster.MemberID `cbor:"3,keyasint"`
	Step MoveStep         `cbor:"4,keyasint"`
	// Switched: who has cleared its copies away.
	SourceCleared bool `cbor:"5,keyasint,omitempty"`
	TargetCleared bool `cbor:"6,keyasint,omitempty"`
}

// IsOpen tells whether there is a move.
func (m Move) IsOpen() bool { return m.Step != StepNone }

// Range is a part of the key hashes. From and To both belong to it.
type Range struct {
	ID          cluster.RangeID  `cbor:"1,keyasint"`
	From        cluster.KeyHash  `cbor:"2,keyasint"`
	To          cluster.KeyHash  `cbor:"3,keyasint"`
	Owner       cluster.MemberID `cbor:"4,keyasint"`
	Epoch       cluster.Epoch    `cbor:"5,keyasint"` // of task fleet.HomeOf(ID), by which Home serves; 0: never yet
	Status      OwnerStatus      `cbor:"6,keyasint"`
	Move        Move             `cbor:"7,keyasint"`
	PriorGrants []PriorGrant     `cbor:"8,keyasint,omitempty"`
	SplitOff    bool             `cbor:"9,keyasint,omitempty"` // split off what lies below it
}

// PriorGrant is a grant of another range's home by which a home with a map from before Since may serve a part of
// this one: what was split off and not taken up yet, what was merged in.
type PriorGrant struct {
	Range cluster.RangeID `cbor:"1,keyasint"`
	Epoch cluster.Epoch   `cbor:"2,keyasint"`
	Since cluster.Version `cbor:"3,keyasint"`
}

// IsStable tells whether a range has a home that serves and nothing is under way.
func (r Range) IsStable() bool { return r.Status == OwnerServing && !r.Move.IsOpen() }

// Map says which member is home of which range. Its ranges lie in order and cover each key hash once.
type Map struct {
	Version       cluster.Version        `cbor:"1,keyasint"` // the log's index of the last command that changed it; 0: none yet
	Ranges        []Range                `cbor:"2,keyasint"`
	DetachedMoves []Move                 `cbor:"3,keyasint,omitempty"` // switched moves of ranges that went on without waiting
	NextID        cluster.RangeID        `cbor:"4,keyasint"`           // all below were used
	Groups        []PlacementGroup       `cbor:"5,keyasint,omitempty"` // by place
	Misplaced     []MisplacedDestination `cbor:"6,keyasint,omitempty"` // sorted

	holders LeaseHolders
	keys    map[api.DestinationID]cluster.KeyHash // of the groups
}

// New is an empty map, as a keeper has it: the holders are of the same log. Members need none.
func New(holders LeaseHolders) *Map { return &Map{NextID: 1, holders: holders} }

// LeaseHolders tells who holds a task by the log. A grant that is not held any more has ended at its holder too,
// by the holder's own clock: the leases see to that before they end it in the log.
type LeaseHolders interface {
	Holder(task cluster.Task) (session cluster.SessionID, member cluster.MemberID, epoch cluster.Epoch, held bool)
}

// RangeOf is the range that a key hash lies in. There is none before the first map.
func (m *Map) RangeOf(key cluster.KeyHash) (Range, bool) {
	ends := func(r Range, k cluster.KeyHash) int { return cmp.Compare(r.To, k) }
	i, _ := slices.BinarySearchFunc(m.Ranges, key, ends)
	if i == len(m.Ranges) {
		return Range{}, false
	}
	return m.Ranges[i], true
}

// RangeByID finds a range by its id.
func (m *Map) RangeByID(id cluster.RangeID) (Range, bool) {
	if i := m.indexOf(id); i >= 0 {
		return m.Ranges[i], true
	}
	return Range{}, false
}

func (m *Map) indexOf(id cluster.RangeID) int {
	return slices.IndexFunc(m.Ranges, func(r Range) bool { return r.ID == id })
}

// findMove finds one that is open, wherever it stands.
func (m *Map) findMove(id MoveID) *Move {
	for i := range m.Ranges {
		if v := &m.Ranges[i].Move; v.IsOpen() && v.ID == id {
			return v
		}
	}
	if i := slices.IndexFunc(m.DetachedMoves, func(v Move) bool { return v.ID == id }); i >= 0 {
		return &m.DetachedMoves[i]
	}
	return nil
}

// OpenMove finds a move that is open: under way, or switched and not cleared by both sides.
func (m *Map) OpenMove(id MoveID) (Move, bool) {
	if v := m.findMove(id); v != nil {
		return *v, true
	}
	return Move{}, false
}

// Snapshot is the map as CBOR; a member's copy is restored from the same.
func (m *Map) Snapshot() ([]byte, error) { return encMode.Marshal(m) }

// Restore takes a snapshot. One that does not cover each key hash once is refused, and the map stays.
func (m *Map) Restore(snapshot []byte) error {
	next := Map{holders: m.holders}
	if err := decMode.Unmarshal(snapshot, &next); err != nil {
		return fmt.Errorf("ranges: snapshot: %w", err)
	}
	if err := next.validate(); err != nil {
		return err
	}
	if !groupsAreDisjoint(next.Groups) {
		return fmt.Errorf("ranges: a destination stands in two places")
	}
	next.SetPlacement(next.Groups)
	*m = next
	return nil
}

// validate tells what is wrong with a map.
func (m *Map) validate() error {
	next, ids := cluster.KeyHash(0), map[cluster.RangeID]bool{}
	for i, r := range m.Ranges {
		last := i == len(m.Ranges)-1
		if r.From != next || r.To < r.From || last != (r.To == ^cluster.KeyHash(0)) {
			return fmt.Errorf("ranges: range %d leaves a gap or lies over another", r.ID)
		}
		if ids[r.ID] || r.ID >= m.NextID || r.Owner == "" || r.Move.Step > StepSwitched || r.Status > OwnerServing {
			return fmt.Errorf("ranges: range %d does not stand as one can", r.ID)
		}
		next, ids[r.ID] = r.To+1, true
	}
	moves := slices.Clone(m.DetachedMoves)
	for _, r := range m.Ranges {
		if r.Move.IsOpen() {
			moves = append(moves, r.Move)
		}
	}
	known := map[MoveID]bool{0: true}
	for i, v := range moves {
		if known[v.ID] || i < len(m.DetachedMoves) && v.Step != StepSwitched {
			return fmt.Errorf("ranges: move %d does not stand as one can", v.ID)
		}
		known[v.ID] = true
	}
	return nil
}
