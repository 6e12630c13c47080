package emulator

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"rowanlink/emulator/seen"
	"rowanlink/gateway"
)

// dispatcher is one dispatcher round its module, and the module's Host.
type dispatcher struct {
	m      *Model
	number int32
	life   uint32 // counts its starts: what was meant for an earlier life reaches nobody
	seeds  *rand.Rand
	module gateway.Module
	weight float64 // of what the front deals out
	zone   gateway.ZoneID

	up, leaving bool
	unseenUntil gateway.Micros // the front takes it for well until then, though it is dead
	frozenUntil gateway.Micros
	turnedAt    gateway.Micros
	turnDue     bool
	inbox       []news
	held        map[gateway.WebhookID]*held
	open        int // of them, those that are owed their end
	kept        []*held
	out         int     // calls
	made        []int32 // calls of this turn, not yet departed
	links       map[int32]*links
	knows       int // changes of the list heard of
	listLate    gateway.Micros
	startsStale gateway.Micros
	killInTurn  *Trouble
	tookInTurn  []*held
	muted       bool
}

// held is a webhook at a dispatcher.
type held struct {
	id       gateway.WebhookID
	origin   int32
	attempts int
	mayRun   gateway.Micros
	zone     gateway.ZoneID
	sentAt   gateway.Micros
	sentZone gateway.ZoneID
	call     int32 // out, or -1
	ended    bool
}

// links are a dispatcher's idle connections to one endpoint, the longest idle first.
type links struct {
	idle  []gateway.Micros
	epoch uint32
	due   bool
}

// news is what waits for the next turn.
type news struct {
	kind    uint8
	id      gateway.WebhookID
	ep      gateway.EndpointID
	what    gateway.Outcome
	attempt int
	took    gateway.Micros
	wait    gateway.Micros
	timer   gateway.TimerID
	list    []gateway.Entry
	whole   bool
}

const (
	newsTake uint8 = iota
	newsOutcome
	newsWake
	newsList
)

// begin starts a dispatcher, the first time or again with what its folder holds.
func (m *Model) begin(n int32) {
	d := &m.dispatchers[n]
	d.life++
	d.up, d.leaving, d.inbox, d.turnDue, d.turnedAt = true, false, nil, false, m.now-m.plan.Dispatchers.Tick.us()
	d.zone = gateway.ZoneID(int(n) % len(m.plan.Net.Zones))
	d.held, d.links, d.open, d.out = map[gateway.WebhookID]*held{}, map[int32]*links{}, 0, 0
	d.made, d.killInTurn, d.muted = nil, nil, false
	m.Bus.Emit(seen.Event{At: m.now, What: seen.Started, Dispatcher: n})
	d.module = m.start(m.plan.Facts(int(n), d.seeds.Uint64()), d)
	stale := m.plan.Dispatchers.StartStale.us() + d.startsStale
	d.knows = 0
	for d.knows < len(m.changes) && m.changes[d.knows].at <= m.now-stale {
		d.knows++
	}
	list := m.base
	if d.knows > 0 {
		list = slices.Clone(m.base)
		for _, c := range m.changes[:d.knows] {
			same := func(e gateway.Entry) bool { return e.Endpoint == c.entry.Endpoint }
			if i := slices.IndexFunc(list, same); i >= 0 {
				list[i] = c.entry
			} else {
				list = append(list, c.entry)
			}
		}
		list = slices.DeleteFunc(list, func(e gateway.Entry) bool { return e.Standing == gateway.Gone })
	}
	d.put(news{kind: newsList, list: list, whole: true})
	if d.knows < len(m.changes) {
		m.after(within(m.chance, m.plan.Dispatchers.ListDelay).us()+d.listLate,
			event{kind: evList, a: n, b: int32(len(m.changes)), gen: d.life})
	}
	kept := d.kept
	d.kept = nil
	if len(kept) > 0 {
		d.hearList() // before what is owed: its destinations must be known
	}
	for _, h := range kept {
		o := &m.origins[h.origin]
		d.held[h.id] = h
		d.open++
		m.Bus.Emit(m.about(seen.Resumed, d, h, seen.Event{Attempt: h.attempts}))
		d.module.Resume(h.id, o.evt, o.tenant, o.key, o.ttl, o.dest, h.attempts, h.mayRun, h.zone)
	}
	d.wakeUp()
}

