package shardmap

import (
	"slices"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// What a member does, as cluster/member has to: each webhook under a lock of its own, one durable write at a
// time.

func (w *world) send(m message) {
	i := slices.IndexFunc(w.net[:], func(m message) bool { return m.kind == none })
	if i < 0 {
		return // lost
	}
	w.net[i] = m
	slices.SortFunc(w.net[:], func(a, b message) int { return b.compare(a) })
}

func (w *world) room() bool { return w.net[mostMessages-1].kind == none }

func (p *process) does(webhook int8, acts ...act) {
	p.todo, p.of = [mostActs]act{}, webhook
	copy(p.todo[:], acts)
}

// step does the next of what a member has begun, and what comes after it up to the next durable write.
func (w *world) step(i int8) {
	p := &w.at[i]
	for first := true; p.busy() && (first || p.todo[0] >= goes && p.todo[0] != calls); first = false {
		a, n := p.todo[0], p.of
		copy(p.todo[:], p.todo[1:])
		p.todo[mostActs-1] = rests
		c := &p.copies[n]
		switch a {
		case writes:
			p.disk[n] = p.mem[n]
		case journals:
			*c = held{here: true, ran: p.out.ran, came: p.out.move}
		case notes:
			c.ran = p.out.ran
		case drops:
			*c = held{}
		case ends:
			*c, w.told[n] = held{}, true
		case cameAndGoes:
			p.mem[n].in(n, func(k *CustodyTable, name WebhookID) { k.ConfirmStored(name) })
			w.goes(i)
		case goes:
			w.goes(i)
		case promises:
			w.promised[n] = true
		case undoes:
			p.mem[n] = p.undone(n)
		case calls:
			w.lands(i, n)
		}
	}
	if !p.busy() {
		p.out, p.before, p.of = message{}, entry{}, 0
	}
}

func (p *process) undone(n int8) entry {
	e := p.mem[n]
	e.in(n, func(k *CustodyTable, name WebhookID) { k.Rollback(name, p.before.record(name), p.before.known) })
	return e
}

func (w *world) goes(i int8) {
	p := &w.at[i]
	if w.send(p.out); p.out.kind != answer {
		p.waits[p.of] = p.out
	}
}

func (w *world) lands(i, n int8) {
	p := &w.at[i]
	if w.effects[n]++; w.effects[n] == 1 {
		w.first[n] = int8(w.now)
	}
	switch again := w.effects[n] > 1; {
	case again && w.repeat == api.AtMostOnce:
		w.broken = "an at-most-once webhook was called twice"
	case again && w.repeat == api.Deduplicated && api.Micros(w.now) >= api.Micros(w.first[n])+window:
		w.broken = "a tokened webhook was called again after its window"
	}
	w.effects[n] = min(w.effects[n], 2)
	p.copies[n].calling = true
}

// hears takes an offer. full: it can't be taken on.
func (w *world) hears(m message, full bool) {
	p := &w.at[m.to]
	r := message{kind: answer, of: m.kind, from: m.to, to: m.from, w: m.w, hand: m.hand, ran: m.ran,
		move: m.move}
	if p.busy() {
		p.mem[m.w].in(m.w, func(k *CustodyTable, n WebhookID) { r.reply, _ = k.HandleOffer(n, m.hand, ttl, 0, true) })
		w.whileItComes(r)
		return
	}
	p.out, p.before, p.of = r, p.mem[m.w], m.w
	if m.life != p.life && !w.wrong.otherLife {
		w.says(m.to, CustodyRejected)
		return
	}
	var admits bool
	if m.move != 0 {
		admits = w.seen(m.to).AdmitTransfer(MoveID(m.move), who[m.to]) == AdmissionAccepted
	} else {
		a, _ := w.seen(m.to).AdmitKey(w.tenant(m.to), 0, cluster.Version(m.ver))
		admits = a == AdmissionAccepted
	}
	var taking OfferOutcome
	p.mem[m.w].in(m.w, func(k *CustodyTable, n WebhookID) {
		r.reply, taking = k.HandleOffer(n, m.hand, ttl, api.Micros(w.now), admits)
	})
	p.out.reply = r.reply
	switch c := p.copies[m.w]; {
	case taking == OfferTaken && full:
		p.out.reply = CustodyRejected
		p.does(m.w, writes, undoes, writes, goes)
	case taking == OfferTaken && w.wrong.hasFirst:
		p.does(m.w, goes, writes, journals)
		w.step(m.to)
	case taking == OfferTaken:
		p.does(m.w, writes, journals, cameAndGoes)
	case taking == OfferReturnsCopy:
		p.out.ran = earliest(p.out.ran, c.ran)
		p.copies[m.w].came = m.move
		p.does(m.w, notes, writes, goes)
	case p.mem[m.w] != p.before:
		p.does(m.w, writes, goes)
	default:
		w.says(m.to, r.reply)
	}
}

// earliest: -1 is never.
func earliest(a, b int8) int8 {
	if a < 0 || b < 0 {
		return max(a, b)
	}
	return min(a, b)
}

func (w *world) says(i int8, r CustodyReply) {
	p := &w.at[i]
	p.out.reply = r
	p.does(p.of, goes)
	w.step(i)
}

// whileItComes answers what is heard of a webhook between its record and its place in the journal.
func (w *world) whileItComes(r message) {
	if r.ran, r.move = -1, 0; w.wrong.hasComing && r.reply == CustodyUnknown {
		r.reply = CustodyTaken
	}
	w.send(r)
}

// isAsked takes the question who has it.
func (w *world) isAsked(m message) {
	p := &w.at[m.to]
	r := message{kind: answer, of: ask, from: m.to, to: m.from, w: m.w, hand: m.hand, ran: -1}
	if p.busy() {
		p.mem[m.w].in(m.w, func(k *CustodyTable, n WebhookID) { r.reply, _ = k.HandleQuery(n, m.hand, ttl) })
		w.whileItComes(r)
		return
	}
	p.out, p.of = r, m.w
	if m.life != p.life && !w.wrong.otherLife {
		w.says(m.to, CustodyStateLost)
		return
	}
	fresh := false
	p.mem[m.w].in(m.w, func(k *CustodyTable, n WebhookID) { r.reply, fresh = k.HandleQuery(n, m.hand, ttl) })
	if p.out.reply = r.reply; fresh && !w.wrong.neverLost {
		p.does(m.w, writes, goes)
		return
	}
	w.says(m.to, r.reply)
}

// unheard is what follows where an offer or a question had no answer in time.
func (w *world) unheard(i, n int8) {
	p := &w.at[i]
	m := p.waits[n]
	p.waits[n] = message{}
	if p.entered[n] {
		kept := false
		p.mem[n].in(n, func(k *CustodyTable, name WebhookID) {
			kept = k.RecordUnansweredForward(name, m.hand, ttl, Offer{who[m.to], uint64(m.life), 0, 1, cluster.Epoch(m.epoch),
				api.Micros(m.sent), true})
		})
		p.entered[n], p.out = false, message{ran: -1}
		if w.promised[n] = w.promised[n] || !kept; kept {
			p.does(n, writes, journals, promises)
		}
		return
	}
	w.settles(i, n, m.hand, CustodyUnknown, m.kind)
}

// settles is what an answer does to who asked or offered.
func (w *world) settles(i, n int8, hand HandoffNumber, r CustodyReply, of kind) {
	p := &w.at[i]
	s, o, out := StayInDoubt, Offer{}, false
	p.mem[n].in(n, func(k *CustodyTable, name WebhookID) {
		if w.wrong.refusesFinal && k.records[name] != nil && r == CustodyRejected {
			k.records[name].Offer.Uncertain = false
		}
		s = k.HandleReply(name, hand, r)
		var h HandoffNumber
		o, h, out = k.OutstandingOffer(name)
		out = out && h == hand
	})
	if ran := api.Micros(p.copies[n].ran); s == StayInDoubt && out && of == ask {
		s = o.Resolve(r, w.ended(i, o), w.event(), ran, ttl, api.Micros(w.now))
	}
	p.out = message{ran: earliest(p.copies[n].ran, int8(o.SentAt))}
	switch s {
	case StayInDoubt:
		p.out = message{}
	case DropCopy:
		p.does(n, drops, writes)
	case KeepCopy:
		p.does(n, writes)
	case DeadLetterCopy:
		p.mem[n].in(n, func(k *CustodyTable, name WebhookID) { k.HandleReply(name, hand, CustodyTaken) })
		p.does(n, ends, writes)
	case ForkCopy:
		p.mem[n].in(n, func(k *CustodyTable, name WebhookID) {
			if k.Fork(name); w.wrong.forkLow {
				k.records[name].Handoff = hand
			}
		})
		w.forked[n] = true
		p.does(n, notes, writes)
	}
}
