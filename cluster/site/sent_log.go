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

// sentRecord says of one delivery that it may be at a relay. It is kept from before its first byte leaves until
// its end is known, in a journal beside that of webhooks.
type sentRecord struct {
	Site                cluster.SiteID     `cbor:"1,keyasint"`
	RequestID           inflight.RequestID `cbor:"2,keyasint"`
	ReceiverIncarnation uint64             `cbor:"3,keyasint"` // of the relay's folder
	SentAt              api.Micros         `cbor:"4,keyasint"` // when it was sent first
	Epoch               cluster.Epoch      `cbor:"5,keyasint"` // by which it was
	Relay               cluster.MemberID   `cbor:"7,keyasint"`
	MayHaveRunBefore    bool               `cbor:"6,keyasint"` // it may have run before, here or at another owner
}

func (m sentRecord) isFor(s config.Site) bool { return m.Site == s.ID && m.Relay == s.Relay }

type sentLog struct {
	mu         sync.Mutex
	journal    *wal.Log
	records    map[inflight.RequestID]sentRecord
	recordIDs  map[inflight.RequestID]api.WebhookID // the record of each
	lastRecord api.WebhookID
}

// openSentLog reads what an earlier life noted.
func openSentLog(dir string, diskMB float64) (*sentLog, error) {
	kept, err := openJournal(dir, diskMB)
	if err != nil {
		return nil, err
	}
	m := &sentLog{journal: kept, records: map[inflight.RequestID]sentRecord{}, recordIDs: map[inflight.RequestID]api.WebhookID{}}
	for _, e := range kept.Entries() {
		var one sentRecord
		if err := transport.Decode(e.Payload, &one); err != nil {
			return nil, fmt.Errorf("what was sent to relays: record %d: %w", e.ID, err)
		}
		if was, known := m.recordIDs[one.RequestID]; known { // its successor was written, and it was not ended yet
			kept.Finish(was, nil)
		}
		m.records[one.RequestID], m.recordIDs[one.RequestID], m.lastRecord = one, e.ID, max(m.lastRecord, e.ID)
	}
	return m, nil
}

func openJournal(dir string, diskMB float64) (*wal.Log, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	return wal.Open(dir, diskMB)
}

// add keeps marks in one write. After an error none of them is kept.
func (m *sentLog) add(all []sentRecord) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	began, err := m.lastRecord, error(nil)
	for _, one := range all {
		m.lastRecord++
		if err = m.journal.Accept(m.lastRecord, transport.Encode(one)); err != nil {
			break
		}
	}
	if err == nil {
		err = m.journal.Commit()
	}
	if err != nil {
		for id := began + 1; id <= m.lastRecord; id++ {
			m.journal.Undo(id)
		}
		return err
	}
	for i, one := range all {
		if was, known := m.recordIDs[one.RequestID]; known {
			m.journal.Finish(was, nil)
		}
		m.records[one.RequestID], m.recordIDs[one.RequestID] = one, began+1+api.WebhookID(i)
	}
	return nil
}

// remove forgets marks. It need not be on the disk at once: one too many is settled by the relay's word
// again.
func (m *sentLog) remove(ids ...inflight.RequestID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range ids {
		if at, known := m.recordIDs[id]; known {
			m.journal.Finish(at, nil)
			delete(m.recordIDs, id)
			delete(m.records, id)
		}
	}
}

func (m *sentLog) get(id inflight.RequestID) (sentRecord, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	one, known := m.records[id]
	return one, known
}

// forSite lists what was sent to a site's relay.
func (m *sentLog) forSite(s config.Site) (all []sentRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, one := range m.records {
		if one.isFor(s) {
			all = append(all, one)
		}
	}
	return all
}

func (m *sentLog) close() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.journal.Commit()
	return m.journal.Close()
}
