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

// names is what a member knows of webhooks by their names, kept in a journal of its own: what is told to
// another rests on a record that is written.
type names struct {
	Life uint64 // of the folder: one that was lost begins anew

	mu    sync.Mutex
	known *shardmap.Known
	kept  *wal.Journal
	at    map[shardmap.Name]api.WebhookID // the record of each
	last  api.WebhookID
	slack api.Micros
	swept api.Micros
}

// nameOf is a webhook's over the whole fleet: a request id is never used twice.
func nameOf(id inflight.RequestID) shardmap.Name {
	return shardmap.Name{Life: xxhash.Sum64String(string(id)), ID: xxhash.Sum64String("name " + string(id))}
}

// openNames reads the records of an earlier life from a folder; held tells what that life still owes.
func openNames(dir string, diskMB float64, slack api.Micros, held func(shardmap.Name) bool) (*names,
	error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	life, err := lifeOf(filepath.Join(dir, "life"))
	if err != nil {
		return nil, err
	}
	kept, err := wal.Open(dir, diskMB)
	if err != nil {
		return nil, err
	}
	n := &names{Life: life, kept: kept, at: map[shardmap.Name]api.WebhookID{}, slack: slack}
	latest := map[shardmap.Name]shardmap.Record{}
	for _, e := range kept.Entries() {
		var r shardmap.Record
		if err := transport.Decode(e.Taken, &r); err != nil {
			return nil, fmt.Errorf("names of webhooks: record %d: %w", e.ID, err)
		}
		if was, twice := n.at[r.Name]; twice { // the process ended between the new one and the end of the old
			kept.End(was, nil)
		}
		latest[r.Name], n.last, n.at[r.Name] = r, max(n.last, e.ID), e.ID
	}
	all, was := make([]shardmap.Record, 0, len(latest)), make([]past, 0, len(latest))
	for name, r := range latest {
		all, was = append(all, r), append(was, past{name, r, true})
	}
	n.known = shardmap.NewKnown(all, held)
	return n, n.write(was) // guards against a next life that reads the same otherwise
}

// lifeOf reads the number of a folder's life, or begins one.
func lifeOf(path string) (uint64, error) {
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

// past is a record as it was, to be put back.
type past struct {
	name   shardmap.Name
	record shardmap.Record
	known  bool
}

func (n *names) past(name shardmap.Name) past {
	r, known := n.known.Record(name)
	return past{name, r, known}
}

// Change does something with records of names, and has written what changed before it returns; what can't be
// written is as before.
func (n *names) Change(of []shardmap.Name, do func(*shardmap.Known)) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.expire()
	was := make([]past, 0, len(of))
	for _, name := range of {
		was = append(was, n.past(name))
	}
	do(n.known)
	err := n.write(was)
	if err != nil {
		for _, w := range was {
			n.known.Undo(w.name, w.record, w.known)
		}
		slog.Error("names of webhooks not written", "webhooks", len(of), "why", err)
	}
	return err
}

// Note does something with records that needs not be written: a restart finds the same by asking again.
func (n *names) Note(do func(*shardmap.Known)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	do(n.known)
}

// write keeps the records that are not as they were; the caller holds the lock.
func (n *names) write(was []past) (err error) {
	fresh := map[shardmap.Name]api.WebhookID{}
	var gone []shardmap.Name
	for _, w := range was {
		r, known := n.known.Record(w.name)
		switch {
		case r == w.record && known == w.known:
			continue
		case !known:
			gone = append(gone, w.name)
			continue
		}
		n.last++
		if err = n.kept.Accept(n.last, transport.Encode(r)); err != nil {
			break
		}
		fresh[w.name] = n.last
	}
	if err == nil {
		err = n.kept.Commit()
	}
	if err != nil {
		for _, id := range fresh { // the old ones stand
			n.kept.Forget(id)
		}
		return err
	}
	for name, id := range fresh {
		if old, ok := n.at[name]; ok {
			n.kept.End(old, nil) // written with what comes next: until then the later one of two holds
		}
		n.at[name] = id
	}
	for _, name := range gone {
		n.drop(name)
	}
	return nil
}

func (n *names) drop(name shardmap.Name) {
	if id, ok := n.at[name]; ok {
		n.kept.End(id, nil)
		delete(n.at, name)
	}
}

// Doubts is whether another member may have a webhook that is held here.
func (n *names) Doubts(of inflight.RequestID) bool {
	_, _, out := n.Out(nameOf(of))
	return out
}

// Out is to whom a webhook is on its way.
func (n *names) Out(name shardmap.Name) (shardmap.Offer, shardmap.Hand, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.known.Out(name)
}

// Comes is whether a webhook is being taken on.
func (n *names) Comes(name shardmap.Name) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	r, _ := n.known.Record(name)
	return r.Comes
}

// Next is the hand by which a webhook is offered next.
func (n *names) Next(name shardmap.Name) shardmap.Hand {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.known.Next(name)
}

// By counts what is on its way by a move.
func (n *names) By(move shardmap.MoveID) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.known.By(move)
}

// expire forgets what can't be asked for any more; the caller holds the lock.
func (n *names) expire() {
	now := inflight.Now()
	if now-n.swept < n.slack {
		return
	}
	n.swept = now
	n.known.Expire(now, n.slack)
	for name := range n.at {
		if _, known := n.known.Record(name); !known {
			n.drop(name)
		}
	}
}

// Close ends the journal; its folder stays.
func (n *names) Close() error { return n.kept.Close() }
