package shardmap

import (
	"errors"
	"fmt"
	"slices"

	"rowanlink/cluster"
)

// maxKeyHash is the end of the last range.
const maxKeyHash = ^cluster.KeyHash(0)

var errInvalidGroups = errors.New("shardmap: a destination is placed twice, or too many are placed")

// Snapshot encodes the map as CBOR. A member's copy is restored from the same bytes.
func (m *Map) Snapshot() ([]byte, error) { return codec.Marshal(m) }

// Restore replaces the map by a snapshot. It rejects a snapshot whose ranges do not cover each key hash exactly once,
// or that is inconsistent in another way, and then leaves the map unchanged.
func (m *Map) Restore(snapshot []byte) error {
	next := Map{holders: m.holders}
	if err := codec.Unmarshal(snapshot, &next); err != nil {
		return fmt.Errorf("shardmap: decode snapshot: %w", err)
	}
	if err := next.validate(); err != nil {
		return err
	}
	if !groupsAreValid(next.Groups) {
		return errInvalidGroups
	}
	next.SetPlacement(next.Groups)
	*m = next
	return nil
}

// validate returns an error that names the first inconsistency of the ranges or moves.
func (m *Map) validate() error {
	if err := m.validateRanges(); err != nil {
		return err
	}
	return m.validateMoves()
}

func (m *Map) validateRanges() error {
	next, seen := cluster.KeyHash(0), map[cluster.RangeID]bool{}
	for i, r := range m.Ranges {
		isLast := i == len(m.Ranges)-1
		if r.From != next || r.To < r.From || isLast != (r.To == maxKeyHash) {
			return fmt.Errorf("shardmap: range %d leaves a gap or overlaps another", r.ID)
		}
		if seen[r.ID] || r.ID >= m.NextID || r.Owner == "" {
			return fmt.Errorf("shardmap: range %d has a wrong id or no owner", r.ID)
		}
		if r.Move.Step > StepSwitched || r.Status > OwnerServing {
			return fmt.Errorf("shardmap: range %d is in an unknown state", r.ID)
		}
		next, seen[r.ID] = r.To+1, true
	}
	return nil
}

func (m *Map) validateMoves() error {
	moves := slices.Clone(m.DetachedMoves)
	for _, r := range m.Ranges {
		if r.Move.IsOpen() {
			moves = append(moves, r.Move)
		}
	}
	seen := map[MoveID]bool{0: true}
	for i, move := range moves {
		isDetached := i < len(m.DetachedMoves)
		if seen[move.ID] || isDetached && move.Step != StepSwitched {
			return fmt.Errorf("shardmap: move %d has a wrong id or step", move.ID)
		}
		seen[move.ID] = true
	}
	return nil
}
