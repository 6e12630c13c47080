package site

import (
	"fmt"
	"sync"

	"rowanlink/cluster"
	"rowanlink/cluster/config"
	"rowanlink/cluster/transport"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// sentRecord records that a delivery may be at a relay. It is stored before the first byte of the delivery is sent and
// kept until the result is known, in a journal separate from that of webhooks.
type sentRecord struct {
	Site                cluster.SiteID     `cbor:"1,keyasint"`
	RequestID           inflight.RequestID `cbor:"2,keyasint"`
	ReceiverIncarnation uint64             `cbor:"3,keyasint"` // identifies the relay's folder
	SentAt              api.Micros         `cbor:"4,keyasint"` // when it was first sent
	Epoch               cluster.Epoch      `cbor:"5,keyasint"` // of the lease under which it was sent
	Relay               cluster.MemberID   `cbor:"7,keyasint"`
	MayHaveRunBefore    bool               `cbor:"6,keyasint"` // at this or another origin, before it was sent
}

func (r sentRecord) isFor(s config.Site) bool { return r.Site == s.ID && r.Relay == s.Relay }

// sentLog stores the sentRecords of all sites. It is safe for concurrent use.
type sentLog struct {
	mu        sync.Mutex
	journal   *recordJournal
	records   map[inflight.RequestID]sentRecord
	recordIDs map[inflight.RequestID]api.WebhookID // in the journal
}

// openSentLog opens the log and reads the records of an earlier process.
func openSentLog(dir string, diskMB float64) (*sentLog, error) {
	journal, err := openJournal(dir, diskMB)
	if err != nil {
		return nil, err
	}
	l := &sentLog{
		journal:   journal,
		records:   map[inflight.RequestID]sentRecord{},
		recordIDs: map[inflight.RequestID]api.WebhookID{},
	}
	for _, e := range journal.Entries() {
		var r sentRecord
		if err := transport.Decode(e.Payload, &r); err != nil {
			return nil, fmt.Errorf("sent log: record %d: %w", e.ID, err)
		}
		if previous, known := l.recordIDs[r.RequestID]; known { // replaced by this record, but not removed yet
			journal.Finish(previous, nil)
		}
		l.records[r.RequestID] = r
		l.recordIDs[r.RequestID] = e.ID
	}
	return l, nil
}

// add stores records in one write. If it returns an error, no record is stored.
func (l *sentLog) add(records []sentRecord) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	encoded := make([][]byte, len(records))
	for i, r := range records {
		encoded[i] = transport.Encode(r)
	}
	first, err := l.journal.append(encoded)
	if err != nil {
		return err
	}
	for i, r := range records {
		if previous, known := l.recordIDs[r.RequestID]; known {
			l.journal.Finish(previous, nil)
		}
		l.records[r.RequestID] = r
		l.recordIDs[r.RequestID] = first + api.WebhookID(i)
	}
	return nil
}

// remove removes records. It does not wait until the removal is on disk: a superfluous record only costs a request to
// the relay.
func (l *sentLog) remove(ids ...inflight.RequestID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range ids {
		if recordID, known := l.recordIDs[id]; known {
			l.journal.Finish(recordID, nil)
			delete(l.recordIDs, id)
			delete(l.records, id)
		}
	}
}

func (l *sentLog) get(id inflight.RequestID) (sentRecord, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, known := l.records[id]
	return r, known
}

// forSite returns the records of what was sent to a site's relay.
func (l *sentLog) forSite(s config.Site) (records []sentRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.records {
		if r.isFor(s) {
			records = append(records, r)
		}
	}
	return records
}

func (l *sentLog) close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.journal.Commit() // an error only loses removals; see remove
	return l.journal.Close()
}
