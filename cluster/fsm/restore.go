package fsm

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"rowanlink/cluster"
	"rowanlink/cluster/lease"
)

// Restore puts a snapshot in the machine's place; parts that it lacks are as they were at first. One of
// another format, or with a part that is not known, is refused whole. Where a part refuses its bytes, what
// was done before is undone.
func (m *Machine) Restore(snapshot []byte) error {
	var whole machineImage
	if err := decoding.Unmarshal(snapshot, &whole); err != nil {
		return fmt.Errorf("snapshot: %w: %w", ErrUnreadable, err)
	}
	if whole.Format != snapshotFormat {
		return fmt.Errorf("snapshot: format %d, this program reads %d: %w", whole.Format, snapshotFormat, ErrUnreadable)
	}
	next, versions := maps.Clone(m.fresh), map[byte]uint64{}
	for _, p := range whole.Components {
		if _, twice := versions[p.Component]; twice || m.parts[p.Component] == nil {
			return fmt.Errorf("snapshot: part %q is not known or comes twice: %w", p.Component, ErrUnreadable)
		}
		next[p.Component], versions[p.Component] = p.Bytes, p.Version
	}
	if err := m.restore(next); err != nil {
		return err
	}
	m.versions = versions
	return nil
}

func (m *Machine) restore(next map[byte][]byte) (err error) {
	undo := map[byte][]byte{}
	for _, letter := range slices.Sorted(maps.Keys(next)) {
		part := m.parts[letter]
		if undo[letter], err = part.Snapshot(); err == nil {
			err = part.Restore(next[letter])
		}
		if err != nil {
			err = fmt.Errorf("snapshot: part %q: %w", letter, err)
			delete(undo, letter)
			for done, before := range undo {
				err = errors.Join(err, m.parts[done].Restore(before))
			}
			return err
		}
	}
	return nil
}

// ErrUnreadable is a command that this program can't understand; nothing was changed.
var ErrUnreadable = lease.ErrUnreadable

// codedErrors by code, from 1 on; a code never gets another meaning.
var codedErrors = []error{cluster.ErrFenced, cluster.ErrNotFound, cluster.ErrAlreadyHeld, cluster.ErrStale, ErrUnreadable}

const unreadableCode = 5

// ErrorCode is a refusal as members tell it to one another: 0 for none; what is none of the fleet's is told as
// ErrUnreadable.
func ErrorCode(err error) uint16 {
	if err == nil {
		return 0
	}
	for i, r := range codedErrors {
		if errors.Is(err, r) {
			return uint16(i + 1)
		}
	}
	return unreadableCode
}

// ErrorFromCode is what Code told; a code of a newer program is ErrUnreadable.
func ErrorFromCode(code uint16) error {
	if code == 0 {
		return nil
	}
	if int(code) > len(codedErrors) {
		code = unreadableCode
	}
	return codedErrors[code-1]
}
