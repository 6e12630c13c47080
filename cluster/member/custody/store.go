// Package custody persists which member has custody of a webhook, that is, which member is responsible for delivering
// it. There is one record for each webhook that this member has offered to another member or has been offered. The
// records are in a journal of their own, apart from the journal of the webhooks. A record is written before the member
// sends a reply that depends on it, so that each webhook has exactly one custodian even if messages are lost or
// processes end.
//
// A webhook is in doubt while this member has offered it and doesn't know whether the other member has accepted it;
// until that is known, nobody here calls its destination. The rules of the protocol are those of shardmap.CustodyTable.
package custody

import (
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"sync"

	"github.com/cespare/xxhash/v2"

	"rowanlink/cluster/shardmap"
	"rowanlink/cluster/transport"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
	"rowanlink/webhook/dispatcher/wal"
)

// Store keeps the custody records of one member, in memory and in a journal. Its methods may be called concurrently.
type Store struct {
	// Incarnation identifies the directory: a directory that replaces a lost one has another incarnation. It is never 0.
	Incarnation uint64

	mu          sync.Mutex
	table       *shardmap.CustodyTable
	journal     *wal.Log
	entryIDs    map[shardmap.WebhookID]api.WebhookID // ID of the journal entry that holds the webhook's record
	lastEntryID api.WebhookID
	retention   api.Micros // how long a record is kept after its webhook's TTL; also the interval of expireRecords
	lastExpiry  api.Micros // time of the last expireRecords
}

// IDOf returns the ID by which the custody records of all members identify a webhook. It is derived from the request
// ID, which is never used twice.
func IDOf(id inflight.RequestID) shardmap.WebhookID {
	return shardmap.WebhookID{
		Incarnation: xxhash.Sum64String(string(id)),
		LocalID:     xxhash.Sum64String("name " + string(id)),
	}
}

// Open reads the records that an earlier process left in a directory, which is created if it does not exist. isPending
// reports whether the dispatcher has recovered a webhook from its own journal. Records are kept for retention after
// their webhook's TTL. diskMB bounds the journal's size on disk.
func Open(dir string, diskMB float64, retention api.Micros, isPending func(shardmap.WebhookID) bool) (*Store, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	incarnation, err := readIncarnation(filepath.Join(dir, incarnationFile))
	if err != nil {
		return nil, err
	}
	journal, err := wal.Open(dir, diskMB)
	if err != nil {
		return nil, err
	}
	s := &Store{
		Incarnation: incarnation,
		journal:     journal,
		entryIDs:    map[shardmap.WebhookID]api.WebhookID{},
		retention:   retention,
	}
	latest, err := s.readEntries()
	if err != nil {
		_ = journal.Close() // the earlier error is returned
		return nil, err
	}
	records := make([]shardmap.CustodyRecord, 0, len(latest))
	before := make([]RecordSnapshot, 0, len(latest))
	for id, record := range latest {
		records = append(records, record)
		before = append(before, RecordSnapshot{ID: id, Record: record, Exists: true})
	}
	s.table = shardmap.NewCustodyTable(records, isPending)
	// NewCustodyTable has adapted the records to the webhooks that are pending now. The result is written at once: a later
	// process, with other webhooks pending, might derive different records.
	if err := s.writeChanges(before); err != nil {
		_ = journal.Close() // the earlier error is returned
		return nil, err
	}
	return s, nil
}

// readEntries returns the latest record of each webhook in the journal.
func (s *Store) readEntries() (map[shardmap.WebhookID]shardmap.CustodyRecord, error) {
	latest := map[shardmap.WebhookID]shardmap.CustodyRecord{}
	for _, entry := range s.journal.Entries() {
		var record shardmap.CustodyRecord
		if err := transport.Decode(entry.Payload, &record); err != nil {
			return nil, fmt.Errorf("record %d: %w", entry.ID, err)
		}
		if earlier, found := s.entryIDs[record.ID]; found {
			// The process ended after it had written the later entry and before it had finished the earlier one.
			s.journal.Finish(earlier, nil)
		}
		latest[record.ID] = record
		s.entryIDs[record.ID] = entry.ID
		s.lastEntryID = max(s.lastEntryID, entry.ID)
	}
	return latest, nil
}

// RecordSnapshot is the custody record of a webhook at one time, to be restored by CustodyTable.Rollback.
type RecordSnapshot struct {
	ID     shardmap.WebhookID
	Record shardmap.CustodyRecord
	Exists bool // the webhook had a record
}

