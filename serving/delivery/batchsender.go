// Package delivery sends entries to other members and waits for their confirmations, beside the gossip: what was
// acknowledged has to be at enough disks and at all proxies that can be reached.
package delivery

import (
	"context"
	"sync"
	"time"

	"rowanlink/serving/gossip"
)

// maxBatchEntries bounds the entries of one call.
const maxBatchEntries = 256

// PushFunc sends entries to the member at an address, host:port, and returns once that has confirmed them.
type PushFunc func(ctx context.Context, address string, entries []gossip.Entry) error

// BatchSender sends entries to members. Entries for the same member share calls, so that many at once cost few. It is
// safe for concurrent use.
type BatchSender struct {
	push    PushFunc
	options BatchOptions

	mutex  sync.Mutex            // guards the fields below
	queues map[string]*sendQueue // by address; only of members with calls in flight
}

// BatchOptions bounds the calls of a BatchSender.
type BatchOptions struct {
	MaxCalls    int           // concurrent, to one member. Entries that come meanwhile share the next call
	CallTimeout time.Duration // of one call
	// MinInterval is the least time from the start of a call to that of the next one in its place. It bounds the calls of
	// a burst; the first entry after a pause is sent at once.
	MinInterval time.Duration
}

// sendQueue has the entries that wait for a call to one member.
type sendQueue struct {
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

// NewBatchSender returns a sender that has sent nothing yet.
func NewBatchSender(push PushFunc, options BatchOptions) *BatchSender {
	return &BatchSender{push: push, options: options, queues: map[string]*sendQueue{}}
}

// Send sends an entry to a member, and its result to a channel that must have room for it. There is no result if ctx
// ends before the entry is sent.
func (s *BatchSender) Send(ctx context.Context, address string, entry gossip.Entry, result chan<- error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	queue, exists := s.queues[address]
	if !exists {
		queue = &sendQueue{}
		s.queues[address] = queue
	}
	queue.waiting = append(queue.waiting, queuedEntry{entry: entry, done: ctx.Done(), result: result})
	if queue.calls == s.options.MaxCalls {
		return
	}
	queue.calls++
	go s.sendWaiting(context.WithoutCancel(ctx), address, queue)
}

// sendWaiting makes calls until no entry waits. They go on after the callers have left: a member that is late gets the
// entries all the same.
func (s *BatchSender) sendWaiting(ctx context.Context, address string, queue *sendQueue) {
	for {
		batch := s.takeBatch(address, queue)
		if len(batch) == 0 {
			return
		}
		nextCall := time.After(s.options.MinInterval)
		err := s.call(ctx, address, batch)
		for _, queued := range batch {
			queued.result <- err
		}
		<-nextCall
	}
}

// takeBatch returns the entries of the next call. Where there are none, it counts the caller's loop as ended.
func (s *BatchSender) takeBatch(address string, queue *sendQueue) (batch []queuedEntry) {
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
func (s *BatchSender) call(ctx context.Context, address string, batch []queuedEntry) error {
	ctx, cancel := context.WithTimeout(ctx, s.options.CallTimeout)
	defer cancel()
	entries := make([]gossip.Entry, 0, len(batch))
	for _, queued := range batch {
		entries = append(entries, queued.entry)
	}
	return s.push(ctx, address, entries)
}
