// Package custody stores which member has custody of which webhook: for each webhook that was offered to or by another
// member, a record in a journal of its own. A record is written before a member answers by it, so that each webhook has
// one custodian whatever messages or processes are lost. The rules are those of shardmap.CustodyTable.
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
	// Incarnation identifies the folder: one that replaces a lost folder has another. It is never 0.
	Incarnation uint64

	mu          sync.Mutex
	table       *shardmap.CustodyTable
	journal     *wal.Log
	entryIDs    map[shardmap.WebhookID]api.WebhookID // the journal's entry with each record
	lastEntryID api.WebhookID
	retention   api.Micros // for which records outlast what they name, and the time between two expiries
	lastExpiry  api.Micros
}

// IDOf returns the ID of a webhook in all members' custody records. Request IDs are never used twice.
func IDOf(id inflight.RequestID) shardmap.WebhookID {
	return shardmap.WebhookID{
		Incarnation: xxhash.Sum64String(string(id)),
		LocalID:     xxhash.Sum64String("name " + string(id)),
	}
}

// Open reads the records that an earlier process left in a folder, which is created if it does not exist. isPending reports which
// webhooks the dispatcher has recovered from its journal. Records outlast the TTL of what they name by retention.
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
		_ = journal.Close() // the first error counts
		return nil, err
	}
	records := make([]shardmap.CustodyRecord, 0, len(latest))
	before := make([]SavedRecord, 0, len(latest))
	for name, record := range latest {
		records = append(records, record)
		before = append(before, SavedRecord{Name: name, Record: record, Known: true})
	}
	s.table = shardmap.NewCustodyTable(records, isPending)
	// The recovered records are written at once: a later process, with other webhooks pending, might recover others.
	if err := s.writeChanges(before); err != nil {
		_ = journal.Close() // the first error counts
		return nil, err
	}
	return s, nil
}

// readEntries returns the last record of each name in the journal.
func (s *Store) readEntries() (map[shardmap.WebhookID]shardmap.CustodyRecord, error) {
	latest := map[shardmap.WebhookID]shardmap.CustodyRecord{}
	for _, entry := range s.journal.Entries() {
		var record shardmap.CustodyRecord
		if err := transport.Decode(entry.Payload, &record); err != nil {
			return nil, fmt.Errorf("record %d: %w", entry.ID, err)
		}
		if earlier, found := s.entryIDs[record.ID]; found {
			// The process ended between the later entry and the end of the earlier one.
			s.journal.Finish(earlier, nil)
		}
		latest[record.ID] = record
		s.entryIDs[record.ID] = entry.ID
		s.lastEntryID = max(s.lastEntryID, entry.ID)
	}
	return latest, nil
}

// SavedRecord is a saved record, which CustodyTable.Rollback can restore.
type SavedRecord struct {
	Name   shardmap.WebhookID
	Record shardmap.CustodyRecord
	Known  bool // there was a record
}

// SaveRecord returns a name's record as it is now. Only functions that Update or UpdateUnsynced call may call it.
func (s *Store) SaveRecord(name shardmap.WebhookID) SavedRecord {
	record, known := s.table.Lookup(name)
	return SavedRecord{Name: name, Record: record, Known: known}
}

// Update calls change with the table locked, and writes the records of the names that it changed before it returns.
// If that fails it restores the records and returns the error. change may only touch records of these names.
func (s *Store) Update(names []shardmap.WebhookID, change func(*shardmap.CustodyTable)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireRecords()
	before := make([]SavedRecord, 0, len(names))
	for _, name := range names {
		before = append(before, s.SaveRecord(name))
	}
	change(s.table)
	err := s.writeChanges(before)
	if err != nil {
		for _, saved := range before {
			s.table.Rollback(saved.Name, saved.Record, saved.Known)
		}
		slog.Error("custody records not written", "webhooks", len(names), "error", err)
	}
	return err
}

// UpdateUnsynced calls change with the table locked, without writing the records: after a restart, another member's
// reply leads to the same change.
func (s *Store) UpdateUnsynced(change func(*shardmap.CustodyTable)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.table)
}

// writeChanges writes the records that differ from the saved ones. The caller holds the lock.
func (s *Store) writeChanges(before []SavedRecord) error {
	written := map[shardmap.WebhookID]api.WebhookID{}
	var removed []shardmap.WebhookID
	var err error
	for _, saved := range before {
		record, known := s.table.Lookup(saved.Name)
		if record == saved.Record && known == saved.Known {
			continue
		}
		if !known {
			removed = append(removed, saved.Name)
			continue
		}
		s.lastEntryID++
		if err = s.journal.Accept(s.lastEntryID, transport.Encode(record)); err != nil {
			break
		}
		written[saved.Name] = s.lastEntryID
	}
	if err == nil {
		err = s.journal.Commit()
	}
	if err != nil {
		for _, id := range written { // the earlier entries stand
			s.journal.Undo(id)
		}
		return err
	}
	for name, id := range written {
		s.endEntry(name) // on disk with the next commit: until then the later one of two entries counts
		s.entryIDs[name] = id
	}
	for _, name := range removed {
		s.endEntry(name)
	}
	return nil
}

// endEntry ends the journal's entry with a name's record. The caller holds the lock.
func (s *Store) endEntry(name shardmap.WebhookID) {
	if id, found := s.entryIDs[name]; found {
		s.journal.Finish(id, nil)
		delete(s.entryIDs, name)
	}
}

// IsInDoubt reports whether another member may have a webhook that is pending here.
func (s *Store) IsInDoubt(id inflight.RequestID) bool {
	_, _, offered := s.PendingOffer(IDOf(id))
	return offered
}

// PendingOffer returns the offer of a webhook whose outcome is not known, and its number; false: there is none.
func (s *Store) PendingOffer(name shardmap.WebhookID) (shardmap.Offer, shardmap.HandoffNumber, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.OutstandingOffer(name)
}

// IsArriving reports whether a webhook is being accepted from another member.
func (s *Store) IsArriving(name shardmap.WebhookID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	record, _ := s.table.Lookup(name)
	return record.Arriving
}

// NextHandoff returns the number of the next offer of a webhook.
func (s *Store) NextHandoff(name shardmap.WebhookID) shardmap.HandoffNumber {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.NextHandoff(name)
}

// PendingByMove counts the offers by a move whose outcome is not known.
func (s *Store) PendingByMove(move shardmap.MoveID) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.CountOffersOfMove(move)
}

// expireRecords removes, once in each retention, records that no message can refer to any more. The caller holds the lock.
func (s *Store) expireRecords() {
	now := inflight.Now()
	if now-s.lastExpiry < s.retention {
		return
	}
	s.lastExpiry = now
	s.table.Expire(now, s.retention)
	for name := range s.entryIDs {
		if _, known := s.table.Lookup(name); !known {
			s.endEntry(name)
		}
	}
}

// Close closes the journal; its folder stays.
func (s *Store) Close() error { return s.journal.Close() }
