// Package fsm is the replicated state machine over the fleet's parts: it checks who orders, passes commands
// to the part they are for and joins the parts' snapshots. The keeper locks it.
package fsm

import (
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"rowanlink/cluster"
	"rowanlink/cluster/lease"
)

// Machine is all that is replicated.
type Machine struct {
	book     *lease.Table
	parts    map[byte]cluster.Component
	versions map[byte]uint64
	fresh    map[byte][]byte // each part as it was at first: for a snapshot that lacks it
}

// snapshotFormat rises when an older program could no longer read a snapshot.
const snapshotFormat = 1

var (
	encoding, _ = cbor.CoreDetEncOptions().EncMode()
	decoding, _ = cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
)

// New joins the book with the other parts, by their letters; cluster.LeaseComponent is the book's.
func New(book *lease.Table, others map[byte]cluster.Component) *Machine {
	parts := maps.Clone(others)
	if parts == nil {
		parts = map[byte]cluster.Component{}
	}
	parts[cluster.LeaseComponent] = book
	m := &Machine{book, parts, map[byte]uint64{}, map[byte][]byte{}}
	for letter, p := range parts {
		m.fresh[letter], _ = p.Snapshot() // one that can't be is refused by the part in Restore
	}
	return m
}

// EncodeCommand is a command as it stands in the log.
func EncodeCommand(c cluster.Command) []byte {
	b, err := encoding.Marshal(c)
	if err != nil {
		panic(err) // no field of a command can fail
	}
	return b
}

// Apply does the log's entry: cluster.ErrFenced where By is not held by that epoch, ErrUnreadable where it
// can't be decoded or is for no part, else what the part says. With an error nothing was changed.
func (m *Machine) Apply(index uint64, raw []byte) ([]byte, error) {
	var c cluster.Command
	if err := decoding.Unmarshal(raw, &c); err != nil {
		return nil, fmt.Errorf("log's entry %d: %w: %w", index, ErrUnreadable, err)
	}
	part := m.parts[c.Component]
	if part == nil {
		return nil, fmt.Errorf("log's entry %d is for part %q, not known: %w", index, c.Component, ErrUnreadable)
	}
	if c.FencedBy == "" && c.Epoch != 0 || c.FencedBy != "" && !m.book.IsCurrent(c.FencedBy, c.Epoch) {
		return nil, cluster.ErrFenced
	}
	answer, err := part.Apply(index, c.Body)
	if err == nil {
		m.versions[c.Component] = index
	}
	return answer, err
}

// ComponentVersion is the index of the last entry that a part took; 0: none.
func (m *Machine) ComponentVersion(part byte) uint64 { return m.versions[part] }

// ComponentSnapshot is the snapshot of one part; ErrUnreadable where it is not known.
func (m *Machine) ComponentSnapshot(part byte) ([]byte, error) {
	p := m.parts[part]
	if p == nil {
		return nil, fmt.Errorf("part %q is not known: %w", part, ErrUnreadable)
	}
	return p.Snapshot()
}

type machineImage struct {
	Format     int              `cbor:"1,keyasint"`
	Components []componentImage `cbor:"2,keyasint"`
}

type componentImage struct {
	Component byte   `cbor:"1,keyasint"`
	Version   uint64 `cbor:"2,keyasint"`
	Bytes     []byte `cbor:"3,keyasint"`
}

// Snapshot is the whole machine, the same bytes on each keeper.
func (m *Machine) Snapshot() ([]byte, error) {
	whole := machineImage{Format: snapshotFormat}
	for _, letter := range slices.Sorted(maps.Keys(m.parts)) {
		b, err := m.parts[letter].Snapshot()
		if err != nil {
			return nil, fmt.Errorf("part %q: %w", letter, err)
		}
		whole.Components = append(whole.Components, componentImage{letter, m.versions[letter], b})
	}
	return encoding.Marshal(whole)
}