// hearList tells the module of the list that waits.
func (d *dispatcher) hearList() {
	d.inbox = slices.DeleteFunc(d.inbox, func(n news) bool {
		if n.kind == newsList {
			d.listed(n)
		}
		return n.kind == newsList
	})
}

func (d *dispatcher) listed(n news) {
	if d.m.Bus.Listened(seen.Told) {
		for _, e := range n.list {
			if e.Standing != gateway.Listed || !n.whole {
				d.m.Bus.Emit(seen.Event{At: d.m.now, What: seen.Told, Dispatcher: d.number, Endpoint: e.Endpoint,
					Destination: e.Destination, Standing: e.Standing})
			}
		}
	}
	d.module.Endpoints(n.list, n.whole)
}

// about is an event that concerns a webhook.
func (m *Model) about(what seen.What, d *dispatcher, h *held, e seen.Event) seen.Event {
	o := &m.origins[h.origin]
	e.At, e.What, e.Dispatcher, e.Webhook, e.Origin = m.now, what, d.number, h.id, seen.Origin(h.origin)
	e.Type, e.Destination, e.Key, e.TTL = o.evt, o.dest, o.key, o.ttl
	if e.Route == 0 {
		e.Route = seen.Route(m.dests[o.dest].route)
	}
	return e
}

// put adds news and sees to a turn.
func (d *dispatcher) put(n news) {
	d.inbox = append(d.inbox, n)
	d.wakeUp()
}

func (d *dispatcher) wakeUp() {
	if d.turnDue || !d.up {
		return
	}
	d.turnDue = true
	at := max(d.m.now, d.turnedAt+d.m.plan.Dispatchers.Tick.us(), d.frozenUntil)
	d.m.queue.Add(int64(at), event{kind: evTurn, a: d.number, gen: d.life})
}

func (m *Model) toDispatcher(d *dispatcher, e event) {
	switch e.kind {
	case evTurn:
		if d.turnDue = false; m.now < d.frozenUntil {
			d.wakeUp()
			return
		}
		m.turn(d)
	case evWake:
		d.put(news{kind: newsWake, timer: gateway.TimerID(e.b)})
	case evList:
		if to := int(e.b); to > d.knows {
			var list []gateway.Entry
			for _, c := range m.changes[d.knows:to] {
				list = append(list, c.entry)
			}
			d.knows = to
			d.put(news{kind: newsList, list: list})
		}
	case evIdle:
		m.closeIdle(d, e.b)
	}
}

// turn tells the module all that waits, closes the turn and lets its calls depart.
func (m *Model) turn(d *dispatcher) {
	d.turnedAt, d.tookInTurn = m.now, d.tookInTurn[:0]
	waiting := d.inbox
	d.inbox = nil
	if d.killInTurn != nil && slices.ContainsFunc(waiting, func(n news) bool { return n.kind == newsTake }) {
		d.muted = true
	}
	var began time.Time
	if m.Clocked {
		began = time.Now()
	}
	for i := range waiting {
		d.tell(&waiting[i])
	}
	d.module.TurnOver()
	if m.Clocked {
		m.Module += time.Since(began)
	}
	if d.inbox == nil {
		d.inbox = waiting[:0]
	}
	if d.muted {
		m.killMuted(d)
		return
	}
	for _, k := range d.made {
		m.depart(k)
	}
	d.made = d.made[:0]
}

