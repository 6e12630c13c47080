package exchange

import (
	"context"
	"sync"
	"time"

	"rowanlink/serving/gossip"
)

const (
	// maxBatchEntries bounds the entries of one call.
	maxBatchEntries = 256
	// maxCallsPerReplica is the number of concurrent calls to one replica. Entries that come meanwhile share the next.
	maxCallsPerReplica = 2
	// replicaCallTimeout bounds a call to a replica.
	replicaCallTimeout = time.Second
)

// replicaSender sends entries to replicas. Entries for the same replica share calls, so that many at once cost few. It
// is safe for concurrent use.
type replicaSender struct {
	push func(ctx context.Context, address string, entries []gossip.Entry) error

	mutex  sync.Mutex               // guards the fields below
	queues map[string]*replicaQueue // by address; only of replicas with calls in flight
}

// replicaQueue has the entries that wait for a call to one replica.
type replicaQueue struct {
	waiting []queuedEntry
	calls   int // in flight
}

// queuedEntry is an entry with the receiver of its result.
type queuedEntry struct {
	entry  gossip.Entry
	done   <-chan struct{} // closed when the caller no longer waits; the entry isn't sent any more then
	result chan<- error    // has room
}

// isAbandoned reports whether the caller no longer waits.
func (q queuedEntry) isAbandoned() bool {
	select {
	case <-q.done:
		return true
	default:
		return false
	}
}

func newReplicaSender(push func(ctx context.Context, address string, entries []gossip.Entry) error) *replicaSender {
	return &replicaSender{push: push, queues: map[string]*replicaQueue{}}
}

// send sends an entry to a replica, and its result to a channel that must have room for it. There is no result if ctx
// ends before the entry is sent.
func (s *replicaSender) send(ctx context.Context, address string, entry gossip.Entry, result chan<- error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	queue, exists := s.queues[address]
	if !exists {
		queue = &replicaQueue{}
		s.queues[address] = queue
	}
	queue.waiting = append(queue.waiting, queuedEntry{entry: entry, done: ctx.Done(), result: result})
	if queue.calls == maxCallsPerReplica {
		return
	}
	queue.calls++
	go s.sendWaiting(context.WithoutCancel(ctx), address, queue)
}

// sendWaiting makes calls until no entry waits. They go on after the callers have left: a replica that is late gets the
// entries all the same.
func (s *replicaSender) sendWaiting(ctx context.Context, address string, queue *replicaQueue) {
	for {
		batch := s.takeBatch(address, queue)
		if len(batch) == 0 {
			return
		}
		err := s.call(ctx, address, batch)
		for _, queued := range batch {
			queued.result <- err
		}
	}
}

// takeBatch returns the entries of the next call. Where there are none, it ends the caller's turn.
func (s *replicaSender) takeBatch(address string, queue *replicaQueue) (batch []queuedEntry) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	taken := 0
	for _, queued := range queue.waiting {
		if len(batch) == maxBatchEntries {
			break
		}
		taken++
		if !queued.isAbandoned() {
			batch = append(batch, queued)
		}
	}
	queue.waiting = queue.waiting[taken:]
	if len(batch) > 0 {
		return batch
	}
	queue.calls--
	if queue.calls == 0 {
		delete(s.queues, address)
	}
	return nil
}

// call sends a batch.
func (s *replicaSender) call(ctx context.Context, address string, batch []queuedEntry) error {
	ctx, cancel := context.WithTimeout(ctx, replicaCallTimeout)
	defer cancel()
	entries := make([]gossip.Entry, 0, len(batch))
	for _, queued := range batch {
		entries = append(entries, queued.entry)
	}
	return s.push(ctx, address, entries)
}