// SnapshotRecord returns the current record of a webhook. The table must be locked: outside this package it may be
// called only within the function that is passed to Update or UpdateInMemory.
func (s *Store) SnapshotRecord(id shardmap.WebhookID) RecordSnapshot {
	record, known := s.table.Lookup(id)
	return RecordSnapshot{ID: id, Record: record, Exists: known}
}

// Update calls the function change with the table locked. Before Update returns, it writes the records that the
// function has modified. If writing fails, Update restores the records and returns the error. The function may only
// modify the records of the webhooks in ids.
func (s *Store) Update(ids []shardmap.WebhookID, change func(*shardmap.CustodyTable)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireRecords()
	before := make([]RecordSnapshot, 0, len(ids))
	for _, id := range ids {
		before = append(before, s.SnapshotRecord(id))
	}
	change(s.table)
	err := s.writeChanges(before)
	if err != nil {
		for _, snapshot := range before {
			s.table.Rollback(snapshot.ID, snapshot.Record, snapshot.Exists)
		}
		slog.Error("custody records not written", "webhooks", len(ids), "error", err)
	}
	return err
}

// UpdateInMemory calls change with the table locked and does not write the records. It is for modifications that follow
// from another member's reply: if they are lost in a restart, that member is queried again and its reply leads to the
// same modification.
func (s *Store) UpdateInMemory(change func(*shardmap.CustodyTable)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.table)
}

// writeChanges writes the records that differ from their snapshots. The caller holds the lock.
func (s *Store) writeChanges(before []RecordSnapshot) error {
	written := map[shardmap.WebhookID]api.WebhookID{}
	var removed []shardmap.WebhookID
	var err error
	for _, snapshot := range before {
		record, known := s.table.Lookup(snapshot.ID)
		if record == snapshot.Record && known == snapshot.Exists {
			continue
		}
		if !known {
			removed = append(removed, snapshot.ID)
			continue
		}
		s.lastEntryID++
		if err = s.journal.Accept(s.lastEntryID, transport.Encode(record)); err != nil {
			break
		}
		written[snapshot.ID] = s.lastEntryID
	}
	if err == nil {
		err = s.journal.Commit()
	}
	if err != nil {
		for _, entryID := range written { // the earlier entries stay valid
			s.journal.Undo(entryID)
		}
		return err
	}
	for id, entryID := range written {
		s.endEntry(id) // the end reaches the disk with the next commit: until then readEntries prefers the later entry
		s.entryIDs[id] = entryID
	}
	for _, id := range removed {
		s.endEntry(id)
	}
	return nil
}

// endEntry finishes the journal entry that holds a webhook's record. The caller holds the lock.
func (s *Store) endEntry(id shardmap.WebhookID) {
	if entryID, found := s.entryIDs[id]; found {
		s.journal.Finish(entryID, nil)
		delete(s.entryIDs, id)
	}
}

// IsInDoubt reports whether a webhook that is pending here was offered to another member with an unknown outcome, so
// that the other member may have it.
func (s *Store) IsInDoubt(id inflight.RequestID) bool {
	_, _, offered := s.OutstandingOffer(IDOf(id))
	return offered
}

// OutstandingOffer returns the offer of a webhook whose outcome is not known, and its hand-off number. It returns false
// if there is no such offer.
func (s *Store) OutstandingOffer(id shardmap.WebhookID) (shardmap.Offer, shardmap.HandoffNumber, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.OutstandingOffer(id)
}

// IsArriving reports whether a webhook is being accepted from another member: its custody record is written, but it is
// not yet confirmed to be in the webhook journal.
func (s *Store) IsArriving(id shardmap.WebhookID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	record, _ := s.table.Lookup(id)
	return record.Arriving
}

// NextHandoff returns the hand-off number of the next offer of a webhook.
func (s *Store) NextHandoff(id shardmap.WebhookID) shardmap.HandoffNumber {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.NextHandoff(id)
}

// CountOutstandingOffers counts the offers by a move whose outcome is not known.
func (s *Store) CountOutstandingOffers(move shardmap.MoveID) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.CountOffersOfMove(move)
}

// expireRecords removes the records that no message can refer to any more. It does so at most once per retention. The
// caller holds the lock.
func (s *Store) expireRecords() {
	now := inflight.Now()
	if now-s.lastExpiry < s.retention {
		return
	}
	s.lastExpiry = now
	s.table.Expire(now, s.retention)
	for id := range s.entryIDs {
		if _, known := s.table.Lookup(id); !known {
			s.endEntry(id)
		}
	}
}

// Close closes the journal. The directory and its records remain for the next Open.
func (s *Store) Close() error { return s.journal.Close() }
