// Package inflight connects the clients' server with the event loop: webhooks as they were received, with the few fields
// that decisions need, and the queue of everything that waits for the event loop.
package inflight

import (
	"io"
	"sync"

	"rowanlink/webhook/api"
)

// Inbox queues the input of the event loop. It is safe for concurrent use. The queues have no limit of their own, but are
// bounded: a client's connection has one webhook at a time, a slot one call, and lists are read one by one.
type Inbox struct {
	Counters

	mu           sync.Mutex
	arrivals     []*Webhook
	posted       []func()
	ready        chan struct{}
	destinations map[api.DestinationID]bool

	// Set by a cluster before the clients' server runs; nil without a cluster.

	// Forward takes a webhook to the member that owns its destination and answers for it; submitLocal submits it here.
	Forward func(w *Webhook, submitLocal func() (Answer, api.Micros)) (answer Answer, retryAfter api.Micros)
	// ExtraMetrics writes further metrics.
	ExtraMetrics func(io.Writer)
	BroadcastLists
}

// New returns an empty Inbox.
func New() *Inbox {
	return &Inbox{ready: make(chan struct{}, 1), destinations: map[api.DestinationID]bool{}}
}

// AddDestination records that an endpoint list has named a destination, which stays known after its last endpoint is
// removed.
func (x *Inbox) AddDestination(destination api.DestinationID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.destinations[destination] = true
}

// HasDestination reports whether any endpoint list so far has named a destination.
func (x *Inbox) HasDestination(destination api.DestinationID) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.destinations[destination]
}

// Submit submits a client's webhook, here or to another member, and waits for the answer. A rejection may come with the
// delay after which the client may submit the webhook again (0: none given).
func (x *Inbox) Submit(w *Webhook) (answer Answer, retryAfter api.Micros) {
	if x.Forward == nil {
		return x.SubmitLocal(w)
	}
	submittedHere := false
	answer, retryAfter = x.Forward(w, func() (Answer, api.Micros) {
		submittedHere = true
		return x.SubmitLocal(w)
	})
	if !submittedHere {
		w.Trace(answerNames[answer], 0, Now()-w.ReceivedAt)
	}
	return answer, retryAfter
}

// SubmitLocal submits a webhook for the next turn and waits for the answer.
func (x *Inbox) SubmitLocal(w *Webhook) (answer Answer, retryAfter api.Micros) {
	x.SubmitAll([]*Webhook{w}, func(_ int, a Answer, after api.Micros) {
		answer = a
		retryAfter = after
	})
	return answer, retryAfter
}

// SubmitAll submits webhooks for one turn, in their order, and calls answered for each of them in that order.
func (x *Inbox) SubmitAll(all []*Webhook, answered func(i int, answer Answer, retryAfter api.Micros)) {
	if len(all) == 0 {
		return
	}
	for _, w := range all {
		w.answer = make(chan submissionAnswer, 1)
	}
	x.mu.Lock()
	x.arrivals = append(x.arrivals, all...)
	x.mu.Unlock()
	x.signal()
	for i, w := range all {
		a := <-w.answer
		answered(i, a.answer, a.retryAfter)
	}
}

// WriteMetrics writes the counters, one per line, in the text form that monitoring systems read.
func (x *Inbox) WriteMetrics(to io.Writer) {
	x.Counters.WriteMetrics(to)
	if x.ExtraMetrics != nil {
		x.ExtraMetrics(to)
	}
}

// Post adds a call that the event loop makes in its next turn.
func (x *Inbox) Post(call func()) {
	x.mu.Lock()
	x.posted = append(x.posted, call)
	x.mu.Unlock()
	x.signal()
}

func (x *Inbox) signal() {
	select {
	case x.ready <- struct{}{}:
	default:
	}
}

// Ready returns a channel that receives a value when something is queued.
func (x *Inbox) Ready() <-chan struct{} { return x.ready }

// TakeAll removes and returns everything that is queued.
func (x *Inbox) TakeAll() (arrivals []*Webhook, posted []func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	arrivals, posted = x.arrivals, x.posted
	x.arrivals = nil
	x.posted = nil
	return arrivals, posted
}
