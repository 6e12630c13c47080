package shardmap

import (
	"fmt"
	"slices"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// move is one thing that may happen next: i is whose, or which message's; n is which webhook's. calm: it also
// happens where no fault does; those that come first are done first then.
type move struct {
	name string
	i, n int8
	calm bool
	do   func(w *world, i, n int8)
}

func (m move) String() string { return fmt.Sprintf("%s: %d %d", m.name, m.i, m.n) }

// moves are all that may happen in this state.
func (w *world) moves(all []move) []move {
	add := func(may bool, name string, i, n int8, calm bool, do func(*world, int8, int8)) {
		if may {
			all = append(all, move{name, i, n, calm, do})
		}
	}
	for i := range w.members {
		add(w.at[i].busy(), "goes on", i, 0, true, func(w *world, i, _ int8) { w.step(i) })
	}
	for i, m := range w.net {
		to := &w.at[m.to]
		if m.kind == none || to.busy() && !(m.kind != answer && to.mem[m.w].comes) {
			continue
		}
		add(true, "arrives", int8(i), 0, true, func(w *world, i, _ int8) { w.arrives(i, false, false) })
		again := w.left.doubles > 0 && w.room() && (m.kind == ask || m.again)
		add(again, "arrives, and will again", int8(i), 0, false,
			func(w *world, i, _ int8) {
				w.left.doubles--
				w.arrives(i, true, false)
			})
		add(w.left.fulls > 0 && m.kind == offer && !to.busy(), "arrives, not taken on", int8(i), 0, false,
			func(w *world, i, _ int8) {
				w.left.fulls--
				w.arrives(i, false, true)
			})
	}
	for i := range w.net {
		add(w.net[i].kind != none, "is lost", int8(i), 0, false, func(w *world, i, _ int8) { w.lose(i) })
	}
	for i := range w.members {
		add(w.at[i].chart != w.chart, "learns the map", i, 0, true, func(w *world, i, _ int8) {
			w.at[i].chart = w.chart
		})
	}
	all = w.homeMoves(all)
	for i := range w.members {
		for n := range w.webhooks {
			all = w.webhookMoves(i, n, all)
		}
	}
	for i := range w.members {
		add(w.left.crashes > 0, "crashes and starts again", i, 0, false, func(w *world, i, _ int8) {
			w.left.crashes--
			w.crashes(i)
		})
		add(w.left.folders > 0, "crashes and loses its folder", i, 0, false, func(w *world, i, _ int8) {
			w.left.folders--
			w.losesFolder(i)
		})
	}
	add(w.left.times > 0 && !w.isCalling(), "time goes on", 0, 0, false, func(w *world, _, _ int8) {
		w.left.times--
		w.now++
	})
	return all
}

// isCalling: between the last look and the call time stands still here. See docs/cluster.md for that gap.
func (w *world) isCalling() bool {
	return slices.ContainsFunc(w.at[:], func(p process) bool { return slices.Contains(p.todo[:], calls) })
}

func (w *world) lose(i int8) {
	copy(w.net[i:], w.net[i+1:])
	w.net[mostMessages-1] = message{}
}

func (w *world) arrives(i int8, again, full bool) {
	m := w.net[i]
	if !again {
		w.lose(i)
	}
	switch m.kind {
	case offer:
		w.hears(m, full)
	case ask:
		w.isAsked(m)
	case answer:
		w.answered(m)
	}
}

func (w *world) answered(m message) {
	p := &w.at[m.to]
	asked := p.waits[m.w]
	mine := asked.kind == m.of && asked.to == m.from && asked.hand == m.hand
	switch {
	case p.entered[m.w] && !mine: // nobody waits for it
	case p.entered[m.w] && m.reply == CustodyUnknown:
		w.unheard(m.to, m.w)
	case p.entered[m.w] && m.reply == CustodyTaken:
		p.entered[m.w], p.waits[m.w], w.promised[m.w] = false, message{}, true
	case p.entered[m.w]:
		p.waits[m.w] = message{}
		w.keeps(m.to, m.w)
	default:
		if mine {
			p.waits[m.w] = message{}
		}
		w.settles(m.to, m.w, m.hand, m.reply, m.of)
	}
}

// keeps: a client's webhook is taken on by who has it.
func (w *world) keeps(i, n int8) {
	p := &w.at[i]
	p.entered[n], p.out = false, message{ran: -1}
	p.does(n, journals, promises)
}

func (w *world) webhookMoves(i, n int8, all []move) []move {
	p := &w.at[i]
	add := func(may bool, name string, calm bool, do func(*world, int8, int8)) {
		if may {
			all = append(all, move{name, i, n, calm, do})
		}
	}
	if p.busy() {
		return all
	}
	v, c, waits := w.verdict(i), p.copies[n], p.waits[n].kind != none
	add(w.left.clients&(1<<n) != 0, "a client hands in", true, func(w *world, i, n int8) {
		w.left.clients &^= 1 << n
		if w.at[i].entered[n] = true; w.verdict(i).Action != Forward {
			w.keeps(i, n)
			return
		}
		w.offers(i, n, 0, w.verdict(i).Owner)
	})
	add(waits && !slices.ContainsFunc(w.net[:], func(m message) bool {
		return m.kind != none && m.w == n && (m.from == i || m.to == i)
	}), "has no answer", true, (*world).unheard)
	add(waits, "gives up waiting", false, (*world).unheard)
	if !c.here || waits && !w.wrong.callsInDoubt {
		return all
	}
	doubts := p.mem[n].to > 0
	parked := c.came != 0 && w.seen(i).OwnerByMove(MoveID(c.came)) == OwnerUndecided
	if !doubts || w.wrong.callsInDoubt {
		add(c.calling, "its call ends", true, func(w *world, i, n int8) { w.endsIt(i, n) })
		add(c.calling && w.left.unknowns > 0, "its call ends unknown", false, func(w *world, i, n int8) {
			w.left.unknowns--
			w.at[i].copies[n].calling = false
		})
		fate := w.carried(i, n).DecideTransfer(w.event(), 0, 9, api.Micros(w.now))
		add(!c.calling && fate != TransferWebhook, "ends it", true, (*world).endsIt)
		add(!c.calling && fate == TransferWebhook && !parked && v.AllowsCall(false), "calls", true, (*world).begins)
		to, id := v.Owner, MoveID(0)
		if v.Action == ParkOwned && v.Move.From == who[i] {
			to, id = v.Move.To, v.Move.ID
		}
		away := v.Action == Forward || id != 0
		add(!doubts && !c.calling && fate == TransferWebhook && !parked && away && w.room(), "hands on", true,
			func(w *world, i, n int8) { w.offers(i, n, id, to) })
		return all
	}
	o := p.mem[n].record(named(n)).Offer
	add(w.room(), "asks", true, func(w *world, i, n int8) {
		e := w.at[i].mem[n]
		w.at[i].waits[n] = message{kind: ask, from: i, to: e.to - 1, w: n, hand: e.hand, life: e.life}
		w.send(w.at[i].waits[n])
	})
	add(w.room(), "offers again", false, func(w *world, i, n int8) { w.offers(i, n, o.Move, o.To) })
	return all
}

func (w *world) begins(i, n int8) {
	p := &w.at[i]
	if p.out.ran = earliest(p.copies[n].ran, int8(w.now)); p.disk[n].comes && !w.wrong.cameLate {
		p.does(n, writes, notes, calls)
		return
	}
	p.does(n, notes, calls)
}

func (w *world) endsIt(i, n int8) {
	if p := &w.at[i]; p.disk[n].comes && !w.wrong.cameLate {
		p.does(n, writes, ends)
		return
	}
	w.at[i].does(n, ends)
}

func (w *world) carried(i, n int8) TransferredWebhook {
	return TransferredWebhook{ID: named(n), TTL: ttl, FirstRunAt: api.Micros(w.at[i].copies[n].ran)}
}

// offers sends a webhook to another member; a client's that only comes in has no record yet.
func (w *world) offers(i, n int8, id MoveID, to cluster.MemberID) {
	p, chart := &w.at[i], w.seen(i)
	m := message{kind: offer, from: i, to: member(to), w: n, ran: -1, move: uint8(id), ver: uint8(chart.Version),
		epoch: uint8(chart.Ranges[0].Epoch), sent: w.now, life: w.at[member(to)].life}
	if p.entered[n] {
		p.mem[n].in(n, func(k *CustodyTable, name WebhookID) { m.hand = k.NextHandoff(name) })
		p.waits[n] = m
		w.send(m)
		return
	}
	if c := p.copies[n]; !w.wrong.ranLost {
		m.ran = c.ran
	}
	ok, again := false, p.mem[n].to > 0
	if again {
		m.life = p.mem[n].life
	}
	p.mem[n].in(n, func(k *CustodyTable, name WebhookID) {
		next := k.NextHandoff(name)
		m.hand, ok = k.BeginOffer(name, ttl, Offer{To: to, Incarnation: uint64(m.life), Move: id, Range: 1,
			Epoch: cluster.Epoch(m.epoch), SentAt: api.Micros(w.now)})
		if w.wrong.handStays && !again && next > 1 {
			m.hand = next - 1
			k.records[name].Handoff = m.hand
		}
	})
	m.again = again
	if p.out = m; ok && again {
		p.of = n
		p.does(n, goes)
		w.step(i)
	} else if ok {
		p.does(n, writes, goes)
	}
}
