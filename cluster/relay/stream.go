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

// SenderStore is an owner's journal and its module. It is called with the stream held: it must not call back, nor
// wait for one that does.
type SenderStore interface {
	// RecordSending notes deliveries before their first byte leaves for that life of the relay's folder; an error:
	// they are not noted, and nothing is sent.
	RecordSending(f []stream.Item, life uint64, at api.Micros) error
	Requeue([]stream.Delivery)      // they were never taken and never will be: they wait once more
	Bypass(never []stream.Delivery) // this dispatcher's module has them from now on
	// ResolveInDoubt settles by streams.Rule what may be at the relay, lost: by streams.Courses. It tells which the
	// sender is to forget: what has ended, and what goes by itself and is not ordered.
	ResolveInDoubt(of []stream.InDoubt, lost bool) (forget []stream.Delivery)
	// RecordResults writes ends by streams.Hear and tells which it has from now on, those known before too.
	RecordResults([]stream.Result) (heard []stream.Delivery)
	// Learned is what this dispatcher knows of the site's destinations; it is called with nothing held, as is
	// Taught, which takes over what the relay knows, by this clock.
	Learned() []api.DestinationState
	ApplyLearned([]api.DestinationState)
	DropExpired([]stream.Delivery) // rejected: their time is over, and they never ran
}

// Sender is a site's, at its sender.
type Sender struct {
	relay cluster.MemberID
	books SenderStore
	said  Messenger
	pace  Timing
	now   func() api.Micros
	holds func() bool // the sender's task, by the clock

	fenced atomic.Bool // the relay has seen a later epoch, though the task is held

	mu    sync.Mutex
	s     *stream.Sender
	bell  chan struct{}
	ended chan struct{}
	done  chan struct{}

	// Of the goroutine that sends.
	open    bool
	heard   time.Time         // when the relay last answered
	looked  time.Time         // for what is past its time
	asked   time.Time         // by one that does not hold the task
	notedIn stream.Generation // the books have all frames of this run up to noted
	noted   stream.Sequence
}

// NewSender sends to a relay what s has, from Run on. holds is asked before each message.
func NewSender(relay cluster.MemberID, s *stream.Sender, books SenderStore, said Messenger, p Timing,
	now func() api.Micros, holds func() bool) *Sender {
	return &Sender{relay: relay, books: books, said: said, pace: p, now: now, holds: holds, s: s,
		bell: make(chan struct{}, 1), ended: make(chan struct{}), done: make(chan struct{})}
}

// Add takes an item that the journal has.
func (t *Sender) Add(i stream.Item, target api.Micros) {
	t.with(func() { t.s.Add(i, target, t.now()) })
}

// Complete tells that a delivery that goes beside the stream has ended.
func (t *Sender) Complete(d stream.Delivery) { t.with(func() { t.s.Complete(d) }) }

// DetachDestination and Joins: by the operator file.
func (t *Sender) DetachDestination(to api.DestinationID) {
	t.with(func() { t.s.DetachDestination(to) })
}
func (t *Sender) AttachDestination(to api.DestinationID) {
	t.with(func() { t.s.AttachDestination(to) })
}

// with does something with the sender and hands on what may go beside the stream by it.
func (t *Sender) with(do func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	do()
	if never := t.s.TakeBypassing(); len(never) > 0 {
		t.books.Bypass(never)
	}
	select {
	case t.bell <- struct{}{}:
	default:
	}
}

// IsFenced tells whether the relay refuses a sender that holds its task: it was another site's before, whose
// sender has a later epoch. A grant after that one is needed.
func (t *Sender) IsFenced() bool { return t.fenced.Load() }

// IsUnreachable tells whether all goes beside the stream, as the relay can't be reached or another member sends to it.
func (t *Sender) IsUnreachable() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.s.IsUnreachable()
}

// HandleResults hears what the relay tells this owner.
func (t *Sender) HandleResults(ctx *fasthttp.RequestCtx) {
	var ends ResultsMessage
	if err := transport.Decode(ctx.PostBody(), &ends); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if len(ends.Learned) > 0 {
		t.books.ApplyLearned(ShiftClock(ends.Learned, t.now()-ends.Ack.ReceiverTime))
	}
	var heard []stream.Delivery
	t.with(func() {
		heard = t.books.RecordResults(ends.Results)
		for _, d := range heard {
			t.s.Complete(d)
		}
		t.s.HandleAck(ends.Ack, t.now())
	})
	ctx.SetBody(transport.Encode(heard))
}

// Close ends it; what is out stays so.
func (t *Sender) Close() {
	close(t.ended)
	<-t.done
}
