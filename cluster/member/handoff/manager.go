// Package handoff transfers webhooks that are pending at this member to the member that owns their range, or is about
// to own it by a move. To the target of a move it also sends the state that this member has learned about the
// destinations. It resolves the custody of webhooks in doubt, those whose transfer was not answered.
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

// MaxBatch is the maximum number of webhooks in one message.
const MaxBatch = 256

// Config holds the dependencies of a Manager.
type Config struct {
	Ownership *ownership.Manager
	Custody   *custody.Store
	Metrics   *custody.Metrics
	Peers     *peer.Client
	Loop      *eventloop.Loop
	EventType func(api.EventTypeID) api.EventType // returns the event type in the current settings
	Wake      func()                              // schedules a Run; must not block
}

// Manager hands off the webhooks of one member. Its methods may be called concurrently, except for Run.
type Manager struct {
	Config

	mu         sync.Mutex
	arrivals   map[inflight.RequestID]shardmap.MoveID // webhooks that arrived by a move whose owner is still undecided
	stateSent  map[shardmap.MoveID]bool               // moves whose target has received the learned state
	inProgress map[cluster.MemberID]bool              // peers to which a batch is being sent
	closed     bool                                   // Close was called: no further batch is started
	running    sync.WaitGroup                         // the goroutines that send batches
}

// New returns a Manager. Nothing is handed off before the first Run.
func New(c Config) *Manager {
	return &Manager{
		Config:     c,
		arrivals:   map[inflight.RequestID]shardmap.MoveID{},
		stateSent:  map[shardmap.MoveID]bool{},
		inProgress: map[cluster.MemberID]bool{},
	}
}

// RecordArrival records the move by which a webhook arrived from another member. Move 0 removes the record: the webhook
// arrived by no move, or was not accepted.
func (m *Manager) RecordArrival(id inflight.RequestID, move shardmap.MoveID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if move == 0 {
		delete(m.arrivals, id)
	} else {
		m.arrivals[id] = move
	}
}

// IsOrdered reports whether a webhook has to be delivered in order with the other webhooks of its ordering key.
func (m *Manager) IsOrdered(w *inflight.Webhook) bool {
	return w.OrderingKey != 0 && m.EventType(w.EventType).Ordered
}

// Run starts to hand off the webhooks that other members own and to resolve those in doubt, and transfers the learned
// state of moves. The batch for each peer is sent by a goroutine of its own, so that a partitioned peer does not delay
// the others. No batch is started for a peer while an earlier one is being sent.
func (m *Manager) Run() {
	shardMap := m.Ownership.Map()
	if shardMap == nil {
		return
	}
	pending, _ := m.Loop.ParkedWebhooks(func(*inflight.Webhook) bool { return true })
	m.forgetEndedMoves(shardMap)
	started := map[cluster.MemberID]*batch{}
	for to, b := range m.batchByPeer(shardMap, pending) {
		if m.tryStartBatch(to) {
			started[to] = b
		}
	}
	for to, b := range started {
		go m.sendBatch(shardMap, to, b)
	}
	m.transferState(shardMap)
}

func (m *Manager) sendBatch(shardMap *shardmap.Map, to cluster.MemberID, b *batch) {
	defer m.finishBatch(to)
	m.queryInDoubt(to, b.queries)
	for _, move := range b.moves {
		if m.isClosed() {
			return
		}
		m.offerWebhooks(shardMap, to, move, b.offers[move])
	}
}

// tryStartBatch marks a batch for a peer as being sent. It returns false if the Manager is closed or an earlier batch
// for the peer is still being sent. After true the caller must call finishBatch once the batch is sent.
func (m *Manager) tryStartBatch(to cluster.MemberID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed || m.inProgress[to] {
		return false
	}
	m.inProgress[to] = true
	m.running.Add(1)
	return true
}

func (m *Manager) finishBatch(to cluster.MemberID) {
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

// Close prevents further batches and waits for those that are being sent. Each of their requests has a time-out of a
// fraction of the lease TTL. The custody store and the event loop must stay open until Close returns, since replies
// change them.
func (m *Manager) Close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.running.Wait()
}

// forgetEndedMoves removes the arrivals of moves for which the map shows which side owns the range.
func (m *Manager) forgetEndedMoves(shardMap *shardmap.Map) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, move := range m.arrivals {
		if shardMap.OwnerByMove(move) != shardmap.OwnerUndecided {
			delete(m.arrivals, id)
		}
	}
}
