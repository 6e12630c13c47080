package engine

import (
	"math"
	"math/rand/v2"
	"slices"

	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// clientTimeout is how long a client waits for word that its webhook is taken on.
const clientTimeout = 2 * api.Second / 5

// clientRequest is a webhook as its client knows it; each time it is handed in it gets a new id.
type clientRequest struct {
	submittedAt api.Micros
	deadline    api.Micros
	orderingKey api.OrderingKey
	destination api.DestinationID
	tenant      api.TenantID
	rejections  int32 // rejections so far
	copies      int32 // copies held, or about to be handed in
	eventType   api.EventTypeID
	offered     bool
}

// webhook is what a policy is told of it, under the id that its dispatcher gave it.
func (o *clientRequest) webhook(id api.WebhookID) api.Webhook {
	return api.Webhook{
		ID:          id,
		EventType:   o.eventType,
		Tenant:      o.tenant,
		OrderingKey: o.orderingKey,
		Deadline:    o.deadline,
		Destination: o.destination,
	}
}

// nextInterarrival draws the time to the next arrival.
func (m *Simulation) nextInterarrival() api.Micros {
	c := &m.scenario.Clients
	rate, t := c.Rate, m.now.Seconds()
	switch c.Shape {
	case "wave":
		rate *= 1 + c.Amplitude*math.Sin(2*math.Pi*t/api.Micros(c.Period).Seconds())
	case "ramp":
		rate *= 1 - c.Amplitude + 2*c.Amplitude*t/m.scenario.Duration.micros().Seconds()
	case "bursty":
		for m.now >= m.rateFactorUntil {
			m.rateFactor = 1 + c.Amplitude*(2*m.arrivalRandom.Float64()-1)
			m.rateFactorUntil += max(api.Micros(float64(c.Period)*m.arrivalRandom.Float64()/5), 1)
		}
		rate *= m.rateFactor
	}
	for _, by := range m.burstFactors {
		rate *= by
	}
	rate /= 1 + c.BurstShare*float64(c.BurstSize-1)
	return max(api.Micros(m.arrivalRandom.ExpFloat64()/max(rate, 1e-9)*float64(api.Second)), 1)
}

// generateArrivals has one client come, or a clump, and draws when the next one does.
func (m *Simulation) generateArrivals() {
	if m.now >= m.scenario.Duration.micros() {
		return
	}
	c, n := &m.scenario.Clients, 1
	if c.BurstShare > 0 && m.arrivalRandom.Float64() < c.BurstShare {
		n = c.BurstSize
	}
	dest := m.randomDestination(m.arrivalRandom)
	for i := range n {
		in := api.Micros(0)
		if i > 0 {
			in = api.Micros(m.arrivalRandom.Float64() * float64(c.BurstDuration))
		}
		evt := pickByShare(m.arrivalRandom, m.eventTypeShares)
		e := &m.scenario.EventTypes[evt]
		o := clientRequest{submittedAt: m.now + in, deadline: m.now + in + e.TTL.micros(), destination: dest, copies: 1,
			eventType: api.EventTypeID(evt), tenant: api.TenantID(pickByShare(m.arrivalRandom, m.tenantShares))}
		if e.OrderingKeys > 0 {
			o.orderingKey = api.OrderingKey(1 + m.arrivalRandom.IntN(e.OrderingKeys))
		}
		m.requests = append(m.requests, o)
		m.openRequests++
		m.schedule(in, scheduledEvent{kind: evSubmit, subject: int32(len(m.requests) - 1)})
	}
	m.schedule(m.nextInterarrival(), scheduledEvent{kind: evArrive})
}

// pickByShare follows cumulative shares; of none it draws 0.
func pickByShare(chance *rand.Rand, shares []float64) int {
	if len(shares) < 2 {
		return 0
	}
	x := chance.Float64() * shares[len(shares)-1]
	return min(slices.IndexFunc(shares, func(s float64) bool { return x < s }), len(shares)-1)
}

// pickDispatcher picks a dispatcher as the front does: by weight, or by key, of those that it takes for well.
func (m *Simulation) pickDispatcher(o *clientRequest) *dispatcher {
	n := len(m.dispatchers)
	well := func(d *dispatcher) bool { return d.up && !d.draining || !d.up && m.now < d.deathNoticedAt }
	if o.orderingKey != 0 {
		for i := range n {
			if d := &m.dispatchers[(int(o.orderingKey)+i)%n]; well(d) {
				return d
			}
		}
		return nil
	}
	most := 1 + m.scenario.Dispatchers.LoadSkew
	for range 64 * n {
		d := &m.dispatchers[m.clientRandom.IntN(n)]
		if m.clientRandom.Float64()*most < d.weight && well(d) {
			return d
		}
	}
	return nil
}

// submit brings a webhook to a dispatcher.
func (m *Simulation) submit(n int32) {
	o := &m.requests[n]
	if !o.offered {
		o.offered = true
		m.Bus.Emit(
			event.Event{At: m.now, Kind: event.Offered, Request: event.RequestID(n), EventType: o.eventType, Destination: o.destination,
				Deadline: o.deadline},
		)
	}
	if m.now >= o.deadline {
		m.abandonRequest(n)
		return
	}
	d := m.pickDispatcher(o)
	switch {
	case d == nil || !d.up || d.draining: // nobody listens there
		m.schedule(max(randomInRange(m.clientRandom, m.scenario.Clients.ResubmitDelay).micros(), 1000), scheduledEvent{kind: evSubmit, subject: n})
	case d.pausedUntil > m.now+clientTimeout:
		m.schedule(clientTimeout, scheduledEvent{kind: evSubmit, subject: n})
	case d.openWebhooks >= m.scenario.Dispatchers.BufferSize:
		m.Bus.Emit(event.Event{At: m.now, Kind: event.BufferFull, Dispatcher: d.number, Request: event.RequestID(n),
			Destination: o.destination, EventType: o.eventType})
		m.scheduleResubmission(n, 0)
	default:
		m.lastWebhookID++
		h := &webhook{id: m.lastWebhookID, request: n, mayHaveRunAt: never, call: -1}
		if m.cluster == nil || !m.cluster.forwardSubmission(d, h) {
			d.enqueueAcceptance(h, noHandoff)
		}
	}
}

// enqueueAcceptance has a webhook go in with the next turn, sent here by an offer or by none.
func (d *dispatcher) enqueueAcceptance(h *webhook, by int32) {
	d.webhooks[h.id] = h
	d.openWebhooks++
	d.enqueue(notification{kind: notifyAcceptance, id: h.id, handoff: by})
}

// scheduleResubmission has the client of a rejected webhook hand it in again, if it ever does.
func (m *Simulation) scheduleResubmission(n int32, advised api.Micros) {
	o, c := &m.requests[n], &m.scenario.Clients
	o.rejections++
	pause := float64(randomInRange(m.clientRandom, c.ResubmitDelay).micros()) * math.Exp2(float64(min(o.rejections-1, 20)))
	if m.clientRandom.Float64() < c.HonorRetryAfter {
		pause = max(pause, float64(advised))
	}
	if int(o.rejections) > c.MaxResubmissions || pause >= float64(o.deadline-m.now) {
		m.abandonRequest(n)
		return
	}
	m.schedule(max(api.Micros(pause), 1), scheduledEvent{kind: evSubmit, subject: n})
}

func (m *Simulation) abandonRequest(n int32) {
	o := &m.requests[n]
	m.Bus.Emit(
		event.Event{At: m.now, Kind: event.Abandoned, Request: event.RequestID(n), EventType: o.eventType, Destination: o.destination},
	)
	m.closeCopy(n)
}

// closeCopy notes that a copy comes to nothing more.
func (m *Simulation) closeCopy(n int32) {
	o := &m.requests[n]
	if o.copies--; o.copies == 0 {
		m.openRequests--
	}
}

// returnUnaccepted takes back what was handed in to a dispatcher that died before it was taken on.
func (m *Simulation) returnUnaccepted(id api.WebhookID, d *dispatcher) {
	n := d.webhooks[id].request
	delete(d.webhooks, id)
	m.schedule(clientTimeout, scheduledEvent{kind: evSubmit, subject: n})
}

// resubmitUnacknowledged has a client come again that never heard that its webhook is taken on: from now on there are two.
func (m *Simulation) resubmitUnacknowledged(n int32) {
	m.requests[n].copies++
	m.schedule(clientTimeout, scheduledEvent{kind: evSubmit, subject: n})
}
