package lease

import (
	"fmt"
	"maps"
	"slices"

	"rowanlink/cluster"
)

// tableFormat rises when an older program could no longer read a snapshot.
const tableFormat = 1

type tableImage struct {
	Format      int            `cbor:"1,keyasint"`
	Last        uint64         `cbor:"2,keyasint"`
	Sessions    []sessionImage `cbor:"3,keyasint"`
	Resources   []leaseImage   `cbor:"4,keyasint"`
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

// Snapshot is the whole book, the same bytes on each keeper.
func (b *Table) Snapshot() ([]byte, error) {
	image := tableImage{Format: tableFormat, Last: b.last, LeaderEpoch: b.reign}
	for _, s := range b.Sessions() {
		who := b.sessions[s].opener
		image.Sessions = append(image.Sessions, sessionImage{s, who.member, who.incarnation})
	}
	for _, t := range slices.Sorted(maps.Keys(b.tasks)) {
		image.Resources = append(image.Resources, leaseImage{t, b.tasks[t].epoch, b.tasks[t].session})
	}
	return encoding.Marshal(image)
}

// Restore puts a snapshot in the book's place. One that can't be read, is of a newer program or contradicts
// itself leaves the book as it was.
func (b *Table) Restore(snapshot []byte) error {
	var image tableImage
	if err := decoding.Unmarshal(snapshot, &image); err != nil {
		return fmt.Errorf("snapshot of leases: %w: %w", ErrUnreadable, err)
	}
	if image.Format != tableFormat {
		return fmt.Errorf("snapshot of leases: format %d, this program reads %d: %w",
			image.Format, tableFormat, ErrUnreadable)
	}
	n := NewTable()
	n.last, n.reign = image.Last, image.LeaderEpoch
	if uint64(n.reign) > n.last {
		return fmt.Errorf("snapshot of leases: reign %d: %w", n.reign, ErrUnreadable)
	}
	for _, s := range image.Sessions {
		who := opener{s.Member, s.Incarnation}
		if s.Session == 0 || uint64(s.Session) > n.last || s.Member == "" ||
			n.sessions[s.Session] != nil || n.opened[who] != 0 {
			return fmt.Errorf("snapshot of leases: session %d of %q: %w", s.Session, s.Member, ErrUnreadable)
		}
		n.opened[who], n.sessions[s.Session] = s.Session, &session{who, map[cluster.Resource]struct{}{}}
	}
	for _, t := range image.Resources {
		held, twice := n.sessions[t.Session], n.tasks[t.Resource].epoch != 0
		if twice || t.Resource == "" || t.Epoch == 0 || uint64(t.Epoch) > n.last || held == nil && t.Session != 0 {
			return fmt.Errorf("snapshot of leases: task %q: %w", t.Resource, ErrUnreadable)
		}
		if n.tasks[t.Resource] = (leaseState{t.Session, t.Epoch}); held != nil {
			held.tasks[t.Resource] = struct{}{}
		}
	}
	*b = *n
	return nil
}
