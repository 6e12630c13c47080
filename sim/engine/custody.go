package engine

import (
	"maps"
	"slices"

	"rowanlink/cluster/shardmap"
	eventpkg "rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// custody is whose a webhook is that another dispatcher may have.
type custody struct {
	doubt     int32 // the offer that nobody answered, or none
	offered   bool  // on its way, by offer
	offer     int32
	journaled bool       // here
	tookAt    api.Micros // from another dispatcher, else never
	forgot    bool       // by whom it was sent to, with its folder
	unsaid    bool       // and who sent it has not been told
}

// hand is what a dispatcher's folder knows of a webhook by its name.
type hand struct {
	took uint32 // by this try
	not  uint32 // by no try up to this one
	here bool   // it did not go on
}

// mayGoOn is whether a webhook that a silent home may have called goes to the next one, as one that may have
// run. It needs the log's word that the home's right to call is over.
func mayGoOn(w *held, e *EventType, ended bool, now api.Micros) bool {
	tokened := e.Repeat == "tokened" && !e.ByZone && now < w.mayRun+e.Window.us()
	return ended && (e.Repeat == "idempotent" || tokened)
}

// unsure is for a dispatcher whose session was over with what it had: whoever sent it here and heard nothing
// may have gone on with it. Guards a token's window, which counts from the first call.
func (d *dispatcher) unsure() {
	for _, w := range d.held {
		e := &d.m.plan.Events[d.m.origins[w.origin].evt]
		if !w.ended && w.tookAt != never && w.mayRun == never && e.Repeat == "tokened" && !e.ByZone {
			w.mayRun = w.tookAt
		}
	}
}

// lookAt has a dispatcher look at what it has parked, once.
func (h *homes) lookAt(d *dispatcher, in api.Micros) {
	if !d.member.looks {
		d.member.looks = true
		h.m.after(in, event{kind: evLook, a: d.number, gen: d.life})
	}
}

// look hands on what belongs elsewhere and asks for what is in doubt.
func (h *homes) look(d *dispatcher) {
	b := d.member
	if b.looks = false; b.chart == nil { // a new map has it look
		return
	}
	for _, id := range slices.Sorted(maps.Keys(b.parked)) {
		w := b.parked[id]
		v := d.verdict(h.m.origins[w.origin].dest)
		switch {
		case w.doubt != none:
			h.settle(d, w)
		case h.deeds.calls(v):
			d.put(news{kind: newsGate})
		case v.Action == shardmap.Forward && !w.offered:
			h.send(d, w, v, 0, false)
		}
	}
	if len(b.parked) > 0 {
		h.lookAt(d, h.m.plan.Homes.Term.us()/looks)
	}
}

// settle asks who was sent a webhook whether it has it. One that stays silent may have called.
func (h *homes) settle(d *dispatcher, w *held) {
	o := &h.offers[w.doubt]
	r, ok := d.member.chart.RangeOf(h.keys[h.m.origins[w.origin].dest])
	ended := ok && (r.Owner != o.by.Owner || r.Epoch > o.by.Epoch) || w.forgot
	asked := *w
	if asked.mayRun == never {
		asked.mayRun = o.at
	}
	if h.deeds.settles(&asked, &h.m.plan.Events[h.m.origins[w.origin].evt], ended, h.m.now) {
		w.mayRun = asked.mayRun
		h.m.Bus.Emit(h.m.about(eventpkg.Recovered, d, w, eventpkg.Event{Attempt: w.attempts}))
		h.own(d, w)
		return
	}
	if !h.lost() {
		h.m.after(h.way(d.zone, h.m.dispatchers[o.to].zone), event{kind: evQuestion, a: w.doubt})
	}
}

// question is whether an offer was taken, at whom it was sent to, or the answer at its sender. A no is kept:
// what is still on its way comes in vain.
func (h *homes) question(n int32, back shardmap.CustodyReply) {
	o := &h.offers[n]
	if back != shardmap.CustodyUnknown {
		h.answered(n, back)
		return
	}
	d := &h.m.dispatchers[o.to]
	switch {
	case !d.up:
		return
	case d.frozenUntil > h.m.now:
		h.m.queue.Add(int64(d.frozenUntil), event{kind: evQuestion, a: n})
		return
	}
	known, here, reply := d.member.known[o.h.id], d.held[o.h.id], shardmap.CustodyNever
	away := here != nil && (here.doubt != none || here.offered)
	switch {
	case d.member.folder != o.folder:
		reply = shardmap.CustodyStateLost
	case away && h.offers[here.offer].hand > o.hand:
		return // it can't tell yet: were both to say so, each would let it go
	case known.took >= o.hand || known.here && !away:
		reply = shardmap.CustodyTaken
	case here != nil && !here.journaled:
		return // taken in the turn to come
	default:
		known.not = max(known.not, o.hand)
		d.member.known[o.h.id] = known
	}
	if !h.lost() {
		h.m.after(h.way(d.zone, h.m.dispatchers[o.from].zone), event{kind: evQuestion, a: n, b: int32(reply)})
	}
}

func (h *homes) answered(n int32, reply shardmap.CustodyReply) {
	o := &h.offers[n]
	d := &h.m.dispatchers[o.from]
	if !d.up || d.member.parked[o.h.id] != o.h || o.h.doubt != n {
		return
	}
	if reply == shardmap.CustodyStateLost {
		o.h.forgot = true
		return
	}
	if reply == shardmap.CustodyTaken {
		h.drop(d, o.h, o.to)
	} else {
		h.own(d, o.h)
	}
}

// own ends a doubt: a webhook is this dispatcher's. Guards against a second copy from one that took it on,
// was lost and came back.
func (h *homes) own(d *dispatcher, w *held) {
	d.member.known[w.id] = hand{took: max(d.member.known[w.id].took, h.offers[w.offer].hand), here: true}
	w.doubt, w.offered, w.forgot = none, false, false
	d.put(news{kind: newsGate})
	h.lookAt(d, 0)
}

// drop ends a copy that is another's.
func (h *homes) drop(d *dispatcher, w *held, to int32) {
	if d.held[w.id] != w || w.ended {
		return
	}
	h.m.Bus.Emit(h.m.about(eventpkg.HandoffAcknowledged, d, w, eventpkg.Event{Peer: to}))
	delete(d.held, w.id)
	delete(d.member.parked, w.id)
	if known := d.member.known[w.id]; known.here {
		known.here = false
		d.member.known[w.id] = known
	}
	d.open--
	h.m.close(w.origin)
}
