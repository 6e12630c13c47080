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

// mostEnds are told at once.
const mostEnds = 256

// ReceiverStore is a relay's journal and its module behind it.
type ReceiverStore interface {
	// Persist writes the mark and what is fresh in one write, then the module may call for it. An error: nothing
	// of it is kept. It is called with the relay held: it must not wait for one who calls End.
	Persist(m stream.Checkpoint, fresh []stream.Item) error
	Capacity() int                   // deliveries that may be held at once
	ForgetResults([]stream.Delivery) // their owners have their ends
	// Learned is what is known of destinations, Taught takes over what their owner knows, by this clock.
	// Both are called with nothing held.
	Learned(of []api.DestinationID) []api.DestinationState
	ApplyLearned([]api.DestinationState)
}

// Receiver is a site's, at the member that serves it.
type Receiver struct {
	shelf ReceiverStore
	said  Messenger
	pace  Timing
	now   func() api.Micros

	mu     sync.Mutex
	r      *stream.Receiver
	tells  map[cluster.MemberID]chan struct{} // bells of those who are owed ends
	ended  chan struct{}
	before sync.WaitGroup
	framed atomic.Bool  // the sender has sent in this run: it hears the answers
	heard  atomic.Int64 // when it was heard last
}

// NewReceiver goes on by what its journal knows.
func NewReceiver(r *stream.Receiver, shelf ReceiverStore, said Messenger, p Timing, now func() api.Micros) *Receiver {
	relay := &Receiver{shelf: shelf, said: said, pace: p, now: now, r: r, tells: map[cluster.MemberID]chan struct{}{},
		ended: make(chan struct{})}
	relay.mu.Lock()
	defer relay.mu.Unlock()
	for _, owner := range r.OriginsAwaitingResults() {
		relay.ring(owner)
	}
	return relay
}

// RegisterHandlers has its messages heard; before the server serves only.
func (r *Receiver) RegisterHandlers(s *transport.Server) {
	s.Handle(OpenPath, r.HandleOpen)
	s.Handle(FramePath, r.HandleFrame)
}

// Close ends what goes on by itself.
func (r *Receiver) Close() {
	close(r.ended)
	r.before.Wait()
}

// HandleOpen and Frame hear a sender.
func (r *Receiver) HandleOpen(ctx *fasthttp.RequestCtx) {
	var ask OpenMessage
	if err := transport.Decode(ctx.PostBody(), &ask); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if len(ask.Learned) > 0 {
		r.shelf.ApplyLearned(ShiftClock(ask.Learned, r.now()-ask.SentAt))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	was := r.r.Checkpoint()
	held, err := r.r.Open(ask.OpenRequest)
	r.heardBy(err)
	if err == nil && r.r.Checkpoint() != was {
		r.framed.Store(false)
		err = r.keep(nil)
	}
	r.answer(ctx, held, err)
}

func (r *Receiver) HandleFrame(ctx *fasthttp.RequestCtx) {
	var f stream.Frame
	if err := transport.Decode(ctx.PostBody(), &f); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	was := r.r.Checkpoint()
	fresh, err := r.r.Receive(f)
	if r.heardBy(err); err == nil {
		r.framed.Store(true)
	}
	if err == nil && r.r.Checkpoint() != was {
		err = r.keep(fresh)
	}
	r.answer(ctx, nil, err)
}

func (r *Receiver) heardBy(err error) {
	if err == nil {
		r.heard.Store(int64(r.now()))
	}
}

// MayBeBypassed tells whether the sender may hold this relay gone and call by itself: it was not heard for most of
// the time after which it does, or it began a run anew and has sent nothing in it.
func (r *Receiver) MayBeBypassed() bool {
	silent := time.Duration(int64(r.now())-r.heard.Load()) * time.Microsecond
	return !r.framed.Load() || silent > r.pace.UnreachableTimeout*3/4
}

// keep guards against an answer for what a full disk did not take.
func (r *Receiver) keep(fresh []stream.Item) error {
	err := r.shelf.Persist(r.r.Checkpoint(), fresh)
	if err != nil {
		r.r.Rollback()
		slog.Error("relay: not kept", "why", err)
	}
	return err
}

func (r *Receiver) answer(ctx *fasthttp.RequestCtx, held []stream.Delivery, err error) {
	a := r.r.Ack(r.shelf.Capacity(), r.now())
	a.Pending = held
	ctx.SetStatusCode(status(err))
	ctx.SetBody(transport.Encode(a))
}

// RecordResult takes a delivery's end, which the journal has already.
func (r *Receiver) RecordResult(e stream.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.r.RecordResult(e)
	r.ring(e.Delivery.Message.Origin)
}

// ring has an owner told, by a goroutine of its own: one that can't be reached holds no other.
func (r *Receiver) ring(owner cluster.MemberID) {
	bell := r.tells[owner]
	if bell == nil {
		bell = make(chan struct{}, 1)
		r.tells[owner] = bell
		r.before.Add(1)
		go r.tell(owner, bell)
	}
	select {
	case bell <- struct{}{}:
	default:
	}
}

func (r *Receiver) tell(owner cluster.MemberID, bell chan struct{}) {
	defer r.before.Done()
	for {
		select {
		case <-bell:
		case <-r.ended:
			return
		}
		for wait := r.pace.PollInterval; ; {
			more, heard := r.once(owner)
			if !more {
				break
			}
			if heard {
				if wait > r.pace.PollInterval {
					slog.Info("relay: ends heard again", "owner", owner)
				}
				wait = r.pace.PollInterval
				continue
			}
			if wait == r.pace.PollInterval {
				slog.Warn("relay: ends not heard, they are told until they are", "owner", owner)
			}
			select {
			case <-time.After(wait):
			case <-r.ended:
				return
			}
			wait = min(2*wait, r.pace.UnreachableTimeout)
		}
	}
}

// once tells what is owed, and whether there may be more and it was heard.
func (r *Receiver) once(owner cluster.MemberID) (more, heard bool) {
	r.mu.Lock()
	ends := ResultsMessage{Results: r.r.UnacknowledgedResults(owner, mostEnds)}
	ends.Ack = r.r.Ack(r.shelf.Capacity(), r.now())
	r.mu.Unlock()
	if len(ends.Results) == 0 {
		return false, false
	}
	var of []api.DestinationID
	for _, e := range ends.Results {
		of = append(of, e.Delivery.Destination)
	}
	ends.Learned = r.shelf.Learned(of)
	code, raw, err := r.said.Call(owner, ResultsPath, transport.Encode(ends), r.pace.RequestTimeout)
	var known []stream.Delivery
	if err != nil || code != fasthttp.StatusOK || transport.Decode(raw, &known) != nil || len(known) == 0 {
		slog.Debug("relay: ends not heard", "owner", owner, "count", len(ends.Results), "status", code, "err", err)
		return true, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shelf.ForgetResults(known) // first: an end forgotten here and kept there would be told again to nobody's harm
	r.r.AcknowledgeResults(known)
	return true, true
}
