package stream

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// The world of the model: one owner, who is the sender too, a relay, links that lose, double and delay, and
// what either has on disk. What is unsure comes out of it by chance; what must hold is checked at every step.
const (
	room   = 6
	skew   = 7 * api.Second // by so much the relay's clock shows more
	ttl    = 40 * api.Second
	window = 15 * api.Second
)

var types = []api.EventType{{TTL: ttl}, {TTL: ttl, Semantics: api.Deduplicated, DedupWindow: window},
	{TTL: ttl, Semantics: api.AtMostOnce}}

// owned is a delivery in its owner's journal.
type owned struct {
	Item
	no     int    // as taken on
	life   uint64 // of the relay's folder that it was sent to; 0: never
	sentAt api.Micros
	beside bool
	late   bool // dead-lettered here, after it may have run at the relay
}

// atRelay is one in the relay's journal.
type atRelay struct {
	Item
	called bool
}

type world struct {
	*rapid.T
	now   api.Micros
	epoch cluster.Epoch
	s     *Sender
	open  map[Delivery]*owned
	ends  map[Delivery]Outcome
	all   []*owned

	life  uint64
	r     *Receiver
	mark  Checkpoint
	held  []*atRelay
	owed  []Result
	fails bool // the relay's next write

	up, down []func()

	ran   map[Delivery][]api.Micros
	trace map[keyed][]int // what ran, by order taken
}

func (o *owned) is() Delivery   { return Delivery{Message: o.ID, Destination: o.Destinations[0]} }
func (h *atRelay) is() Delivery { return Delivery{Message: h.ID, Destination: h.Destinations[0]} }

func single(i Item, to api.DestinationID) Item {
	i.Destinations = []api.DestinationID{to}
	return i
}

func (w *world) add() {
	id := uint64(len(w.all))
	kind := rapid.IntRange(0, 2).Draw(w.T, "type")
	i := Item{ID: MessageID{Origin: "m1", Incarnation: 1, Number: id}, EventType: api.EventTypeID(kind), TTL: w.now + ttl,
		Key: api.OrderingKey(rapid.IntRange(0, 1).Draw(w.T, "key")), FirstAttemptAt: api.Never, Body: []byte("b"),
		IsAnnouncement: true, TokenWindow: types[kind].DedupWindow}
	i.Destinations = [][]api.DestinationID{{1}, {2}, {1, 2}, {1, 2, 3}}[rapid.IntRange(0, 3).Draw(w.T, "to")]
	for _, to := range i.Destinations {
		o := &owned{Item: single(i, to), no: len(w.all)}
		w.open[o.is()] = o
		w.all = append(w.all, o)
	}
	w.s.Add(i, api.Second, w.now)
	w.free()
}

// free gives this dispatcher's module what goes beside the stream.
func (w *world) free() {
	for _, d := range w.s.TakeBypassing() {
		if o := w.open[d]; o.life != 0 && o.Repeats() {
			w.Fatalf("%v goes beside, was sent and may not run twice", d)
		}
		w.open[d].beside = true
	}
}

func (o *owned) Repeats() bool { return types[o.EventType].Semantics == api.AtMostOnce }

func (w *world) end(d Delivery, how Outcome) {
	if was, over := w.ends[d]; over {
		w.Fatalf("%v ended as %d and again as %d", d, was, how)
	}
	w.ends[d] = how
	delete(w.open, d)
	w.s.Complete(d)
	w.free()
}

func (w *world) rule(of []InDoubt, lost bool) {
	rule := func(u InDoubt) Resolution {
		o := w.open[u.Delivery]
		return Resolve(&o.Item, u.SentAt, types[o.EventType], lost, o.TTL, w.now)
	}
	courses := ResolveLost(of, rule)
	for i, u := range of {
		o := w.open[u.Delivery]
		if !lost {
			courses[i] = rule(u)
		}
		switch courses[i] {
		case ResolveRetry:
			o.beside, o.FirstAttemptAt = true, u.SentAt
			if o.Key == 0 || !lost { // an ordered one is beside in the sender's eyes till it ends
				w.s.Complete(u.Delivery)
			}
		case ResolveDeadLetter:
			o.late = !lost
			w.end(u.Delivery, DeadLettered)
		}
	}
	w.free()
}

func (w *world) gone() { w.rule(w.s.MarkUnreachable(), false) }

func (w *world) answered(a Ack) {
	if !w.s.HandleAck(a, w.now) {
		w.gone()
	}
}

// send sends a frame, noted first.
func (w *world) send() {
	f, ok := w.s.NextFrame(w.now)
	if !ok {
		return
	}
	items, _, err := f.Unpack()
	if err != nil {
		w.Fatal(err)
	}
	for _, i := range items {
		for _, to := range i.Destinations {
			if o := w.open[Delivery{Message: i.ID, Destination: to}]; o != nil && o.life == 0 {
				o.life, o.sentAt = w.s.life, w.now
			}
		}
	}
	raw := Encode(f)
	w.up = append(w.up, func() { w.frame(raw) })
}

func (w *world) frame(raw []byte) {
	var f Frame
	if err := Decode(raw, &f); err != nil {
		w.Fatal(err)
	}
	fresh, err := w.r.Receive(f)
	if err != nil {
		w.down = append(w.down, func() {
			if f.Generation == w.s.run {
				w.gone()
			}
		})
		return
	}
	if w.fails {
		w.r.Rollback()
		w.fails = false
		return
	}
	w.mark = w.r.Checkpoint()
	for _, i := range fresh {
		for _, to := range i.Destinations {
			w.held = append(w.held, &atRelay{single(i, to), i.FirstAttemptAt != api.Never})
		}
	}
	if len(w.held) > room {
		w.Fatalf("%d held, room for %d", len(w.held), room)
	}
	a := w.r.Ack(room, w.now+skew)
	w.down = append(w.down, func() { w.answered(a) })
}

func (w *world) ask() {
	ask := w.s.OpenRequest()
	w.up = append(w.up, func() {
		held, err := w.r.Open(ask)
		w.mark = w.r.Checkpoint()
		a := w.r.Ack(room, w.now+skew)
		a.Pending = held
		w.down = append(w.down, func() {
			w.answered(a)
			again, lost := w.s.HandleOpened(ask, a, err != nil, w.now)
			for _, d := range again {
				w.open[d].life = 0
			}
			w.rule(lost, true)
		})
	})
}

// tell tells the owner of ends; it says which it has in its journal.
func (w *world) tell() {
	ends, a, r := w.r.UnacknowledgedResults("m1", rapid.IntRange(1, 4).Draw(w.T, "ends")), w.r.Ack(room, w.now+skew), w.r
	w.down = append(w.down, func() {
		w.answered(a)
		var heard []Delivery
		for _, e := range ends {
			at, o := Location(0), w.open[e.Delivery]
			if o != nil && o.beside {
				at = LocationLocal
			} else if o != nil {
				at = LocationRelay
			}
			if ActionForResult(e, at, o != nil && o.Key != 0) != IgnoreResult {
				w.end(e.Delivery, e.Outcome)
			}
			heard = append(heard, e.Delivery)
		}
		w.up = append(w.up, func() {
			if w.r == r || w.r.mark.Incarnation == r.mark.Incarnation {
				w.r.AcknowledgeResults(heard)
				w.owed = slices.DeleteFunc(w.owed, func(e Result) bool { return slices.Contains(heard, e.Delivery) })
			}
		})
	})
}

func TestEveryDeliveryEndsOnceUnderAnyFault(t *testing.T) { rapid.Check(t, play) }
