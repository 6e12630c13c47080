package relay

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"rowanlink/cluster"
	"rowanlink/cluster/stream"
	"rowanlink/cluster/transport"
	"rowanlink/webhook/api"
)

// SenderStore is the journal and policy of the origin. Except for DestinationStates and ApplyDestinationStates it is
// called with the Sender's lock held: it must not call the Sender, nor wait for anyone who does.
type SenderStore interface {
	// RecordSending records deliveries before their first byte is sent to that incarnation of the relay's folder.
	// With an error nothing is recorded or sent.
	RecordSending(items []stream.Item, receiverIncarnation uint64, at api.Micros) error
	// Requeue takes back deliveries that the relay never received and never will: they are queued again.
	Requeue([]stream.Delivery)
	// Bypass hands deliveries that were never sent to this dispatcher's policy.
	Bypass([]stream.Delivery)
	// ResolveInDoubt decides, by stream.Resolve or for lost ones by stream.ResolveLost, about deliveries that the
	// relay may have. It returns those that the Sender is to forget: those that now have a result, and those that
	// are retried by the origin and not ordered.
	ResolveInDoubt(deliveries []stream.InDoubt, lost bool) (forget []stream.Delivery)
	// RecordResults records results, as stream.ActionForResult says, and returns the deliveries whose results it
	// has, including those that it had before.
	RecordResults([]stream.Result) (recorded []stream.Delivery)
	// DropExpired is called for deliveries that expired in the queue. They never ran.
	DropExpired([]stream.Delivery)
	// DestinationStates returns what this dispatcher knows of the site's destinations. No lock is held.
	DestinationStates() []api.DestinationState
	// ApplyDestinationStates imports what the relay knows; times are of this clock. No lock is held.
	ApplyDestinationStates([]api.DestinationState)
}

// Sender sends a site's stream to its relay.
type Sender struct {
	relay      cluster.MemberID
	store      SenderStore
	messenger  Messenger
	timing     Timing
	now        func() api.Micros
	holdsLease func() bool // on sending to the site, now

	fenced atomic.Bool // the relay has seen a later epoch, though the lease is held

	mu     sync.Mutex
	state  *stream.Sender
	wakeup chan struct{}
	closed chan struct{}
	done   chan struct{}

	// Owned by Run.
	opened             bool
	lastContact        time.Time // last response of the relay
	lastExpiryCheck    time.Time
	lastInquiry        time.Time         // last request without holding the lease
	recordedGeneration stream.Generation // the store has the frames of this generation up to recordedSequence
	recordedSequence   stream.Sequence
}

// NewSender returns a sender of what state has, to be started by Run. holdsLease is called before each message.
func NewSender(relay cluster.MemberID, state *stream.Sender, store SenderStore, messenger Messenger, timing Timing,
	now func() api.Micros, holdsLease func() bool) *Sender {
	return &Sender{
		relay:      relay,
		store:      store,
		messenger:  messenger,
		timing:     timing,
		now:        now,
		holdsLease: holdsLease,
		state:      state,
		wakeup:     make(chan struct{}, 1),
		closed:     make(chan struct{}),
		done:       make(chan struct{}),
	}
}

// Add queues an item that the journal has.
func (s *Sender) Add(i stream.Item, latencyTarget api.Micros) {
	s.update(func() { s.state.Add(i, latencyTarget, s.now()) })
}

// Complete records the result of a delivery that bypasses the relay.
func (s *Sender) Complete(d stream.Delivery) { s.update(func() { s.state.Complete(d) }) }

// DetachDestination stops sending for a subscriber that the operator file no longer has at this site.
func (s *Sender) DetachDestination(d api.DestinationID) {
	s.update(func() { s.state.DetachDestination(d) })
}

// AttachDestination reverses DetachDestination.
func (s *Sender) AttachDestination(d api.DestinationID) {
	s.update(func() { s.state.AttachDestination(d) })
}

// update changes the state, passes on the deliveries that may bypass the relay after that, and wakes Run up.
func (s *Sender) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	if bypassing := s.state.TakeBypassing(); len(bypassing) > 0 {
		s.store.Bypass(bypassing)
	}
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// IsFenced reports whether the relay rejects the sender though it holds the lease: the relay was another site's
// before, whose sender had a later epoch. The lease has to be acquired again.
func (s *Sender) IsFenced() bool { return s.fenced.Load() }

// IsUnreachable reports whether everything bypasses the relay, as it is unreachable or another member sends to it.
func (s *Sender) IsUnreachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.IsUnreachable()
}

// HandleResults handles a ResultsMessage of the relay.
func (s *Sender) HandleResults(ctx *fasthttp.RequestCtx) {
	var message ResultsMessage
	if err := transport.Decode(ctx.PostBody(), &message); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if len(message.DestinationStates) > 0 {
		clockDifference := s.now() - message.Ack.ReceiverTime
		s.store.ApplyDestinationStates(ShiftClock(message.DestinationStates, clockDifference))
	}
	var recorded []stream.Delivery
	s.update(func() {
		recorded = s.store.RecordResults(message.Results)
		for _, d := range recorded {
			s.state.Complete(d)
		}
		s.state.HandleAck(message.Ack, s.now())
	})
	ctx.SetBody(transport.Encode(recorded))
}

// Close stops Run and waits for it. What is in flight stays so.
func (s *Sender) Close() {
	close(s.closed)
	<-s.done
}
