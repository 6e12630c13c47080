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

// SenderStore is the journal and the delivery policy of the origin's dispatcher. All methods except DestinationStates and
// ApplyDestinationStates are called with the Sender's lock held: they must not call the Sender, nor wait for a goroutine
// that does.
type SenderStore interface {
	// RecordSending journals that deliveries are about to be sent to an incarnation of the relay's folder. It must return
	// before their first byte is sent. If it returns an error, nothing was recorded, and nothing is sent.
	RecordSending(items []stream.Item, receiverIncarnation uint64, at api.Micros) error
	// Requeue records that the relay never received deliveries and never will. The Sender has queued them again.
	Requeue([]stream.Delivery)
	// Bypass hands deliveries over to this dispatcher's policy, which attempts them itself. They were never sent to the
	// relay.
	Bypass([]stream.Delivery)
	// ResolveInDoubt decides what to do with deliveries that the relay may have, by stream.Resolve, or by
	// stream.ResolveLost if they were lost with the relay's folder. It returns the deliveries that the Sender must forget:
	// those that now have a result, and the unordered ones that the origin retries itself.
	ResolveInDoubt(deliveries []stream.InDoubt, lost bool) (forget []stream.Delivery)
	// RecordResults acts on results as stream.ActionForResult says. It returns the deliveries to acknowledge: those whose
	// results the journal has, whether recorded now or before.
	RecordResults([]stream.Result) (recorded []stream.Delivery)
	// DropExpired ends deliveries that expired in the queue. They were never attempted.
	DropExpired([]stream.Delivery)
	// DestinationStates returns the states of the site's destinations as this dispatcher observed them. It is called
	// without the Sender's lock.
	DestinationStates() []api.DestinationState
	// ApplyDestinationStates imports the states that the relay observed, with times converted to this member's clock. It is
	// called without the Sender's lock.
	ApplyDestinationStates([]api.DestinationState)
}

// Sender is the origin's end of a site's stream.
type Sender struct {
	relay      cluster.MemberID
	store      SenderStore
	messenger  Messenger
	timing     Timing
	now        func() api.Micros
	holdsLease func() bool // reports whether this member now holds the lease on sending to the site

	fenced atomic.Bool // the relay has seen a later epoch than that of the lease which this sender holds

	mu     sync.Mutex
	state  *stream.Sender
	wakeup chan struct{}
	closed chan struct{}
	done   chan struct{}

	// Owned by Run.
	opened             bool
	lastContact        time.Time // when the relay last responded
	lastExpiryCheck    time.Time
	lastInquiry        time.Time         // when it last sent a request without holding the lease
	recordedGeneration stream.Generation // RecordSending was called for its frames up to recordedSequence
	recordedSequence   stream.Sequence
}

// NewSender returns a sender with the given protocol state. Run starts it. holdsLease is called before each message.
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

// Add queues an item, which the caller must have stored in the journal. latencyTarget is that of its event type.
func (s *Sender) Add(i stream.Item, latencyTarget api.Micros) {
	s.update(func() { s.state.Add(i, latencyTarget, s.now()) })
}

// Complete records that a delivery that bypassed the relay has its result.
func (s *Sender) Complete(d stream.Delivery) { s.update(func() { s.state.Complete(d) }) }

// DetachDestination stops sending deliveries for a subscriber, which the operator file no longer has at this site.
func (s *Sender) DetachDestination(d api.DestinationID) {
	s.update(func() { s.state.DetachDestination(d) })
}

// AttachDestination reverses DetachDestination.
func (s *Sender) AttachDestination(d api.DestinationID) {
	s.update(func() { s.state.AttachDestination(d) })
}

// update changes the protocol state under the lock, hands the deliveries that may then bypass the relay to the store, and
// wakes up Run.
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

// IsFenced reports whether the relay rejects this sender although it holds the lease. That happens if the member was the
// relay of another site before, whose sender had a later epoch. The lease must be acquired again, with a later epoch.
func (s *Sender) IsFenced() bool { return s.fenced.Load() }

// IsUnreachable reports whether all deliveries bypass the relay, because it is unreachable or another member sends to it.
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

// Close stops Run and waits for it. Deliveries in flight stay in flight: the journal has them.
func (s *Sender) Close() {
	close(s.closed)
	<-s.done
}