func (d *dispatcher) tell(n *news) {
	m := d.m
	switch n.kind {
	case newsTake:
		h := d.held[n.id]
		o := &m.origins[h.origin]
		d.tookInTurn = append(d.tookInTurn, h)
		m.Bus.Emit(m.about(seen.Taken, d, h, seen.Event{}))
		d.module.Take(n.id, o.evt, o.tenant, o.key, o.ttl, o.dest)
	case newsOutcome:
		h := d.held[n.id]
		if h == nil {
			return
		}
		e := seen.Event{Attempt: n.attempt, Outcome: n.what, Endpoint: n.ep, Wait: n.wait}
		if i := indexOf(n.ep); i >= 0 {
			e.Route, e.Zone = seen.Route(m.endpoints[i].route), m.endpoints[i].zone
		}
		m.Bus.Emit(m.about(seen.Heard, d, h, e))
		h.call = -1
		if n.what == gateway.Delivered && !h.ended {
			m.end(d, h, seen.Delivered, 0)
		}
		if !n.what.NeverRan() && h.mayRun == never {
			h.mayRun, h.zone = h.sentAt, h.sentZone
		}
		ended := h.ended
		d.module.Outcome(n.id, n.ep, n.what, n.took, ended, n.wait)
		if ended {
			delete(d.held, n.id)
		}
	case newsWake:
		d.module.Wake(n.timer)
	case newsList:
		d.listed(*n)
	}
}

// end closes a webhook's stay here; its client may come again after a rejection.
func (m *Model) end(d *dispatcher, h *held, how seen.End, advised gateway.Micros) {
	h.ended = true
	d.open--
	o := &m.origins[h.origin]
	m.Bus.Emit(m.about(seen.Ended, d, h, seen.Event{End: how, Span: m.now - o.cameAt}))
	if h.call < 0 {
		delete(d.held, h.id)
	}
	switch how {
	case seen.Rejected:
		m.comeAgain(h.origin, advised)
	default:
		m.close(h.origin)
	}
}

// Now is the model's clock.
func (d *dispatcher) Now() gateway.Micros { return d.m.now }

// Attempt makes a delivery attempt, alone or in a call of this turn to the same endpoint that has room.
func (d *dispatcher) Attempt(id gateway.WebhookID, ep gateway.EndpointID, patience, _ gateway.Micros) {
	m, h, i := d.m, d.held[id], indexOf(ep)
	if h == nil || h.call >= 0 {
		// Nothing is held under this id, or it is out already: for an observer it is an attempt all the same.
		m.Bus.Emit(seen.Event{At: m.now, What: seen.Sent, Dispatcher: d.number, Webhook: id, Endpoint: ep})
		return
	}
	h.attempts++
	o := &m.origins[h.origin]
	known := i >= 0 && int(i) < len(m.endpoints) && m.endpoints[i].dest == o.dest
	if h.ended || !known || h.attempts > m.plan.Dispatchers.Attempts || m.now >= o.ttl {
		d.put(news{kind: newsOutcome, id: id, ep: ep, what: gateway.NotSent, attempt: h.attempts - 1})
		return
	}
	h.sentAt, h.sentZone = m.now, m.endpoints[i].zone
	if patience <= 0 || patience > o.ttl-m.now {
		patience = o.ttl - m.now
	}
	batch := m.dests[o.dest].kind.Batch
	at := int32(-1)
	for _, k := range d.made {
		if c := &m.calls[k]; c.ep == i && len(c.items) < batch {
			at = k
			break
		}
	}
	if at < 0 {
		if d.out >= m.plan.Dispatchers.Slots {
			d.put(news{kind: newsOutcome, id: id, ep: ep, what: gateway.NotSent, attempt: h.attempts - 1})
			return
		}
		d.out++
		at = m.newCall(d, i)
		d.made = append(d.made, at)
	}
	k := &m.calls[at]
	k.items = append(k.items, item{h: h})
	k.patience = min(k.patience, patience)
	h.call = at
	if !d.muted {
		m.Bus.Emit(m.about(seen.Sent, d, h, seen.Event{Attempt: h.attempts - 1, Endpoint: ep,
			Route: seen.Route(m.endpoints[i].route), Zone: m.endpoints[i].zone}))
	}
}

// Cancel calls off an attempt that is out.
func (d *dispatcher) Cancel(id gateway.WebhookID, _ int) {
	if h := d.held[id]; h != nil && h.call >= 0 {
		d.m.cancel(h.call, h)
	}
}

func (d *dispatcher) Reject(id gateway.WebhookID, advised gateway.Micros) {
	if h := d.held[id]; h != nil && !h.ended {
		d.m.end(d, h, seen.Rejected, advised)
	}
}

