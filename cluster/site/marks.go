package site

import (
	"fmt"
	"os"
	"sync"

	"rowanlink/cluster"
	"rowanlink/cluster/config"
	"rowanlink/cluster/transport"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
	"rowanlink/webhook/dispatcher/wal"
)

// mark says of one delivery that it may be at a relay. It is kept from before its first byte leaves until
// its end is known, in a journal beside that of webhooks.
type mark struct {
	Site  cluster.SiteID     `cbor:"1,keyasint"`
	ID    inflight.RequestID `cbor:"2,keyasint"`
	Life  uint64             `cbor:"3,keyasint"` // of the relay's folder
	At    api.Micros         `cbor:"4,keyasint"` // when it was sent first
	Epoch cluster.Epoch      `cbor:"5,keyasint"` // by which it was
	Relay cluster.MemberID   `cbor:"7,keyasint"`
	Ran   bool               `cbor:"6,keyasint"` // it may have run before, here or at another owner
}

func (m mark) by(s config.Site) bool { return m.Site == s.ID && m.Relay == s.Relay }

type marks struct {
	mu   sync.Mutex
	kept *wal.Log
	of   map[inflight.RequestID]mark
	at   map[inflight.RequestID]api.WebhookID // the record of each
	last api.WebhookID
}

// openMarks reads what an earlier life noted.
func openMarks(dir string, diskMB float64) (*marks, error) {
	kept, err := openJournal(dir, diskMB)
	if err != nil {
		return nil, err
	}
	m := &marks{kept: kept, of: map[inflight.RequestID]mark{}, at: map[inflight.RequestID]api.WebhookID{}}
	for _, e := range kept.Entries() {
		var one mark
		if err := transport.Decode(e.Payload, &one); err != nil {
			return nil, fmt.Errorf("what was sent to relays: record %d: %w", e.ID, err)
		}
		if was, known := m.at[one.ID]; known { // its successor was written, and it was not ended yet
			kept.Finish(was, nil)
		}
		m.of[one.ID], m.at[one.ID], m.last = one, e.ID, max(m.last, e.ID)
	}
	return m, nil
}

func openJournal(dir string, diskMB float64) (*wal.Log, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	return wal.Open(dir, diskMB)
}

// put keeps marks in one write. After an error none of them is kept.
func (m *marks) put(all []mark) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	began, err := m.last, error(nil)
	for _, one := range all {
		m.last++
		if err = m.kept.Accept(m.last, transport.Encode(one)); err != nil {
			break
		}
	}
	if err == nil {
		err = m.kept.Commit()
	}
	if err != nil {
		for id := began + 1; id <= m.last; id++ {
			m.kept.Undo(id)
		}
		return err
	}
	for i, one := range all {
		if was, known := m.at[one.ID]; known {
			m.kept.Finish(was, nil)
		}
		m.of[one.ID], m.at[one.ID] = one, began+1+api.WebhookID(i)
	}
	return nil
}

// drop forgets marks. It need not be on the disk at once: one too many is settled by the relay's word
// again.
func (m *marks) drop(ids ...inflight.RequestID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range ids {
		if at, known := m.at[id]; known {
			m.kept.Finish(at, nil)
			delete(m.at, id)
			delete(m.of, id)
		}
	}
}

func (m *marks) get(id inflight.RequestID) (mark, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	one, known := m.of[id]
	return one, known
}

// all lists what was sent to a site's relay.
func (m *marks) all(s config.Site) (all []mark) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, one := range m.of {
		if one.by(s) {
			all = append(all, one)
		}
	}
	return all
}

func (m *marks) close() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.kept.Commit()
	return m.kept.Close()
}
