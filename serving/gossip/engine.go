package gossip

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Peer is another live member to which messages can be sent.
type Peer struct {
	Name    string
	Address string // host:port for calls between the system's processes
	Zone    string
	Region  string
}

// Options tells an engine where it stands.
type Options struct {
	Name   string // of the own member
	Zone   string
	Region string
	// IsTombstone tells whether an entry says that its key is gone. Such an entry expires. Nil: none does.
	IsTombstone func(Entry) bool
	Random      *rand.Rand
}

// Engine holds the newest entry of every key and decides what is sent to whom. It is for one goroutine.
type Engine struct {
	options     Options
	tables      [tableCount]entryTable
	graves      graves
	subscribers [tableCount][]func(Entry)
	peers       []Peer
	byName      map[string]Peer
	neighbours  neighbours
	inRegion    int                  // peers of the own region
	changes     uint64               // number of entries taken in
	failing     map[string]time.Time // peers by name that did not answer, and until when they are avoided
	doubtful    map[string]time.Time // zones of which no member has answered since one failed, and since when
	pending     pending
	requested   map[entryID]request
	repair      repairPlan
	sweepAt     time.Time
}

// New makes an empty engine.
func New(options Options) *Engine {
	if options.IsTombstone == nil {
		options.IsTombstone = func(Entry) bool { return false }
	}
	e := &Engine{
		options:   options,
		graves:    newGraves(),
		failing:   map[string]time.Time{},
		doubtful:  map[string]time.Time{},
		pending:   pending{entries: map[entryID]*delivery{}},
		requested: map[entryID]request{},
	}
	for i := range e.tables {
		e.tables[i].entries = map[string]*held{}
	}
	return e
}

// SetPeers replaces the members to which messages are sent: all live ones but the own.
func (e *Engine) SetPeers(peers []Peer) {
	e.peers = slices.Clone(peers)
	e.neighbours.stale = true
	e.byName = make(map[string]Peer, len(peers))
	e.inRegion = 0
	for _, peer := range peers {
		e.byName[peer.Name] = peer
		if peer.Region == e.options.Region {
			e.inRegion++
		}
	}
	for name := range e.failing {
		if _, known := e.byName[name]; !known {
			delete(e.failing, name)
		}
	}
}

// Subscribe has the function called for every entry that the table takes in from now on.
func (e *Engine) Subscribe(table TableID, call func(Entry)) {
	e.subscribers[table] = append(e.subscribers[table], call)
}

// PutLocal takes in an entry of the own process and plans its way to all other members. It returns false where the
// engine has an entry as new already.
func (e *Engine) PutLocal(now time.Time, entry Entry) bool {
	if !e.store(now, entry) {
		return false
	}
	e.enqueue(now, entry, origin{own: true, fresh: true})
	return true
}

// Receive takes in a message of another member, plans how the fresh entries go on and returns them.
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
		if isFresh || len(message.Relay) > 0 {
			e.enqueue(now, entry, origin{fresh: isFresh, from: message.From, relay: message.Relay})
		}
	}
	return fresh
}

// Get returns the newest entry of a key.
func (e *Engine) Get(table TableID, key string) (Entry, bool) {
	found, ok := e.tables[table].entries[key]
	if !ok {
		return Entry{}, false
	}
	return found.entry, true
}

// All calls the function for every entry of a table, in no order, until it returns false.
func (e *Engine) All(table TableID, call func(Entry) bool) {
	for _, found := range e.tables[table].entries {
		if !call(found.entry) {
			return
		}
	}
}

// Len is the number of entries of a table.
func (e *Engine) Len(table TableID) int { return len(e.tables[table].entries) }

// store takes the entry in where it is newer than what is known and tells the subscribers.
func (e *Engine) store(now time.Time, entry Entry) bool {
	id := entry.Header().id()
	if e.graves.covers(id, entry.Version) {
		return false
	}
	if !e.tables[entry.Table].put(now, entry, e.options.IsTombstone(entry)) {
		return false
	}
	if !entry.Table.isEphemeral() {
		e.changes++
	}
	for _, call := range e.subscribers[entry.Table] {
		call(entry)
	}
	return true
}