func (d *dispatcher) DeadLetter(id gateway.WebhookID) {
	if h := d.held[id]; h != nil && !h.ended {
		d.m.end(d, h, seen.DeadLettered, 0)
	}
}

func (d *dispatcher) Wake(in gateway.Micros, timer gateway.TimerID) {
	d.m.after(in, event{kind: evWake, a: d.number, b: int32(timer), gen: d.life})
}

func (d *dispatcher) CloseIdle(ep gateway.EndpointID) {
	if l := d.links[indexOf(ep)]; l != nil {
		s := &d.m.servers[d.m.endpoints[indexOf(ep)].server]
		if l.epoch == s.epoch {
			s.conns -= len(l.idle)
		}
		l.idle = l.idle[:0]
	}
}

func (d *dispatcher) Log(string) {}

// kill ends a dispatcher outright. With its journal, all that is not over is its own again at the next start;
// without, clients hand in again what may be repeated, once they notice.
func (m *Model) kill(d *dispatcher, t *Trouble) {
	if !d.up {
		return
	}
	if t.InTurn && !d.muted {
		d.killInTurn = t
		return
	}
	back := m.now + t.For.us()
	m.Bus.Emit(seen.Event{At: m.now, What: seen.Killed, Dispatcher: d.number, Span: back})
	d.up, d.unseenUntil = false, m.now+m.plan.Clients.Notice.us()
	if t.Kind == "restart" {
		d.unseenUntil = m.now
	}
	// What waited for a turn was handed in, but never answered: its clients come again.
	for _, n := range d.inbox {
		if n.kind == newsTake {
			m.unanswered(n.id, d)
		}
	}
	// Guards repeatability: what is held is walked in its order, never a map's.
	ids := slices.Sorted(maps.Keys(d.held))
	for _, id := range ids {
		h := d.held[id]
		if h.call >= 0 && h.mayRun == never {
			h.mayRun, h.zone = h.sentAt, h.sentZone
		}
	}
	for i := range m.calls {
		if k := &m.calls[i]; k.d == d.number && k.at != callFree && k.at != callClosed {
			m.hangUp(int32(i))
		}
	}
	for _, e := range slices.Sorted(maps.Keys(d.links)) {
		d.CloseIdle(idOf(e))
	}
	for _, id := range ids {
		h := d.held[id]
		h.call = -1
		switch {
		case h.ended:
		case t.Journal || t.Kind == "restart":
			d.kept = append(d.kept, h)
		default:
			h.ended = true
			m.Bus.Emit(m.about(seen.Ended, d, h, seen.Event{End: seen.Died}))
			o := &m.origins[h.origin]
			evt := &m.plan.Events[o.evt]
			again := h.mayRun == never || evt.Repeat == "idempotent" ||
				evt.Repeat == "tokened" && !evt.ByZone && m.now+m.plan.Clients.Notice.us() < h.mayRun+evt.Window.us()
			if !again || m.now+m.plan.Clients.Notice.us() >= o.ttl {
				m.close(h.origin)
				continue
			}
			m.after(m.plan.Clients.Notice.us(), event{kind: evHandIn, a: h.origin})
		}
	}
	d.held, d.inbox, d.module = map[gateway.WebhookID]*held{}, nil, nil
	m.after(t.For.us(), event{kind: evStart, a: d.number})
}

// killMuted ends a dispatcher in the turn that it is in: its journal is written, but nothing of that turn has
// left, neither answers nor calls.
func (m *Model) killMuted(d *dispatcher) {
	t := d.killInTurn
	for _, k := range d.made {
		for _, i := range m.calls[k].items {
			i.h.call = -1
			if i.h.mayRun == never { // the journal can't tell that it never left
				i.h.mayRun, i.h.zone = i.h.sentAt, i.h.sentZone
			}
		}
		m.drop(k)
	}
	took := slices.Clone(d.tookInTurn)
	d.made = d.made[:0]
	if !t.Journal {
		for _, h := range took { // died with its dispatcher before its client heard: not a dead one's to hand on
			h.mayRun = never
		}
	}
	m.kill(d, t)
	if t.Journal {
		for _, h := range took {
			m.unheard(h.origin)
		}
	}
}
