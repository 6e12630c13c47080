package lease

import (
	"fmt"
	"maps"
	"slices"

	"rowanlink/cluster"
)

// tableFormat is the version of the snapshot format. It is raised when older programs can no longer read a snapshot.
const tableFormat = 1

type tableImage struct {
	Format      int            `cbor:"1,keyasint"`
	LastID      uint64         `cbor:"2,keyasint"`
	Sessions    []sessionImage `cbor:"3,keyasint"`
	Leases      []leaseImage   `cbor:"4,keyasint"`
	LeaderEpoch LeaderEpoch    `cbor:"5,keyasint"`
}

type sessionImage struct {
	Session     cluster.SessionID `cbor:"1,keyasint"`
	Member      cluster.MemberID  `cbor:"2,keyasint"`
	Incarnation Incarnation       `cbor:"3,keyasint"`
}

type leaseImage struct {
	Resource cluster.Resource  `cbor:"1,keyasint"`
	Epoch    cluster.Epoch     `cbor:"2,keyasint"`
	Session  cluster.SessionID `cbor:"3,keyasint,omitempty"`
}

// Snapshot encodes the table. The bytes are the same on each raft node.
func (t *Table) Snapshot() ([]byte, error) {
	image := tableImage{Format: tableFormat, LastID: t.lastID, LeaderEpoch: t.leaderEpoch}
	for _, id := range t.Sessions() {
		owner := t.sessions[id].sessionOwner
		image.Sessions = append(image.Sessions, sessionImage{
			Session:     id,
			Member:      owner.member,
			Incarnation: owner.incarnation,
		})
	}
	for _, resource := range slices.Sorted(maps.Keys(t.leases)) {
		state := t.leases[resource]
		image.Leases = append(image.Leases, leaseImage{
			Resource: resource,
			Epoch:    state.epoch,
			Session:  state.session,
		})
	}
	return codec.Marshal(image)
}

// Restore replaces the table by a snapshot. It returns ErrUnreadable, and leaves the table unchanged, if the snapshot
// can't be decoded, has a newer format or is inconsistent.
func (t *Table) Restore(snapshot []byte) error {
	var image tableImage
	if err := codec.Unmarshal(snapshot, &image); err != nil {
		return fmt.Errorf("snapshot of leases: %w: %w", ErrUnreadable, err)
	}
	if image.Format != tableFormat {
		return fmt.Errorf("snapshot of leases: format %d, this program reads %d: %w",
			image.Format, tableFormat, ErrUnreadable)
	}
	restored := NewTable()
	restored.lastID = image.LastID
	restored.leaderEpoch = image.LeaderEpoch
	if uint64(restored.leaderEpoch) > restored.lastID {
		return fmt.Errorf("snapshot of leases: leader epoch %d: %w", restored.leaderEpoch, ErrUnreadable)
	}
	for _, s := range image.Sessions {
		if !restored.restoreSession(s) {
			return fmt.Errorf("snapshot of leases: session %d of %q: %w", s.Session, s.Member, ErrUnreadable)
		}
	}
	for _, l := range image.Leases {
		if !restored.restoreLease(l) {
			return fmt.Errorf("snapshot of leases: resource %q: %w", l.Resource, ErrUnreadable)
		}
	}
	*t = *restored
	return nil
}

// restoreSession adds a session of a snapshot and reports whether it is valid and new.
func (t *Table) restoreSession(s sessionImage) bool {
	owner := sessionOwner{member: s.Member, incarnation: s.Incarnation}
	if s.Session == 0 || uint64(s.Session) > t.lastID || s.Member == "" {
		return false
	}
	if t.sessions[s.Session] != nil || t.openSessions[owner] != 0 {
		return false
	}
	t.openSessions[owner] = s.Session
	t.sessions[s.Session] = newSession(owner)
	return true
}

// restoreLease adds a lease of a snapshot, after all sessions, and reports whether it is valid and new.
func (t *Table) restoreLease(l leaseImage) bool {
	holder := t.sessions[l.Session]
	isDuplicate := t.leases[l.Resource].epoch != 0
	if isDuplicate || l.Resource == "" || l.Epoch == 0 || uint64(l.Epoch) > t.lastID {
		return false
	}
	if holder == nil && l.Session != 0 {
		return false
	}
	t.leases[l.Resource] = leaseState{session: l.Session, epoch: l.Epoch}
	if holder != nil {
		holder.resources[l.Resource] = struct{}{}
	}
	return true
}
