package member

import (
	"crypto/rand"
	"encoding/binary"
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

// Store is what a member knows of webhooks by their names, kept in a journal of its own: what is told to
// another rests on a record that is written.
type Store struct {
	Incarnation uint64 // of the folder: one that was lost begins anew

	mu          sync.Mutex
	table       *shardmap.CustodyTable
	journal     *wal.Journal
	entryIDs    map[shardmap.WebhookID]api.WebhookID // the record of each
	lastEntryID api.WebhookID
	retention   api.Micros
	lastExpiry  api.Micros
}

// NameOf is a webhook's over the whole fleet: a request id is never used twice.
func NameOf(id inflight.RequestID) shardmap.WebhookID {
	return shardmap.WebhookID{Incarnation: xxhash.Sum64String(string(id)), LocalID: xxhash.Sum64String("name " + string(id))}
}

// Open reads the records of an earlier life from a folder; held tells what that life still owes.
func Open(dir string, diskMB float64, slack api.Micros, held func(shardmap.WebhookID) bool) (*Store,
	error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	life, err := readIncarnation(filepath.Join(dir, "life"))
	if err != nil {
		return nil, err
	}
	kept, err := wal.Open(dir, diskMB)
	if err != nil {
		return nil, err
	}
	n := &Store{Incarnation: life, journal: kept, entryIDs: map[shardmap.WebhookID]api.WebhookID{}, retention: slack}
	latest := map[shardmap.WebhookID]shardmap.CustodyRecord{}
	for _, e := range kept.Entries() {
		var r shardmap.CustodyRecord
		if err := transport.Decode(e.Taken, &r); err != nil {
			return nil, fmt.Errorf("names of webhooks: record %d: %w", e.ID, err)
		}
		if was, twice := n.entryIDs[r.ID]; twice { // the process ended between the new one and the end of the old
			kept.End(was, nil)
		}
		latest[r.ID], n.lastEntryID, n.entryIDs[r.ID] = r, max(n.lastEntryID, e.ID), e.ID
	}
	all, was := make([]shardmap.CustodyRecord, 0, len(latest)), make([]SavedRecord, 0, len(latest))
	for name, r := range latest {
		all, was = append(all, r), append(was, SavedRecord{name, r, true})
	}
	n.table = shardmap.NewCustodyTable(all, held)
	return n, n.writeChanges(was) // guards against a next life that reads the same otherwise
}

// readIncarnation reads the number of a folder's life, or begins one.
func readIncarnation(path string) (uint64, error) {
	raw, err := os.ReadFile(path)
	if err == nil && len(raw) == 8 {
		return binary.LittleEndian.Uint64(raw), nil
	}
	if err != nil && !os.IsNotExist(err) {
		return 0, err
	}
	raw = make([]byte, 8)
	rand.Read(raw)
	raw[0] |= 1 // never 0, which stands for a life not known yet
	if err := os.WriteFile(path+".new", raw, 0o600); err != nil {
		return 0, err
	}
	return binary.LittleEndian.Uint64(raw), os.Rename(path+".new", path)
}

// SavedRecord is a record as it was, to be put back.
type SavedRecord struct {
	Name   shardmap.WebhookID
	Record shardmap.CustodyRecord
	Known  bool
}

func (n *Store) SaveRecord(name shardmap.WebhookID) SavedRecord {
	r, known := n.table.Lookup(name)
	return SavedRecord{name, r, known}
}

// Update does something with records of names, and has written what changed before it returns; what can't be
// written is as before.
func (n *Store) Update(of []shardmap.WebhookID, do func(*shardmap.CustodyTable)) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.expireRecords()
	was := make([]SavedRecord, 0, len(of))
	for _, name := range of {
		was = append(was, n.SaveRecord(name))
	}
	do(n.table)
	err := n.writeChanges(was)
	if err != nil {
		for _, w := range was {
			n.table.Rollback(w.Name, w.Record, w.Known)
		}
		slog.Error("names of webhooks not written", "webhooks", len(of), "why", err)
	}
	return err
}

// UpdateUnsynced does something with records that needs not be written: a restart finds the same by asking again.
func (n *Store) UpdateUnsynced(do func(*shardmap.CustodyTable)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	do(n.table)
}

// writeChanges keeps the records that are not as they were; the caller holds the lock.
func (n *Store) writeChanges(was []SavedRecord) (err error) {
	fresh := map[shardmap.WebhookID]api.WebhookID{}
	var gone []shardmap.WebhookID
	for _, w := range was {
		r, known := n.table.Lookup(w.Name)
		switch {
		case r == w.Record && known == w.Known:
			continue
		case !known:
			gone = append(gone, w.Name)
			continue
		}
		n.lastEntryID++
		if err = n.journal.Accept(n.lastEntryID, transport.Encode(r)); err != nil {
			break
		}
		fresh[w.Name] = n.lastEntryID
	}
	if err == nil {
		err = n.journal.Commit()
	}
	if err != nil {
		for _, id := range fresh { // the old ones stand
			n.journal.Forget(id)
		}
		return err
	}
	for name, id := range fresh {
		if old, ok := n.entryIDs[name]; ok {
			n.journal.End(old, nil) // written with what comes next: until then the later one of two holds
		}
		n.entryIDs[name] = id
	}
	for _, name := range gone {
		n.endRecord(name)
	}
	return nil
}

func (n *Store) endRecord(name shardmap.WebhookID) {
	if id, ok := n.entryIDs[name]; ok {
		n.journal.End(id, nil)
		delete(n.entryIDs, name)
	}
}

// IsInDoubt is whether another member may have a webhook that is held here.
func (n *Store) IsInDoubt(of inflight.RequestID) bool {
	_, _, out := n.PendingOffer(NameOf(of))
	return out
}

// PendingOffer is to whom a webhook is on its way.
func (n *Store) PendingOffer(name shardmap.WebhookID) (shardmap.Offer, shardmap.HandoffNumber, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.OutstandingOffer(name)
}

// IsArriving is whether a webhook is being taken on.
func (n *Store) IsArriving(name shardmap.WebhookID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	r, _ := n.table.Lookup(name)
	return r.Arriving
}

// NextHand is the hand by which a webhook is offered next.
func (n *Store) NextHand(name shardmap.WebhookID) shardmap.HandoffNumber {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.NextHandoff(name)
}

// PendingByMove counts what is on its way by a move.
func (n *Store) PendingByMove(move shardmap.MoveID) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.CountOffersOfMove(move)
}

// expireRecords forgets what can't be asked for any more; the caller holds the lock.
func (n *Store) expireRecords() {
	now := inflight.Now()
	if now-n.lastExpiry < n.retention {
		return
	}
	n.lastExpiry = now
	n.table.Expire(now, n.retention)
	for name := range n.entryIDs {
		if _, known := n.table.Lookup(name); !known {
			n.endRecord(name)
		}
	}
}

// Close ends the journal; its folder stays.
func (n *Store) Close() error { return n.journal.Close() }
