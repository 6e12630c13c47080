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

// Span is a time from the clock's point of view as the standard library has it.
func Span(t api.Micros) time.Duration { return time.Duration(t) * time.Microsecond }

// AnswerWithin is the protocol's: a client that waited longer for its answer has gone and may come again.
const AnswerWithin = 2 * api.Second / 5

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

	Event       api.EventTypeID
	Tenant      api.TenantID
	Key         api.OrderingKey
	Destination api.DestinationID
	TTL         api.Micros

	CameAt api.Micros
	answer chan answer

	// In a fleet that acts as one: what it brings along from another member, nil if nothing; whether another
	// member may have it: then nobody here calls before that is settled; and whether nobody else would settle
	// it.
	Past    *Past
	InDoubt bool
	Keep    bool
	Announced
}

// Past is what became of a webhook before it came here.
type Past struct {
	Attempts int
	MayRun   api.Micros // the first attempt that may have run, or Never
	Zone     api.ZoneID // of that attempt's endpoint
}

// Step logs a step of a webhook's course at debug level, so that its id can be followed through all
// logs. ep: the endpoint concerned, or 0; took: since the attempt was decided on, or since it came.
func (w *Webhook) Step(step string, ep api.EndpointID, took api.Micros) {
	if log := slog.Default(); log.Enabled(context.Background(), slog.LevelDebug) {
		log.Debug("course", "webhook", w.RequestID, "step", step, "dest", w.Destination, "ep", ep, "took_us", took)
	}
}

// Answer is what a client is told of the webhook that it handed in.
type Answer int

const (
	Taken    Answer = iota // from now on it is owed its end
	Rejected               // trying again is harmless
	Doubled                // its request id is held already
	Unsaid                 // another member may have it, and it can't be kept here: nothing said would be true
)

var answerNames = [...]string{"taken", "rejected", "doubled", "unsaid"}

type answer struct {
	what    Answer
	retryIn api.Micros
}

// Exchange holds what waits for the decider. What waits is bounded: a client's connection has one webhook at
// a time, a slot one call, and the list is read line by line.
type Exchange struct {
	Counters
	mu       sync.Mutex
	arrivals []*Webhook
	news     []func()
	bell     chan struct{}
	named    map[api.DestinationID]bool

	// What a fleet adds, before the clients' server runs; nil in a dispatcher that is none of one. Away takes a
	// webhook to its home and answers for it; here takes it on in this process. More prints further counters.
	Away func(w *Webhook, here func() (Answer, api.Micros)) (what Answer, retryIn api.Micros)
	More func(io.Writer)
	Announcing
}

// New makes an exchange in which nothing waits.
func New() *Exchange {
	return &Exchange{bell: make(chan struct{}, 1), named: map[api.DestinationID]bool{}}
}

// Name notes that a list has named a destination; that holds also when it has no endpoint any more.
func (x *Exchange) Name(dest api.DestinationID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.named[dest] = true
}

// Named tells whether any list has named a destination.
func (x *Exchange) Named(dest api.DestinationID) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.named[dest]
}

// HandIn takes a client's webhook to where it is decided on, and waits for its answer; one rejected may be
// told a time to come back (0: none).
func (x *Exchange) HandIn(w *Webhook) (what Answer, retryIn api.Micros) {
	if x.Away == nil {
		return x.HandInHere(w)
	}
	kept := false
	what, retryIn = x.Away(w, func() (Answer, api.Micros) {
		kept = true
		return x.HandInHere(w)
	})
	if !kept {
		w.Step(answerNames[what], 0, Now()-w.CameAt)
	}
	return what, retryIn
}

// HandInHere puts a webhook in for the next turn and waits for its answer.
func (x *Exchange) HandInHere(w *Webhook) (what Answer, retryIn api.Micros) {
	x.HandInAll([]*Webhook{w}, func(_ int, is Answer, in api.Micros) { what, retryIn = is, in })
	return what, retryIn
}

// HandInAll puts webhooks in for one turn, in their order, and tells of each answer once all have come.
func (x *Exchange) HandInAll(all []*Webhook, answered func(i int, what Answer, retryIn api.Micros)) {
	if len(all) == 0 {
		return
	}
	for _, w := range all {
		w.answer = make(chan answer, 1)
	}
	x.mu.Lock()
	x.arrivals = append(x.arrivals, all...)
	x.mu.Unlock()
	x.ring()
	for i, w := range all {
		a := <-w.answer
		answered(i, a.what, a.retryIn)
	}
}

// Answer answers the client that handed the webhook in.
func (w *Webhook) Answer(what Answer, retryIn api.Micros) {
	w.Step(answerNames[what], 0, Now()-w.CameAt)
	w.answer <- answer{what, retryIn}
}

// Print writes the counters, one a line, in the text form that monitoring systems read.
func (x *Exchange) Print(to io.Writer) {
	x.Counters.Print(to)
	if x.More != nil {
		x.More(to)
	}
}

// Tell puts a call in that the decider makes in its next turn.
func (x *Exchange) Tell(call func()) {
	x.mu.Lock()
	x.news = append(x.news, call)
	x.mu.Unlock()
	x.ring()
}

func (x *Exchange) ring() {
	select {
	case x.bell <- struct{}{}:
	default:
	}
}

// Bell rings when something waits.
func (x *Exchange) Bell() <-chan struct{} { return x.bell }

// All takes all that waits.
func (x *Exchange) All() (arrivals []*Webhook, news []func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	arrivals, news = x.arrivals, x.news
	x.arrivals, x.news = nil, nil
	return arrivals, news
}
