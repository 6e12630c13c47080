package engine

import (
	"rowanlink/cluster"
	"rowanlink/cluster/shardmap"
	eventpkg "rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// offer is a webhook on its way to its home.
type offer struct {
	h        *held // as it was sent
	from, to int32
	life     uint32 // of its sender
	hand     uint32
	by       shardmap.Decision
	at       api.Micros
	folder   uint32 // of whom it was sent to, by then
	hops     int
	fresh    bool // its client waits, and nothing is in the sender's journal yet

	over   bool // its sender has an answer, or waits no more
	gone   bool // lost, or not taken: it comes to nothing more
	taken  bool
	kept   bool // its sender keeps a copy
	orphan bool // its sender died while its client waited

	reply   shardmap.CustodyReply
	refused shardmap.Admission
	told    shardmap.Decision
	full    bool
}

// away sends a client's webhook to its home; false: it is to be taken on here.
func (h *homes) away(d *dispatcher, w *held) bool {
	w.custody = custody{doubt: none, tookAt: never}
	v := d.verdict(h.m.origins[w.origin].dest)
	if v.Action != shardmap.Forward || h.deeds.calls(v) {
		return false
	}
	if d.frozenUntil > h.m.now { // it is heard when the dispatcher goes on
		h.m.after(d.frozenUntil-h.m.now, event{kind: evHandIn, a: w.origin})
		return true
	}
	h.send(d, w, v, 0, true)
	return true
}

func (h *homes) send(d *dispatcher, w *held, v shardmap.Decision, hops int, fresh bool) {
	h.hands++
	n := int32(len(h.offers))
	to := &h.m.dispatchers[h.numbers[v.Owner]]
	h.offers = append(h.offers, offer{h: w, from: d.number, to: to.number, life: d.life, hand: h.hands, by: v,
		at: h.m.now, folder: to.member.folder, hops: hops, fresh: fresh})
	if w.offered, w.offer = true, n; fresh {
		d.member.out[n] = true
	}
	if h.offers[n].gone = h.lost(); !h.offers[n].gone {
		h.m.after(h.way(d.zone, to.zone), event{kind: evOffer, a: n})
	}
	h.m.after(answerWithin/hopShare, event{kind: evOfferOver, a: n})
}

// offered is an offer at whom it was sent to.
func (h *homes) offered(n int32) {
	o := &h.offers[n]
	d := &h.m.dispatchers[o.to]
	switch {
	case !d.up: // its connection is refused: surely it is not there
		h.comesToNothing(n, shardmap.CustodyNever)
		return
	case d.frozenUntil > h.m.now:
		h.m.queue.Add(int64(d.frozenUntil), event{kind: evOffer, a: n})
		return
	}
	dest, id := h.m.origins[o.h.origin].dest, o.h.id
	known, here := d.member.known[id], d.held[id]
	switch {
	case here != nil && !here.journaled:
		return // in its inbox from elsewhere: no answer yet
	case here != nil && (here.doubt != none || here.offered): // it is this one's: whoever has it lets it go
		here.doubt, here.offered, here.attempts = none, false, max(here.attempts, o.h.attempts)
		if here.mayRun == never {
			here.mayRun, here.zone = o.h.mayRun, o.h.zone
		}
		h.has(d, here, o.hand)
		h.says(n, shardmap.CustodyTaken)
		return
	case here != nil && !known.here: // it came to both, and is this one's own
		h.has(d, here, o.hand)
		h.says(n, shardmap.CustodyTaken)
		return
	case known.took >= o.hand || known.here:
		h.says(n, shardmap.CustodyTaken)
		return
	case known.not >= o.hand:
		h.comesToNothing(n, shardmap.CustodyNever)
		return
	}
	admission, told := d.member.admits(d.tenant(), h.keys[dest], o.by.Version)
	o.refused, o.told = admission, told
	o.full = admission == shardmap.AdmissionAccepted && d.open >= h.m.plan.Dispatchers.Buffer
	if admission != shardmap.AdmissionAccepted || o.full || h.m.now >= h.m.origins[o.h.origin].ttl {
		if o.full && o.fresh {
			h.m.Bus.Emit(eventpkg.Event{At: h.m.now, Kind: eventpkg.BufferFull, Dispatcher: d.number,
				Request: eventpkg.RequestID(o.h.origin), Destination: dest, EventType: h.m.origins[o.h.origin].evt})
		}
		h.comesToNothing(n, shardmap.CustodyNever)
		return
	}
	o.refused = 0
	if o.taken = true; !o.fresh || o.kept {
		h.second(o.h.origin)
	}
	d.take(&held{id: id, origin: o.h.origin, attempts: o.h.attempts, mayRun: o.h.mayRun, zone: o.h.zone,
		call: -1, custody: custody{doubt: none, tookAt: h.m.now}}, n)
	if h.deeds.early {
		h.says(n, shardmap.CustodyTaken)
	}
}

// second counts one more copy of a webhook, of which the first may have ended.
func (h *homes) second(n int32) {
	o := &h.m.origins[n]
	if o.live == 0 {
		h.m.open++
	}
	o.live++
}

// has notes that what another sent is here already.
func (h *homes) has(d *dispatcher, here *held, by uint32) {
	d.member.known[here.id] = hand{took: by, here: true}
	h.m.Bus.Emit(h.m.about(eventpkg.HandoffAccepted, d, here, eventpkg.Event{}))
	d.put(news{kind: newsGate})
}

func (b *fellow) admits(who shardmap.LocalMember, key cluster.KeyHash,
	by cluster.Version) (shardmap.Admission, shardmap.Decision) {
	if b.chart == nil {
		return shardmap.AdmissionMapStale, shardmap.Decision{}
	}
	return b.chart.AdmitKey(who, key, by)
}

// comesToNothing notes that an offer is not taken by this try and never will be, and says so.
func (h *homes) comesToNothing(n int32, reply shardmap.CustodyReply) {
	o := &h.offers[n]
	if o.gone = true; o.orphan {
		h.m.close(o.h.origin)
	}
	h.says(n, reply)
}

func (h *homes) says(n int32, reply shardmap.CustodyReply) {
	o := &h.offers[n]
	o.reply = reply
	if !h.lost() {
		h.m.after(h.way(h.m.dispatchers[o.to].zone, h.m.dispatchers[o.from].zone), event{kind: evTold, a: n})
	}
}

// takesOn is a webhook that is in the journal: its client may be told so, as the turn's end does for offers.
func (d *dispatcher) takesOn(w *held, by int32) {
	w.journaled = true
	if by != none {
		o := &d.m.homes.offers[by]
		d.member.known[w.id] = hand{took: o.hand, here: true}
		d.m.Bus.Emit(d.m.about(eventpkg.HandoffAccepted, d, w, eventpkg.Event{Attempt: w.attempts}))
		w.unsaid = true
		d.member.says = append(d.member.says, by)
	}
	d.begins(w)
}

// answerOffers says what the turn's journal holds.
func (d *dispatcher) answerOffers() {
	if d.member == nil {
		return
	}
	for _, n := range d.member.says {
		if w := d.held[d.m.homes.offers[n].h.id]; w != nil {
			w.unsaid = false
		}
		d.m.homes.says(n, shardmap.CustodyTaken)
	}
	d.member.says = d.member.says[:0]
}

// unanswered is an offer that was in the inbox of a dispatcher that dies: its sender still has it.
func (h *homes) unanswered(d *dispatcher, n news) {
	o := &h.offers[n.offer]
	delete(d.held, n.id)
	if o.taken, o.gone = false, true; o.kept || !o.fresh || o.orphan {
		h.m.close(o.h.origin)
	}
}
