// Package fsm is the replicated state machine (Schneider, Implementing fault-tolerant services using the state
// machine approach, 1990). It consists of components: it checks the fencing token of each command, passes the command
// to its component, and combines the snapshots of the components.
package fsm

import (
	"fmt"
	"maps"

	"rowanlink/cluster"
	"rowanlink/cluster/lease"
	"rowanlink/internal/strictcbor"
)

// Machine is the replicated state. It is not safe for concurrent use: the raft node locks it.
type Machine struct {
	leases     *lease.Table
	components map[cluster.ComponentID]cluster.Component
	versions   map[cluster.ComponentID]uint64 // see ComponentVersion
	initial    map[cluster.ComponentID][]byte // each component's initial snapshot, used if a snapshot lacks the component
}

// codec encodes and decodes entries and snapshots.
var codec = strictcbor.New(strictcbor.Options{RejectUnknownFields: true})

// New returns a machine with the lease table, as cluster.LeaseComponent, and the other components.
func New(leases *lease.Table, others map[cluster.ComponentID]cluster.Component) *Machine {
	m := &Machine{
		leases:     leases,
		components: map[cluster.ComponentID]cluster.Component{},
		versions:   map[cluster.ComponentID]uint64{},
		initial:    map[cluster.ComponentID][]byte{},
	}
	maps.Copy(m.components, others)
	m.components[cluster.LeaseComponent] = leases
	for id, component := range m.components {
		// An error leaves this state empty; the component's Restore then rejects it.
		m.initial[id], _ = component.Snapshot()
	}
	return m
}

// EncodeCommand encodes a command as a log entry.
func EncodeCommand(c cluster.Command) []byte {
	b, err := codec.Marshal(c)
	if err != nil {
		panic(err) // every command can be encoded
	}
	return b
}

// Apply executes the log entry with the given index and returns the component's result. If it returns an error,
// nothing has changed:
//   - cluster.ErrFenced: the lease on FencedBy is not held with the epoch of the command.
//   - ErrUnreadable: the entry can't be decoded or its component is unknown.
//   - Other errors are the component's own.
func (m *Machine) Apply(index uint64, entry []byte) ([]byte, error) {
	var c cluster.Command
	if err := codec.Unmarshal(entry, &c); err != nil {
		return nil, fmt.Errorf("log entry %d: %w: %w", index, ErrUnreadable, err)
	}
	component := m.components[c.Component]
	if component == nil {
		return nil, fmt.Errorf("log entry %d: unknown component %q: %w", index, c.Component, ErrUnreadable)
	}
	if !m.passesFence(c) {
		return nil, cluster.ErrFenced
	}
	result, err := component.Apply(index, c.Body)
	if err == nil {
		m.versions[c.Component] = index
	}
	return result, err
}

func (m *Machine) passesFence(c cluster.Command) bool {
	if c.FencedBy == "" {
		return c.Epoch == 0
	}
	return m.leases.IsCurrent(c.FencedBy, c.Epoch)
}

// ComponentVersion returns the index of the last entry that a component executed without error; 0: none.
func (m *Machine) ComponentVersion(id cluster.ComponentID) uint64 { return m.versions[id] }

// ComponentSnapshot returns the snapshot of one component; ErrUnreadable if it is unknown.
func (m *Machine) ComponentSnapshot(id cluster.ComponentID) ([]byte, error) {
	component := m.components[id]
	if component == nil {
		return nil, fmt.Errorf("unknown component %q: %w", id, ErrUnreadable)
	}
	return component.Snapshot()
}
