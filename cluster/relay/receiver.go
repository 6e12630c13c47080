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

// ReceiverStore is the journal and the delivery policy of the relay's dispatcher.
type ReceiverStore interface {
	// Persist stores the checkpoint and the fresh items in one write; then the policy may attempt them. If it returns
	// an error, nothing was stored. It is called with the Receiver's lock held, which RecordResult takes as well: to wait
	// for a goroutine that calls RecordResult would be a deadlock.
	Persist(c stream.Checkpoint, fresh []stream.Item) error
	// Capacity returns how many deliveries may be pending at once.
	Capacity() int
	// ForgetResults deletes the results of deliveries after their origins have recorded them.
	ForgetResults([]stream.Delivery)
	// DestinationStates returns the states of destinations as this dispatcher observed them. It is called without the
	// Receiver's lock.
	DestinationStates(of []api.DestinationID) []api.DestinationState
	// ApplyDestinationStates imports the states that the sender observed, with times converted to this member's clock. It
	// is called without the Receiver's lock.
	ApplyDestinationStates([]api.DestinationState)
}

// Receiver is the relay's end of a site's stream. It runs at the member that is the site's relay.
type Receiver struct {
	store     ReceiverStore
	messenger Messenger
	timing    Timing
	now       func() api.Micros

	mu          sync.Mutex
	state       *stream.Receiver
	notifiers   map[cluster.MemberID]chan struct{} // by origin; each wakes the goroutine that reports its results
	closed      chan struct{}
	running     sync.WaitGroup
	hasFrame    atomic.Bool  // a frame of this generation came: the sender has the ack of its request to open
	lastContact atomic.Int64 // time of the sender's last valid request, in api.Micros
}

// NewReceiver returns a receiver with the state restored from the journal, and starts to report the results that are not
// yet acknowledged. Close stops it.
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

// RegisterHandlers registers the handlers at a server. It must be called before the server's Serve.
func (r *Receiver) RegisterHandlers(s *transport.Server) {
	s.Handle(OpenPath, r.HandleOpen)
	s.Handle(FramePath, r.HandleFrame)
}

// Close stops the goroutines that report results and waits for them.
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

// recordContact records the time of the sender's request, unless the receiver rejected the request with err.
func (r *Receiver) recordContact(err error) {
	if err == nil {
		r.lastContact.Store(int64(r.now()))
	}
}

// MayBeBypassed reports whether the sender may be calling destinations itself because it considers this relay unreachable.
// That is so if the last contact is longer ago than three quarters of the sender's UnreachableTimeout, or if no frame has
// come in this generation: the ack of the request to open may not have reached the sender.
func (r *Receiver) MayBeBypassed() bool {
	idle := time.Duration(int64(r.now())-r.lastContact.Load()) * time.Microsecond
	return !r.hasFrame.Load() || idle > r.timing.UnreachableTimeout*3/4
}

// persist stores the checkpoint with fresh items. If the write fails, it rolls the receiver's state back, so that the ack
// does not cover the frame or request that could not be stored.
func (r *Receiver) persist(fresh []stream.Item) error {
	err := r.store.Persist(r.state.Checkpoint(), fresh)
	if err != nil {
		r.state.Rollback()
		slog.Error("relay: frame not stored", "error", err)
	}
	return err
}

// respond answers a request with an ack of the current state and the status for err.
func (r *Receiver) respond(ctx *fasthttp.RequestCtx, pending []stream.Delivery, err error) {
	a := r.state.Ack(r.store.Capacity(), r.now())
	a.Pending = pending
	ctx.SetStatusCode(statusOf(err))
	ctx.SetBody(transport.Encode(a))
}

// RecordResult records the result of a delivery, and has it reported to the delivery's origin. The caller must have
// stored the result in the journal before.
func (r *Receiver) RecordResult(result stream.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.RecordResult(result)
	r.notify(result.Delivery.Message.Origin)
}
