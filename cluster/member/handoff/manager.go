// Package handoff hands the webhooks that are pending here and belong to another member over to that member, with what
// was learned of their destinations, and resolves the custody of those whose transfer was left without an answer.
package handoff

import (
	"sync"

	"rowanlink/cluster"
	"rowanlink/cluster/member/custody"
	"rowanlink/cluster/member/ownership"
	"rowanlink/cluster/member/peer"
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/eventloop"
	"rowanlink/webhook/dispatcher/inflight"
)

// MaxBatch bounds the webhooks in one message.
const MaxBatch = 256

// Config is what a Manager is made from.
type Config struct {
	Ownership *ownership.Manager
	Custody   *custody.Store
	Metrics   *custody.Metrics
	Peers     *peer.Client
	Loop      *eventloop.Loop
	EventType func(api.EventTypeID) api.EventType // by the settings read last
	Wake      func()                              // has Run called soon; must not block
}

// Manager hands off webhooks of one member. Its methods may be called concurrently, but for Run.
type Manager struct {
	Config

	mu         sync.Mutex
	arrivals   map[inflight.RequestID]shardmap.MoveID // webhooks that came here by a move that has not ended
	stateSent  map[shardmap.MoveID]bool               // its target has what was learned here
	inProgress map[cluster.MemberID]bool              // a batch for it is being sent
}

// New returns a Manager that has handed off nothing.
func New(c Config) *Manager {
	return &Manager{
		Config:     c,
		arrivals:   map[inflight.RequestID]shardmap.MoveID{},
		stateSent:  map[shardmap.MoveID]bool{},
		inProgress: map[cluster.MemberID]bool{},
	}
}

// RecordArrival records by which move a webhook came here; 0: by none, or it was not accepted.
func (m *Manager) RecordArrival(id inflight.RequestID, move shardmap.MoveID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if move == 0 {
		delete(m.arrivals, id)
	} else {
		m.arrivals[id] = move
	}
}

// IsOrdered reports whether a webhook has to be delivered in the order of its key.
func (m *Manager) IsOrdered(w *inflight.Webhook) bool {
	return w.OrderingKey != 0 && m.EventType(w.EventType).Ordered
}

// Run begins to hand off what belongs elsewhere and to resolve what is in doubt. Each peer has a goroutine of its own,
// one at a time: one that is partitioned delays nothing that goes to the others.
func (m *Manager) Run() {
	shardMap := m.Ownership.Map()
	if shardMap == nil {
		return
	}
	pending, _ := m.Loop.ParkedWebhooks(func(*inflight.Webhook) bool { return true })
	m.forgetEndedMoves(shardMap)
	started := map[cluster.MemberID]*batch{}
	for to, b := range m.batchByPeer(shardMap, pending) {
		if m.tryStart(to) {
			started[to] = b
		}
	}
	for to, b := range started {
		go m.sendBatch(shardMap, to, b)
	}
	m.transferState(shardMap)
}

func (m *Manager) sendBatch(shardMap *shardmap.Map, to cluster.MemberID, b *batch) {
	defer m.finish(to)
	m.queryInDoubt(to, b.queries)
	for _, move := range b.moves {
		m.offerWebhooks(shardMap, to, move, b.offers[move])
	}
}

func (m *Manager) tryStart(to cluster.MemberID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	wasInProgress := m.inProgress[to]
	m.inProgress[to] = true
	return !wasInProgress
}

func (m *Manager) finish(to cluster.MemberID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.inProgress, to)
}

// forgetEndedMoves forgets by which moves webhooks came here, once it is decided to whom the range belongs.
func (m *Manager) forgetEndedMoves(shardMap *shardmap.Map) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, move := range m.arrivals {
		if shardMap.OwnerByMove(move) != shardmap.OwnerUndecided {
			delete(m.arrivals, id)
		}
	}
}
