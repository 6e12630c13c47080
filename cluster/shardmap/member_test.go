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
			p.mem[n].in(n, func(k *Known, name Name) { k.Came(name) })
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
	e.in(n, func(k *Known, name Name) { k.Undo(name, p.before.record(name), p.before.known) })
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
		p.mem[m.w].in(m.w, func(k *Known, n Name) { r.reply, _ = k.Offered(n, m.hand, ttl, 0, true) })
		w.whileItComes(r)
		return
	}
	p.out, p.before, p.of = r, p.mem[m.w], m.w
	if m.life != p.life && !w.wrong.otherLife {
		w.says(m.to, Refuses)
		return
	}
	var admits bool
	if m.move != 0 {
		admits = w.seen(m.to).Passes(MoveID(m.move), who[m.to]) == Take
	} else {
		a, _ := w.seen(m.to).Admit(w.tenant(m.to), 0, cluster.Version(m.ver))
		admits = a == Take
	}
	var taking Taking
	p.mem[m.w].in(m.w, func(k *Known, n Name) {
		r.reply, taking = k.Offered(n, m.hand, ttl, api.Micros(w.now), admits)
	})
	p.out.reply = r.reply
	switch c := p.copies[m.w]; {
	case taking == Takes && full:
		p.out.reply = Refuses
		p.does(m.w, writes, undoes, writes, goes)
	case taking == Takes && w.wrong.hasFirst:
		p.does(m.w, goes, writes, journals)
		w.step(m.to)
	case taking == Takes:
		p.does(m.w, writes, journals, cameAndGoes)
	case taking == Back:
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

func (w *world) says(i int8, r Reply) {
	p := &w.at[i]
	p.out.reply = r
	p.does(p.of, goes)
	w.step(i)
}

// whileItComes answers what is heard of a webhook between its record and its place in the journal.
func (w *world) whileItComes(r message) {
	if r.ran, r.move = -1, 0; w.wrong.hasComing && r.reply == Silent {
		r.reply = Has
	}
	w.send(r)
}

// isAsked takes the question who has it.
func (w *world) isAsked(m message) {
	p := &w.at[m.to]
	r := message{kind: answer, of: ask, from: m.to, to: m.from, w: m.w, hand: m.hand, ran: -1}
	if p.busy() {
		p.mem[m.w].in(m.w, func(k *Known, n Name) { r.reply, _ = k.Asked(n, m.hand, ttl) })
		w.whileItComes(r)
		return
	}
	p.out, p.of = r, m.w
	if m.life != p.life && !w.wrong.otherLife {
		w.says(m.to, Forgot)
		return
	}
	fresh := false
	p.mem[m.w].in(m.w, func(k *Known, n Name) { r.reply, fresh = k.Asked(n, m.hand, ttl) })
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
		p.mem[n].in(n, func(k *Known, name Name) {
			kept = k.Sent(name, m.hand, ttl, Offer{who[m.to], uint64(m.life), 0, 1, cluster.Epoch(m.epoch),
				api.Micros(m.sent), true})
		})
		p.entered[n], p.out = false, message{ran: -1}
		if w.promised[n] = w.promised[n] || !kept; kept {
			p.does(n, writes, journals, promises)
		}
		return
	}
	w.settles(i, n, m.hand, Silent, m.kind)
}

// settles is what an answer does to who asked or offered.
func (w *world) settles(i, n int8, hand Hand, r Reply, of kind) {
	p := &w.at[i]
	s, o, out := Wait, Offer{}, false
	p.mem[n].in(n, func(k *Known, name Name) {
		if w.wrong.refusesFinal && k.names[name] != nil && r == Refuses {
			k.names[name].Out.Unsure = false
		}
		s = k.Heard(name, hand, r)
		var h Hand
		o, h, out = k.Out(name)
		out = out && h == hand
	})
	if ran := api.Micros(p.copies[n].ran); s == Wait && out && of == ask {
		s = o.Settle(r, w.ended(i, o), w.event(), ran, ttl, api.Micros(w.now))
	}
	p.out = message{ran: earliest(p.copies[n].ran, int8(o.SentAt))}
	switch s {
	case Wait:
		p.out = message{}
	case Drop:
		p.does(n, drops, writes)
	case Own:
		p.does(n, writes)
	case Ends:
		p.mem[n].in(n, func(k *Known, name Name) { k.Heard(name, hand, Has) })
		p.does(n, ends, writes)
	case Anew:
		p.mem[n].in(n, func(k *Known, name Name) {
			if k.Forked(name); w.wrong.forkLow {
				k.names[name].Hand = hand
			}
		})
		w.forked[n] = true
		p.does(n, notes, writes)
	}
}
