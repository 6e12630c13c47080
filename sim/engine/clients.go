package engine

import (
	"math"
	"math/rand/v2"
	"slices"

	eventpkg "rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// answerWithin is how long a client waits for word that its webhook is taken on.
const answerWithin = 2 * api.Second / 5

// origin is a webhook as its client knows it; each time it is handed in it gets a new id.
type origin struct {
	cameAt  api.Micros
	ttl     api.Micros
	key     api.OrderingKey
	dest    api.DestinationID
	tenant  api.TenantID
	tries   int32 // rejections so far
	live    int32 // copies held, or about to be handed in
	evt     api.EventTypeID
	offered bool
}

// webhook is what a policy is told of it, under the id that its dispatcher gave it.
func (o *origin) webhook(id api.WebhookID) api.Webhook {
	return api.Webhook{
		ID:          id,
		EventType:   o.evt,
		Tenant:      o.tenant,
		OrderingKey: o.key,
		Deadline:    o.ttl,
		Destination: o.dest,
	}
}

// gap draws the time to the next arrival.
func (m *Model) gap() api.Micros {
	c := &m.plan.Clients
	rate, t := c.Rate, m.now.Seconds()
	switch c.Curve {
	case "wave":
		rate *= 1 + c.Swing*math.Sin(2*math.Pi*t/api.Micros(c.Period).Seconds())
	case "ramp":
		rate *= 1 - c.Swing + 2*c.Swing*t/m.plan.Length.us().Seconds()
	case "bursty":
		for m.now >= m.swayUntil {
			m.sway = 1 + c.Swing*(2*m.arrivals.Float64()-1)
			m.swayUntil += max(api.Micros(float64(c.Period)*m.arrivals.Float64()/5), 1)
		}
		rate *= m.sway
	}
	for _, by := range m.bursts {
		rate *= by
	}
	rate /= 1 + c.Clumps*float64(c.Clump-1)
	return max(api.Micros(m.arrivals.ExpFloat64()/max(rate, 1e-9)*float64(api.Second)), 1)
}

// arrive has one client come, or a clump, and draws when the next one does.
func (m *Model) arrive() {
	if m.now >= m.plan.Length.us() {
		return
	}
	c, n := &m.plan.Clients, 1
	if c.Clumps > 0 && m.arrivals.Float64() < c.Clumps {
		n = c.Clump
	}
	dest := m.drawDestination(m.arrivals)
	for i := range n {
		in := api.Micros(0)
		if i > 0 {
			in = api.Micros(m.arrivals.Float64() * float64(c.Within))
		}
		evt := draw(m.arrivals, m.events)
		e := &m.plan.Events[evt]
		o := origin{cameAt: m.now + in, ttl: m.now + in + e.TTL.us(), dest: dest, live: 1,
			evt: api.EventTypeID(evt), tenant: api.TenantID(draw(m.arrivals, m.tenants))}
		if e.Keys > 0 {
			o.key = api.OrderingKey(1 + m.arrivals.IntN(e.Keys))
		}
		m.origins = append(m.origins, o)
		m.open++
		m.after(in, event{kind: evHandIn, a: int32(len(m.origins) - 1)})
	}
	m.after(m.gap(), event{kind: evArrive})
}

// draw follows cumulative shares; of none it draws 0.
func draw(chance *rand.Rand, shares []float64) int {
	if len(shares) < 2 {
		return 0
	}
	x := chance.Float64() * shares[len(shares)-1]
	return min(slices.IndexFunc(shares, func(s float64) bool { return x < s }), len(shares)-1)
}

// deal picks a dispatcher as the front does: by weight, or by key, of those that it takes for well.
func (m *Model) deal(o *origin) *dispatcher {
	n := len(m.dispatchers)
	well := func(d *dispatcher) bool { return d.up && !d.leaving || !d.up && m.now < d.unseenUntil }
	if o.key != 0 {
		for i := range n {
			if d := &m.dispatchers[(int(o.key)+i)%n]; well(d) {
				return d
			}
		}
		return nil
	}
	most := 1 + m.plan.Dispatchers.FrontSkew
	for range 64 * n {
		d := &m.dispatchers[m.habits.IntN(n)]
		if m.habits.Float64()*most < d.weight && well(d) {
			return d
		}
	}
	return nil
}

// handIn brings a webhook to a dispatcher.
func (m *Model) handIn(n int32) {
	o := &m.origins[n]
	if !o.offered {
		o.offered = true
		m.Bus.Emit(
			eventpkg.Event{At: m.now, Kind: eventpkg.Offered, Request: eventpkg.RequestID(n), EventType: o.evt, Destination: o.dest,
				Deadline: o.ttl},
		)
	}
	if m.now >= o.ttl {
		m.giveUp(n)
		return
	}
	d := m.deal(o)
	switch {
	case d == nil || !d.up || d.leaving: // nobody listens there
		m.after(max(within(m.habits, m.plan.Clients.Again).us(), 1000), event{kind: evHandIn, a: n})
	case d.frozenUntil > m.now+answerWithin:
		m.after(answerWithin, event{kind: evHandIn, a: n})
	case d.open >= m.plan.Dispatchers.Buffer:
		m.Bus.Emit(eventpkg.Event{At: m.now, Kind: eventpkg.BufferFull, Dispatcher: d.number, Request: eventpkg.RequestID(n),
			Destination: o.dest, EventType: o.evt})
		m.comeAgain(n, 0)
	default:
		m.lastID++
		h := &held{id: m.lastID, origin: n, mayRun: never, call: -1}
		if m.homes == nil || !m.homes.away(d, h) {
			d.take(h, none)
		}
	}
}

// take has a webhook go in with the next turn, sent here by an offer or by none.
func (d *dispatcher) take(h *held, by int32) {
	d.held[h.id] = h
	d.open++
	d.put(news{kind: newsTake, id: h.id, offer: by})
}

// comeAgain has the client of a rejected webhook hand it in again, if it ever does.
func (m *Model) comeAgain(n int32, advised api.Micros) {
	o, c := &m.origins[n], &m.plan.Clients
	o.tries++
	pause := float64(within(m.habits, c.Again).us()) * math.Exp2(float64(min(o.tries-1, 20)))
	if m.habits.Float64() < c.Heed {
		pause = max(pause, float64(advised))
	}
	if int(o.tries) > c.Retries || pause >= float64(o.ttl-m.now) {
		m.giveUp(n)
		return
	}
	m.after(max(api.Micros(pause), 1), event{kind: evHandIn, a: n})
}

func (m *Model) giveUp(n int32) {
	o := &m.origins[n]
	m.Bus.Emit(
		eventpkg.Event{At: m.now, Kind: eventpkg.Abandoned, Request: eventpkg.RequestID(n), EventType: o.evt, Destination: o.dest},
	)
	m.close(n)
}

// close notes that a copy comes to nothing more.
func (m *Model) close(n int32) {
	o := &m.origins[n]
	if o.live--; o.live == 0 {
		m.open--
	}
}

// unanswered takes back what was handed in to a dispatcher that died before it was taken on.
func (m *Model) unanswered(id api.WebhookID, d *dispatcher) {
	n := d.held[id].origin
	delete(d.held, id)
	m.after(answerWithin, event{kind: evHandIn, a: n})
}

// unheard has a client come again that never heard that its webhook is taken on: from now on there are two.
func (m *Model) unheard(n int32) {
	m.origins[n].live++
	m.after(answerWithin, event{kind: evHandIn, a: n})
}
