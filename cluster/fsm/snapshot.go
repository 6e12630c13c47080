package fsm

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"rowanlink/cluster"
)

// snapshotFormat is the version of the snapshot format. It is raised when older programs can no longer read a
// snapshot.
const snapshotFormat = 1

type machineImage struct {
	Format     int              `cbor:"1,keyasint"`
	Components []componentImage `cbor:"2,keyasint"`
}

type componentImage struct {
	Component cluster.ComponentID `cbor:"1,keyasint"`
	Version   uint64              `cbor:"2,keyasint"`
	Snapshot  []byte              `cbor:"3,keyasint"`
}

// Snapshot encodes the whole machine. The bytes are the same on each raft node.
func (m *Machine) Snapshot() ([]byte, error) {
	image := machineImage{Format: snapshotFormat}
	for _, id := range slices.Sorted(maps.Keys(m.components)) {
		snapshot, err := m.components[id].Snapshot()
		if err != nil {
			return nil, fmt.Errorf("component %q: %w", id, err)
		}
		image.Components = append(image.Components, componentImage{
			Component: id,
			Version:   m.versions[id],
			Snapshot:  snapshot,
		})
	}
	return codec.Marshal(image)
}

// Restore replaces the machine's state by a snapshot. Components that the snapshot lacks get their initial state.
// Restore rejects a snapshot that has another format or an unknown component. If a component rejects its part, the
// components that were restored before it are rolled back.
func (m *Machine) Restore(snapshot []byte) error {
	var image machineImage
	if err := codec.Unmarshal(snapshot, &image); err != nil {
		return fmt.Errorf("snapshot: %w: %w", ErrUnreadable, err)
	}
	if image.Format != snapshotFormat {
		return fmt.Errorf("snapshot: format %d, this program reads %d: %w",
			image.Format, snapshotFormat, ErrUnreadable)
	}
	states := maps.Clone(m.initial)
	versions := map[cluster.ComponentID]uint64{}
	for _, c := range image.Components {
		if _, duplicate := versions[c.Component]; duplicate || m.components[c.Component] == nil {
			return fmt.Errorf("snapshot: unknown or duplicate component %q: %w", c.Component, ErrUnreadable)
		}
		states[c.Component] = c.Snapshot
		versions[c.Component] = c.Version
	}
	if err := m.restoreComponents(states); err != nil {
		return err
	}
	m.versions = versions
	return nil
}

func (m *Machine) restoreComponents(states map[cluster.ComponentID][]byte) error {
	previous := map[cluster.ComponentID][]byte{} // of the components restored so far
	for _, id := range slices.Sorted(maps.Keys(states)) {
		component := m.components[id]
		before, err := component.Snapshot()
		if err == nil {
			err = component.Restore(states[id])
		}
		if err != nil {
			err = fmt.Errorf("snapshot: component %q: %w", id, err)
			return errors.Join(err, m.rollBack(previous))
		}
		previous[id] = before
	}
	return nil
}

func (m *Machine) rollBack(previous map[cluster.ComponentID][]byte) (err error) {
	for id, before := range previous {
		err = errors.Join(err, m.components[id].Restore(before))
	}
	return err
}
