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

// Shelf is a relay's journal and its module behind it.
type Shelf interface {
	// Keep writes the mark and what is fresh in one write, then the module may call for it. An error: nothing
	// of it is kept. It is called with the relay held: it must not wait for one who calls End.
	Keep(m stream.Mark, fresh []stream.Item) error
	Room() int              // deliveries that may be held at once
	Told([]stream.Delivery) // their owners have their ends
	// Learned is what is known of destinations, Taught takes over what their owner knows, by this clock.
	// Both are called with nothing held.
	Learned(of []api.DestinationID) []api.Learned
	Taught([]api.Learned)
}

// Relay is a site's, at the member that serves it.
type Relay struct {
	shelf Shelf
	said  Said
	pace  Pace
	now   func() api.Micros

	mu     sync.Mutex
	r      *stream.Receiver
	tells  map[cluster.MemberID]chan struct{} // bells of those who are owed ends
	ended  chan struct{}
	before sync.WaitGroup
	framed atomic.Bool  // the sender has sent in this run: it hears the answers
	heard  atomic.Int64 // when it was heard last
}

// NewRelay goes on by what its journal knows.
func NewRelay(r *stream.Receiver, shelf Shelf, said Said, p Pace, now func() api.Micros) *Relay {
	relay := &Relay{shelf: shelf, said: said, pace: p, now: now, r: r, tells: map[cluster.MemberID]chan struct{}{},
		ended: make(chan struct{})}
	relay.mu.Lock()
	defer relay.mu.Unlock()
	for _, owner := range r.Owners() {
		relay.ring(owner)
	}
	return relay
}

// Hear has its messages heard; before the server serves only.
func (r *Relay) Hear(s *transport.Server) {
	s.Handle(OpenPath, r.Open)
	s.Handle(FramePath, r.Frame)
}

// Close ends what goes on by itself.
func (r *Relay) Close() {
	close(r.ended)
	r.before.Wait()
}

// Open and Frame hear a sender.
func (r *Relay) Open(ctx *fasthttp.RequestCtx) {
	var ask Opening
	if err := transport.Decode(ctx.PostBody(), &ask); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if len(ask.Learned) > 0 {
		r.shelf.Taught(Shifted(ask.Learned, r.now()-ask.At))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	was := r.r.Mark()
	held, err := r.r.Open(ask.Ask)
	r.heardBy(err)
	if err == nil && r.r.Mark() != was {
		r.framed.Store(false)
		err = r.keep(nil)
	}
	r.answer(ctx, held, err)
}

func (r *Relay) Frame(ctx *fasthttp.RequestCtx) {
	var f stream.Frame
	if err := transport.Decode(ctx.PostBody(), &f); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	was := r.r.Mark()
	fresh, err := r.r.Take(f)
	if r.heardBy(err); err == nil {
		r.framed.Store(true)
	}
	if err == nil && r.r.Mark() != was {
		err = r.keep(fresh)
	}
	r.answer(ctx, nil, err)
}

func (r *Relay) heardBy(err error) {
	if err == nil {
		r.heard.Store(int64(r.now()))
	}
}

// Missed tells whether the sender may hold this relay gone and call by itself: it was not heard for most of
// the time after which it does, or it began a run anew and has sent nothing in it.
func (r *Relay) Missed() bool {
	silent := time.Duration(int64(r.now())-r.heard.Load()) * time.Microsecond
	return !r.framed.Load() || silent > r.pace.Gone*3/4
}

// keep guards against an answer for what a full disk did not take.
func (r *Relay) keep(fresh []stream.Item) error {
	err := r.shelf.Keep(r.r.Mark(), fresh)
	if err != nil {
		r.r.Undo()
		slog.Error("relay: not kept", "why", err)
	}
	return err
}

func (r *Relay) answer(ctx *fasthttp.RequestCtx, held []stream.Delivery, err error) {
	a := r.r.Answer(r.shelf.Room(), r.now())
	a.Held = held
	ctx.SetStatusCode(status(err))
	ctx.SetBody(transport.Encode(a))
}

// End takes a delivery's end, which the journal has already.
func (r *Relay) End(e stream.End) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.r.Ended(e)
	r.ring(e.Delivery.Name.Owner)
}

// ring has an owner told, by a goroutine of its own: one that can't be reached holds no other.
func (r *Relay) ring(owner cluster.MemberID) {
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

func (r *Relay) tell(owner cluster.MemberID, bell chan struct{}) {
	defer r.before.Done()
	for {
		select {
		case <-bell:
		case <-r.ended:
			return
		}
		for wait := r.pace.Poll; ; {
			more, heard := r.once(owner)
			if !more {
				break
			}
			if heard {
				if wait > r.pace.Poll {
					slog.Info("relay: ends heard again", "owner", owner)
				}
				wait = r.pace.Poll
				continue
			}
			if wait == r.pace.Poll {
				slog.Warn("relay: ends not heard, they are told until they are", "owner", owner)
			}
			select {
			case <-time.After(wait):
			case <-r.ended:
				return
			}
			wait = min(2*wait, r.pace.Gone)
		}
	}
}

// once tells what is owed, and whether there may be more and it was heard.
func (r *Relay) once(owner cluster.MemberID) (more, heard bool) {
	r.mu.Lock()
	ends := Ends{Ends: r.r.Owed(owner, mostEnds)}
	ends.Answer = r.r.Answer(r.shelf.Room(), r.now())
	r.mu.Unlock()
	if len(ends.Ends) == 0 {
		return false, false
	}
	var of []api.DestinationID
	for _, e := range ends.Ends {
		of = append(of, e.Delivery.To)
	}
	ends.Learned = r.shelf.Learned(of)
	code, raw, err := r.said.Call(owner, AnswersPath, transport.Encode(ends), r.pace.Within)
	var known []stream.Delivery
	if err != nil || code != fasthttp.StatusOK || transport.Decode(raw, &known) != nil || len(known) == 0 {
		slog.Debug("relay: ends not heard", "owner", owner, "count", len(ends.Ends), "status", code, "err", err)
		return true, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shelf.Told(known) // first: an end forgotten here and kept there would be told again to nobody's harm
	r.r.Told(known)
	return true, true
}
