// Package inflight is where client side and server side meet, and the only place: webhooks as they came, with
// the few fields that decisions need, and what waits to be told to the decider.
package inflight

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"rowanlink/webhook/api"
)

var started = time.Now()

// Now is the one clock of the process: it starts from the wall's and never runs back.
func Now() api.Micros {
	return api.Micros(started.UnixMicro() + time.Since(started).Microseconds())
}

// Duration is a time from the clock's point of view as the standard library has it.
func Duration(t api.Micros) time.Duration { return time.Duration(t) * time.Microsecond }

// AnswerTimeout is the protocol's: a client that waited longer for its answer has gone and may come again.
const AnswerTimeout = 2 * api.Second / 5

// RequestID is a webhook's name on the sockets, Token the mark by which a repeat is known; empty: none.
type (
	RequestID string
	Token     string
)

// Webhook is one webhook as it came: what goes on unchanged stays bytes.
type Webhook struct {
	ID        api.WebhookID
	RequestID RequestID
	Token     Token
	Body      []byte

	EventType   api.EventTypeID
	Tenant      api.TenantID
	OrderingKey api.OrderingKey
	Destination api.DestinationID
	Deadline    api.Micros

	ReceivedAt api.Micros
	answer     chan submissionAnswer

	// In a fleet that acts as one: what it brings along from another member, nil if nothing; whether another
	// member may have it: then nobody here calls before that is settled; and whether nobody else would settle
	// it.
	Prior    *PriorAttempts
	InDoubt  bool
	MustKeep bool
	Broadcast
}

// PriorAttempts is what became of a webhook before it came here.
type PriorAttempts struct {
	Attempts     int
	MayHaveRunAt api.Micros // the first attempt that may have run, or Never
	Zone         api.ZoneID // of that attempt's endpoint
}

// Trace logs a step of a webhook's course at debug level, so that its id can be followed through all
// logs. ep: the endpoint concerned, or 0; took: since the attempt was decided on, or since it came.
func (w *Webhook) Trace(step string, ep api.EndpointID, took api.Micros) {
	if log := slog.Default(); log.Enabled(context.Background(), slog.LevelDebug) {
		log.Debug("course", "webhook", w.RequestID, "step", step, "dest", w.Destination, "ep", ep, "took_us", took)
	}
}

// Answer is what a client is told of the webhook that it handed in.
type Answer int

const (
	Accepted     Answer = iota // from now on it is owed its end
	Rejected                   // trying again is harmless
	Duplicate                  // its request id is held already
	Undetermined               // another member may have it, and it can't be kept here: nothing said would be true
)

var answerNames = [...]string{"taken", "rejected", "doubled", "unsaid"}

type submissionAnswer struct {
	what    Answer
	retryIn api.Micros
}

// Inbox holds what waits for the decider. What waits is bounded: a client's connection has one webhook at
// a time, a slot one call, and the list is read line by line.
type Inbox struct {
	Counters
	mu           sync.Mutex
	arrivals     []*Webhook
	posted       []func()
	ready        chan struct{}
	destinations map[api.DestinationID]bool

	// What a fleet adds, before the clients' server runs; nil in a dispatcher that is none of one. Away takes a
	// webhook to its home and answers for it; here takes it on in this process. More prints further counters.
	Forward      func(w *Webhook, here func() (Answer, api.Micros)) (what Answer, retryIn api.Micros)
	ExtraMetrics func(io.Writer)
	BroadcastLists
}

// New makes an exchange in which nothing waits.
func New() *Inbox {
	return &Inbox{ready: make(chan struct{}, 1), destinations: map[api.DestinationID]bool{}}
}

// AddDestination notes that a list has named a destination; that holds also when it has no endpoint any more.
func (x *Inbox) AddDestination(dest api.DestinationID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.destinations[dest] = true
}

// HasDestination tells whether any list has named a destination.
func (x *Inbox) HasDestination(dest api.DestinationID) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.destinations[dest]
}

// Submit takes a client's webhook to where it is decided on, and waits for its answer; one rejected may be
// told a time to come back (0: none).
func (x *Inbox) Submit(w *Webhook) (what Answer, retryIn api.Micros) {
	if x.Forward == nil {
		return x.SubmitLocal(w)
	}
	kept := false
	what, retryIn = x.Forward(w, func() (Answer, api.Micros) {
		kept = true
		return x.SubmitLocal(w)
	})
	if !kept {
		w.Trace(answerNames[what], 0, Now()-w.ReceivedAt)
	}
	return what, retryIn
}

// SubmitLocal puts a webhook in for the next turn and waits for its answer.
func (x *Inbox) SubmitLocal(w *Webhook) (what Answer, retryIn api.Micros) {
	x.SubmitAll([]*Webhook{w}, func(_ int, is Answer, in api.Micros) { what, retryIn = is, in })
	return what, retryIn
}

// SubmitAll puts webhooks in for one turn, in their order, and tells of each answer once all have come.
func (x *Inbox) SubmitAll(all []*Webhook, answered func(i int, what Answer, retryIn api.Micros)) {
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
		answered(i, a.what, a.retryIn)
	}
}

// Answer answers the client that handed the webhook in.
func (w *Webhook) Answer(what Answer, retryIn api.Micros) {
	w.Trace(answerNames[what], 0, Now()-w.ReceivedAt)
	w.answer <- submissionAnswer{what, retryIn}
}

// WriteMetrics writes the counters, one a line, in the text form that monitoring systems read.
func (x *Inbox) WriteMetrics(to io.Writer) {
	x.Counters.WriteMetrics(to)
	if x.ExtraMetrics != nil {
		x.ExtraMetrics(to)
	}
}

// Post puts a call in that the decider makes in its next turn.
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

// Ready rings when something waits.
func (x *Inbox) Ready() <-chan struct{} { return x.ready }

// TakeAll takes all that waits.
func (x *Inbox) TakeAll() (arrivals []*Webhook, news []func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	arrivals, news = x.arrivals, x.posted
	x.arrivals, x.posted = nil, nil
	return arrivals, news
}
