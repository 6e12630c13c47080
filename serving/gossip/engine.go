package gossip

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Peer is another live member to which messages can be sent.
type Peer struct {
	Name    string
	Address string // host:port for internal calls
	Zone    string
	Region  string
}

// Options configures an Engine.
type Options struct {
	Name   string // of the local member
	Zone   string
	Region string
	// IsTombstone reports whether an entry marks its key as deleted. Such an entry expires after
	// TombstoneRetention. If it is nil, there are no tombstones.
	IsTombstone func(Entry) bool
	Random      *rand.Rand
}

// Engine holds the newest entry of every key and decides which entries are sent to which peers. It is not safe for
// concurrent use.
type Engine struct {
	options         Options
	tables          [tableCount]entryTable
	expired         expiredEntries
	subscribers     [tableCount][]func(Entry)
	peers           []Peer
	peersByName     map[string]Peer
	ranking         peerRanking
	regionPeerCount int                  // number of peers in the local region
	changeCount     uint64               // number of entries stored, except ephemeral ones
	avoidedUntil    map[string]time.Time // by name of a peer that didn't respond
	suspectZones    map[string]time.Time // by zone: when a peer of it last failed to respond; see reachability.go
	queue           sendQueue
	requested       map[entryID]outstandingRequest
	nextRepair      pendingRepair
	sweepAt         time.Time
}

// New returns an empty engine.
func New(options Options) *Engine {
	if options.IsTombstone == nil {
		options.IsTombstone = func(Entry) bool { return false }
	}
	e := &Engine{
		options:      options,
		expired:      newExpiredEntries(),
		avoidedUntil: map[string]time.Time{},
		suspectZones: map[string]time.Time{},
		queue:        sendQueue{deliveries: map[entryID]*delivery{}},
		requested:    map[entryID]outstandingRequest{},
	}
	for i := range e.tables {
		e.tables[i].entries = map[string]*storedEntry{}
	}
	return e
}

// SetPeers replaces the peers: all live members except the local one.
func (e *Engine) SetPeers(peers []Peer) {
	e.peers = slices.Clone(peers)
	e.ranking.stale = true
	e.peersByName = make(map[string]Peer, len(peers))
	e.regionPeerCount = 0
	for _, peer := range peers {
		e.peersByName[peer.Name] = peer
		if peer.Region == e.options.Region {
			e.regionPeerCount++
		}
	}
	for name := range e.avoidedUntil {
		if _, known := e.peersByName[name]; !known {
			delete(e.avoidedUntil, name)
		}
	}
}

// Subscribe registers a function that is called synchronously for every entry that the table stores from now on.
func (e *Engine) Subscribe(table TableID, call func(Entry)) {
	e.subscribers[table] = append(e.subscribers[table], call)
}

// PutLocal stores an entry of the local process and schedules its delivery to other members. It returns false if the
// stored or expired entry of the key is at least as new.
func (e *Engine) PutLocal(now time.Time, entry Entry) bool {
	if !e.store(now, entry) {
		return false
	}
	e.enqueue(now, entry, origin{local: true, fresh: true})
	return true
}

// Receive stores the entries of another member's message, schedules those to be forwarded, and returns the entries that
// were new here.
func (e *Engine) Receive(now time.Time, message Message) (fresh []Entry) {
	for _, entry := range message.Entries {
		if !entry.Table.IsValid() {
			continue
		}
		delete(e.requested, entry.Header().id())
		isFresh := e.store(now, entry)
		if isFresh {
			fresh = append(fresh, entry)
		}
		if isFresh && !message.NoForward || len(message.Relay) > 0 {
			e.enqueue(now, entry, origin{fresh: isFresh, sender: message.From, relay: message.Relay})
		}
	}
	return fresh
}

// Get returns the newest entry of a key.
func (e *Engine) Get(table TableID, key string) (Entry, bool) {
	stored, ok := e.tables[table].entries[key]
	if !ok {
		return Entry{}, false
	}
	return stored.entry, true
}

// All calls the function for every entry of a table, in no particular order, until the function returns false.
func (e *Engine) All(table TableID, call func(Entry) bool) {
	for _, stored := range e.tables[table].entries {
		if !call(stored.entry) {
			return
		}
	}
}

// Len returns the number of entries of a table.
func (e *Engine) Len(table TableID) int { return len(e.tables[table].entries) }

// store stores an entry and notifies the subscribers, if it is newer than the stored or expired one of its key.
func (e *Engine) store(now time.Time, entry Entry) bool {
	id := entry.Header().id()
	if e.expired.hasExpired(id, entry.Version) {
		return false
	}
	if !e.tables[entry.Table].put(now, entry, e.options.IsTombstone(entry)) {
		return false
	}
	if !entry.Table.isEphemeral() {
		e.changeCount++
	}
	for _, call := range e.subscribers[entry.Table] {
		call(entry)
	}
	return true
}
