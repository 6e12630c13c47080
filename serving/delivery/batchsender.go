// Package delivery sends entries directly to other members, in addition to gossip, and waits for their confirmations:
// before a change is acknowledged, enough members must have it on disk and all reachable proxies must have applied it.
package delivery

import (
	"context"
	"sync"
	"time"

	"rowanlink/serving/gossip"
)

// maxBatchEntries is the largest number of entries in one call.
const maxBatchEntries = 256

// PushFunc sends entries to the member at an address, host:port, and returns once the member has confirmed them.
type PushFunc func(ctx context.Context, address string, entries []gossip.Entry) error

// BatchSender sends entries to members. Entries for the same member share calls, so that a burst of entries needs few
// calls. It is safe for concurrent use.
type BatchSender struct {
	push    PushFunc
	options BatchOptions

	mutex  sync.Mutex            // guards the fields below
	queues map[string]*sendQueue // by address; only of members with calls in flight
}

// BatchOptions bounds the calls of a BatchSender.
type BatchOptions struct {
	// MaxCalls is the number of concurrent calls to one member. Entries that arrive while all are in flight share the
	// next call.
	MaxCalls    int
	CallTimeout time.Duration // for one call
	// MinInterval is the least time between the starts of two successive calls of a sendWaiting loop, of which each member
	// has up to MaxCalls. It bounds the number of calls in a burst; the first entry after a pause is sent at once.
	MinInterval time.Duration
}

// sendQueue has the entries that wait for a call to one member.
type sendQueue struct {
	waiting []queuedEntry
	senders int // running sendWaiting loops, each with at most one call in flight
}

// queuedEntry is an entry to send and the channel for the result of its call.
type queuedEntry struct {
	entry  gossip.Entry
	done   <-chan struct{} // closed when the caller no longer waits; then the entry isn't sent any more
	result chan<- error    // has room, so that sending the result doesn't block
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

// NewBatchSender returns a sender that makes its calls with push.
func NewBatchSender(push PushFunc, options BatchOptions) *BatchSender {
	return &BatchSender{push: push, options: options, queues: map[string]*sendQueue{}}
}

// Send queues an entry for a member and returns. The result of the call is sent to a channel, which must have room for it.
// There is no result if ctx ends before the entry is sent.
func (s *BatchSender) Send(ctx context.Context, address string, entry gossip.Entry, result chan<- error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	queue, exists := s.queues[address]
	if !exists {
		queue = &sendQueue{}
		s.queues[address] = queue
	}
	queue.waiting = append(queue.waiting, queuedEntry{entry: entry, done: ctx.Done(), result: result})
	if queue.senders == s.options.MaxCalls {
		return
	}
	queue.senders++
	go s.sendWaiting(context.WithoutCancel(ctx), address, queue)
}

// sendWaiting makes calls to a member until no entry waits. A call continues after the callers of its entries no longer
// wait, so that a slow member gets the entries too.
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

// takeBatch removes the entries of the next call from the queue and returns them. If there are none, the loop that called
// it has to end, and takeBatch already counts it as ended.
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
	queue.senders--
	if queue.senders == 0 {
		delete(s.queues, address)
	}
	return nil
}

// call sends a batch in one call and returns the call's result.
func (s *BatchSender) call(ctx context.Context, address string, batch []queuedEntry) error {
	ctx, cancel := context.WithTimeout(ctx, s.options.CallTimeout)
	defer cancel()
	entries := make([]gossip.Entry, 0, len(batch))
	for _, queued := range batch {
		entries = append(entries, queued.entry)
	}
	return s.push(ctx, address, entries)
}
