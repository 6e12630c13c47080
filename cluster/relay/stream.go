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

// Books is an owner's journal and its module. It is called with the stream held: it must not call back, nor
// wait for one that does.
type Books interface {
	// Sending notes deliveries before their first byte leaves for that life of the relay's folder; an error:
	// they are not noted, and nothing is sent.
	Sending(f []stream.Item, life uint64, at api.Micros) error
	Unsent([]stream.Delivery)       // they were never taken and never will be: they wait once more
	Beside(never []stream.Delivery) // this dispatcher's module has them from now on
	// Unsure settles by streams.Rule what may be at the relay, lost: by streams.Courses. It tells which the
	// sender is to forget: what has ended, and what goes by itself and is not ordered.
	Unsure(of []stream.Sent, lost bool) (forget []stream.Delivery)
	// Ended writes ends by streams.Hear and tells which it has from now on, those known before too.
	Ended([]stream.End) (heard []stream.Delivery)
	// Learned is what this dispatcher knows of the site's destinations; it is called with nothing held, as is
	// Taught, which takes over what the relay knows, by this clock.
	Learned() []api.DestinationState
	Taught([]api.DestinationState)
	Late([]stream.Delivery) // rejected: their time is over, and they never ran
}

// Stream is a site's, at its sender.
type Stream struct {
	relay cluster.MemberID
	books Books
	said  Said
	pace  Pace
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
	heard   time.Time  // when the relay last answered
	looked  time.Time  // for what is past its time
	asked   time.Time  // by one that does not hold the task
	notedIn stream.Run // the books have all frames of this run up to noted
	noted   stream.Seq
}

// NewStream sends to a relay what s has, from Run on. holds is asked before each message.
func NewStream(relay cluster.MemberID, s *stream.Sender, books Books, said Said, p Pace,
	now func() api.Micros, holds func() bool) *Stream {
	return &Stream{relay: relay, books: books, said: said, pace: p, now: now, holds: holds, s: s,
		bell: make(chan struct{}, 1), ended: make(chan struct{}), done: make(chan struct{})}
}

// Add takes an item that the journal has.
func (t *Stream) Add(i stream.Item, target api.Micros) {
	t.with(func() { t.s.Add(i, target, t.now()) })
}

// Over tells that a delivery that goes beside the stream has ended.
func (t *Stream) Over(d stream.Delivery) { t.with(func() { t.s.Ended(d) }) }

// Leaves and Joins: by the operator file.
func (t *Stream) Leaves(to api.DestinationID) { t.with(func() { t.s.Leaves(to) }) }
func (t *Stream) Joins(to api.DestinationID)  { t.with(func() { t.s.Joins(to) }) }

// with does something with the sender and hands on what may go beside the stream by it.
func (t *Stream) with(do func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	do()
	if never := t.s.Free(); len(never) > 0 {
		t.books.Beside(never)
	}
	select {
	case t.bell <- struct{}{}:
	default:
	}
}

// Fenced tells whether the relay refuses a sender that holds its task: it was another site's before, whose
// sender has a later epoch. A grant after that one is needed.
func (t *Stream) Fenced() bool { return t.fenced.Load() }

// Gone tells whether all goes beside the stream, as the relay can't be reached or another member sends to it.
func (t *Stream) Gone() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.s.IsGone()
}

// Answers hears what the relay tells this owner.
func (t *Stream) Answers(ctx *fasthttp.RequestCtx) {
	var ends Ends
	if err := transport.Decode(ctx.PostBody(), &ends); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if len(ends.Learned) > 0 {
		t.books.Taught(Shifted(ends.Learned, t.now()-ends.Answer.At))
	}
	var heard []stream.Delivery
	t.with(func() {
		heard = t.books.Ended(ends.Ends)
		for _, d := range heard {
			t.s.Ended(d)
		}
		t.s.Answered(ends.Answer, t.now())
	})
	ctx.SetBody(transport.Encode(heard))
}

// Close ends it; what is out stays so.
func (t *Stream) Close() {
	close(t.ended)
	<-t.done
}
