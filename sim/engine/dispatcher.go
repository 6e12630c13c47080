package engine

import (
	"math/rand/v2"
	"slices"
	"time"

	eventpkg "rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// dispatcher is one dispatcher round its module, and the module's Host.
type dispatcher struct {
	m      *Model
	number int32
	life   uint32 // counts its starts: what was meant for an earlier life reaches nobody
	seeds  *rand.Rand
	module api.Policy
	weight float64 // of what the front deals out
	zone   api.ZoneID

	up, leaving bool
	unseenUntil api.Micros // the front takes it for well until then, though it is dead
	frozenUntil api.Micros
	turnedAt    api.Micros
	turnDue     bool
	inbox       []news
	held        map[api.WebhookID]*held
	open        int // of them, those that are owed their end
	kept        []*held
	out         int     // calls
	made        []int32 // calls of this turn, not yet departed
	links       map[int32]*links
	knows       int // changes of the list heard of
	listLate    api.Micros
	startsStale api.Micros
	killInTurn  *Trouble
	tookInTurn  []*held
	muted       bool
	member      *fellow // of a fleet with homes, else nil
}

// held is a webhook at a dispatcher.
type held struct {
	id       api.WebhookID
	origin   int32
	attempts int
	mayRun   api.Micros
	zone     api.ZoneID
	sentAt   api.Micros
	sentZone api.ZoneID
	call     int32 // out, or -1
	ended    bool
	custody
}

func (h *held) priorAttempts() api.PriorAttempts {
	return api.PriorAttempts{Count: h.attempts, MayHaveRunAt: h.mayRun, Zone: h.zone}
}

// links are a dispatcher's idle connections to one endpoint, the longest idle first.
type links struct {
	idle  []api.Micros
	epoch uint32
	due   bool
}

const (
	newsTake uint8 = iota
	newsOutcome
	newsWake
	newsList
	newsGate
)

// begin starts a dispatcher, the first time or again with what its folder holds.
func (m *Model) begin(n int32) {
	d := &m.dispatchers[n]
	d.life++
	d.up, d.leaving, d.inbox, d.turnDue, d.turnedAt = true, false, nil, false, m.now-m.plan.Dispatchers.Tick.us()
	d.zone = api.ZoneID(int(n) % len(m.plan.Net.Zones))
	d.held, d.links, d.open, d.out = map[api.WebhookID]*held{}, map[int32]*links{}, 0, 0
	d.made, d.killInTurn, d.muted = nil, nil, false
	m.Bus.Emit(eventpkg.Event{At: m.now, Kind: eventpkg.Started, Dispatcher: n})
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
			same := func(e api.EndpointEntry) bool { return e.Endpoint == c.entry.Endpoint }
			if i := slices.IndexFunc(list, same); i >= 0 {
				list[i] = c.entry
			} else {
				list = append(list, c.entry)
			}
		}
		list = slices.DeleteFunc(list, func(e api.EndpointEntry) bool { return e.Status == api.EndpointRemoved })
	}
	if m.homes != nil {
		m.homes.joins(d)
	}
	d.put(news{kind: newsList, list: list, whole: true})
	if d.knows < len(m.changes) {
		m.after(within(m.chance, m.plan.Dispatchers.ListDelay).us()+d.listLate,
			event{kind: evList, a: n, b: int32(len(m.changes)), gen: d.life})
	}
	kept := d.kept
	d.kept = nil
	for _, h := range kept {
		d.held[h.id] = h
	}
	if m.homes != nil {
		d.unsure()
	}
	if len(kept) > 0 {
		d.hearList() // before what is owed: its destinations must be known
	}
	for _, h := range kept {
		o := &m.origins[h.origin]
		d.open++
		m.Bus.Emit(m.about(eventpkg.Recovered, d, h, eventpkg.Event{Attempt: h.attempts}))
		if d.member != nil {
			d.begins(h)
			continue
		}
		d.module.Recover(o.webhook(h.id), h.priorAttempts())
	}
	d.wakeUp()
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
		d.put(news{kind: newsWake, timer: api.TimerID(e.b)})
	case evList:
		if to := int(e.b); to > d.knows {
			var list []api.EndpointEntry
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
	d.regateIfDue()
	for i := range waiting {
		d.tell(&waiting[i])
	}
	d.module.EndTurn()
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
	d.answerOffers()
}

func (d *dispatcher) tell(n *news) {
	m := d.m
	switch n.kind {
	case newsTake:
		h := d.held[n.id]
		o := &m.origins[h.origin]
		d.tookInTurn = append(d.tookInTurn, h)
		m.Bus.Emit(m.about(eventpkg.Accepted, d, h, eventpkg.Event{}))
		if d.member != nil {
			d.takesOn(h, n.offer)
			return
		}
		d.module.Submit(o.webhook(n.id))
	case newsOutcome:
		h := d.held[n.id]
		if h == nil {
			return
		}
		e := eventpkg.Event{Attempt: n.attempt, Outcome: n.what, Endpoint: n.ep, RetryAfter: n.wait}
		if i := indexOf(n.ep); i >= 0 {
			e.Route, e.Zone = eventpkg.Route(m.endpoints[i].route), m.endpoints[i].zone
		}
		m.Bus.Emit(m.about(eventpkg.AttemptEnded, d, h, e))
		h.call = -1
		if n.what == api.Delivered && !h.ended {
			m.end(d, h, eventpkg.Delivered, 0)
		}
		if !n.what.NeverRan() && h.mayRun == never {
			h.mayRun, h.zone = h.sentAt, h.sentZone
		}
		ended := h.ended
		d.module.AttemptEnded(api.AttemptResult{
			Webhook:    n.id,
			Endpoint:   n.ep,
			Outcome:    n.what,
			Latency:    n.took,
			Final:      ended,
			RetryAfter: n.wait,
		})
		if ended {
			delete(d.held, n.id)
		} else if d.member != nil {
			d.gate(h)
		}
	case newsWake:
		d.module.TimerFired(n.timer)
	case newsList:
		d.listed(*n)
	case newsGate:
		d.regate()
	}
}
