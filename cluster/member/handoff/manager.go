// Package handoff transfers webhooks that are pending here to the member that owns them, with the learned state of their
// destinations, and resolves the custody of webhooks whose transfer had no response.
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
	Wake      func()                              // schedules a Run; must not block
}

// Manager hands off webhooks of one member. Its methods may be called concurrently, but for Run.
type Manager struct {
	Config

	mu         sync.Mutex
	arrivals   map[inflight.RequestID]shardmap.MoveID // webhooks that came here by a move that has not ended
	stateSent  map[shardmap.MoveID]bool               // its target has the learned state
	inProgress map[cluster.MemberID]bool              // a batch for it is being sent
	closed     bool                                   // no batch is started any more
	running    sync.WaitGroup                         // the goroutines of the batches
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

// RecordArrival records by which move a webhook arrived; 0: by none, or it was not accepted.
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

// Run starts to hand off webhooks that other members own and to resolve those in doubt. Each peer has its own goroutine,
// one at a time, so that a partitioned one does not delay the others.
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
		if m.isClosed() {
			return
		}
		m.offerWebhooks(shardMap, to, move, b.offers[move])
	}
}

// tryStart reports whether a batch for a peer may be sent now. The caller then calls finish at its end.
func (m *Manager) tryStart(to cluster.MemberID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed || m.inProgress[to] {
		return false
	}
	m.inProgress[to] = true
	m.running.Add(1)
	return true
}

func (m *Manager) finish(to cluster.MemberID) {
	m.mu.Lock()
	delete(m.inProgress, to)
	m.mu.Unlock()
	m.running.Done()
}

func (m *Manager) isClosed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.closed
}

// Close starts no further batches and waits for the calls in flight, each of which has a time-out of a fraction of the
// lease TTL. The custody store and the event loop, which the replies change, must be open until then.
func (m *Manager) Close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.running.Wait()
}

// forgetEndedMoves forgets by which move webhooks arrived, once the owner of the range is decided.
func (m *Manager) forgetEndedMoves(shardMap *shardmap.Map) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, move := range m.arrivals {
		if shardMap.OwnerByMove(move) != shardmap.OwnerUndecided {
			delete(m.arrivals, id)
		}
	}
}
