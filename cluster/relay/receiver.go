package relay

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"rowanlink/cluster"
	"rowanlink/cluster/stream"
	"rowanlink/cluster/transport"
	"rowanlink/webhook/api"
)

// ReceiverStore is the journal and policy of the relay.
type ReceiverStore interface {
	// Persist stores the checkpoint and fresh items in one write; after that the policy may attempt them. With an
	// error nothing is stored. It is called with the Receiver's lock held: it must not wait for a caller of
	// RecordResult.
	Persist(c stream.Checkpoint, fresh []stream.Item) error
	// Capacity returns how many deliveries may be pending at once.
	Capacity() int
	// ForgetResults is called for deliveries whose results their origins have.
	ForgetResults([]stream.Delivery)
	// DestinationStates returns what is known of destinations. No lock is held.
	DestinationStates(of []api.DestinationID) []api.DestinationState
	// ApplyDestinationStates imports what the origin knows; times are of this clock. No lock is held.
	ApplyDestinationStates([]api.DestinationState)
}

// Receiver is a site's relay, at the member that serves the site.
type Receiver struct {
	store     ReceiverStore
	messenger Messenger
	timing    Timing
	now       func() api.Micros

	mu          sync.Mutex
	state       *stream.Receiver
	notifiers   map[cluster.MemberID]chan struct{} // of the goroutines that report results, by origin
	closed      chan struct{}
	running     sync.WaitGroup
	hasFrame    atomic.Bool  // the sender has sent a frame in this generation, so it gets the acks
	lastContact atomic.Int64 // api.Micros of the sender's last valid request
}

// NewReceiver returns a receiver with the state that the journal has, and reports the results that are not yet
// acknowledged. It needs Close.
func NewReceiver(state *stream.Receiver, store ReceiverStore, messenger Messenger, timing Timing,
	now func() api.Micros) *Receiver {
	r := &Receiver{
		store:     store,
		messenger: messenger,
		timing:    timing,
		now:       now,
		state:     state,
		notifiers: map[cluster.MemberID]chan struct{}{},
		closed:    make(chan struct{}),
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, origin := range state.OriginsAwaitingResults() {
		r.notify(origin)
	}
	return r
}

// RegisterHandlers adds the handlers to a server that does not serve yet.
func (r *Receiver) RegisterHandlers(s *transport.Server) {
	s.Handle(OpenPath, r.HandleOpen)
	s.Handle(FramePath, r.HandleFrame)
}

// Close stops reporting results and waits for the goroutines that do.
func (r *Receiver) Close() {
	close(r.closed)
	r.running.Wait()
}

// HandleOpen handles an OpenMessage.
func (r *Receiver) HandleOpen(ctx *fasthttp.RequestCtx) {
	var message OpenMessage
	if err := transport.Decode(ctx.PostBody(), &message); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if len(message.DestinationStates) > 0 {
		r.store.ApplyDestinationStates(ShiftClock(message.DestinationStates, r.now()-message.SentAt))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.state.Checkpoint()
	pending, err := r.state.Open(message.OpenRequest)
	r.recordContact(err)
	if err == nil && r.state.Checkpoint() != before {
		r.hasFrame.Store(false)
		err = r.persist(nil)
	}
	r.respond(ctx, pending, err)
}

// HandleFrame handles a stream.Frame.
func (r *Receiver) HandleFrame(ctx *fasthttp.RequestCtx) {
	var f stream.Frame
	if err := transport.Decode(ctx.PostBody(), &f); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.state.Checkpoint()
	fresh, err := r.state.Receive(f)
	r.recordContact(err)
	if err == nil {
		r.hasFrame.Store(true)
	}
	if err == nil && r.state.Checkpoint() != before {
		err = r.persist(fresh)
	}
	r.respond(ctx, nil, err)
}

func (r *Receiver) recordContact(err error) {
	if err == nil {
		r.lastContact.Store(int64(r.now()))
	}
}

// MayBeBypassed reports whether the sender may consider this relay unreachable and call destinations itself: there
// was no contact for most of the time after which it does, or it opened a generation and has sent nothing in it.
func (r *Receiver) MayBeBypassed() bool {
	idle := time.Duration(int64(r.now())-r.lastContact.Load()) * time.Microsecond
	return !r.hasFrame.Load() || idle > r.timing.UnreachableTimeout*3/4
}

// persist stores the checkpoint with fresh items. If the write fails, what was received is rolled back and must not
// be acknowledged.
func (r *Receiver) persist(fresh []stream.Item) error {
	err := r.store.Persist(r.state.Checkpoint(), fresh)
	if err != nil {
		r.state.Rollback()
		slog.Error("relay: frame not stored", "error", err)
	}
	return err
}

func (r *Receiver) respond(ctx *fasthttp.RequestCtx, pending []stream.Delivery, err error) {
	a := r.state.Ack(r.store.Capacity(), r.now())
	a.Pending = pending
	ctx.SetStatusCode(statusOf(err))
	ctx.SetBody(transport.Encode(a))
}

// RecordResult records the result of a delivery, which the journal has already, and has it reported.
func (r *Receiver) RecordResult(result stream.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.RecordResult(result)
	r.notify(result.Delivery.Message.Origin)
}
