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
func (request *clientRequest) webhook(id api.WebhookID) api.Webhook {
	return api.Webhook{
		ID:          id,
		EventType:   request.eventType,
		Tenant:      request.tenant,
		OrderingKey: request.orderingKey,
		Deadline:    request.deadline,
		Destination: request.destination,
	}
}

// nextInterarrival draws the time to the next arrival.
func (m *Simulation) nextInterarrival() api.Micros {
	clients := &m.scenario.Clients
	rate, t := clients.Rate, m.now.Seconds()
	switch clients.Shape {
	case "wave":
		rate *= 1 + clients.Amplitude*math.Sin(2*math.Pi*t/api.Micros(clients.Period).Seconds())
	case "ramp":
		rate *= 1 - clients.Amplitude + 2*clients.Amplitude*t/m.scenario.Duration.micros().Seconds()
	case "bursty":
		for m.now >= m.rateFactorUntil {
			m.rateFactor = 1 + clients.Amplitude*(2*m.arrivalRandom.Float64()-1)
			m.rateFactorUntil += max(api.Micros(float64(clients.Period)*m.arrivalRandom.Float64()/5), 1)
		}
		rate *= m.rateFactor
	}
	for _, by := range m.burstFactors {
		rate *= by
	}
	rate /= 1 + clients.BurstShare*float64(clients.BurstSize-1)
	return max(api.Micros(m.arrivalRandom.ExpFloat64()/max(rate, 1e-9)*float64(api.Second)), 1)
}

// generateArrivals has one client come, or a clump, and draws when the next one does.
func (m *Simulation) generateArrivals() {
	if m.now >= m.scenario.Duration.micros() {
		return
	}
	clients, n := &m.scenario.Clients, 1
	if clients.BurstShare > 0 && m.arrivalRandom.Float64() < clients.BurstShare {
		n = clients.BurstSize
	}
	dest := m.randomDestination(m.arrivalRandom)
	for i := range n {
		in := api.Micros(0)
		if i > 0 {
			in = api.Micros(m.arrivalRandom.Float64() * float64(clients.BurstDuration))
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
	m.schedule(m.nextInterarrival(), scheduledEvent{kind: evArrival})
}

// pickByShare follows cumulative shares; of none it draws 0.
func pickByShare(random *rand.Rand, shares []float64) int {
	if len(shares) < 2 {
		return 0
	}
	x := random.Float64() * shares[len(shares)-1]
	return min(slices.IndexFunc(shares, func(s float64) bool { return x < s }), len(shares)-1)
}

// pickDispatcher picks a dispatcher as the front does: by weight, or by key, of those that it takes for well.
func (m *Simulation) pickDispatcher(request *clientRequest) *dispatcher {
	n := len(m.dispatchers)
	well := func(d *dispatcher) bool { return d.up && !d.draining || !d.up && m.now < d.deathNoticedAt }
	if request.orderingKey != 0 {
		for i := range n {
			if d := &m.dispatchers[(int(request.orderingKey)+i)%n]; well(d) {
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
	request := &m.requests[n]
	if !request.offered {
		request.offered = true
		m.Bus.Emit(
			event.Event{At: m.now, Kind: event.Offered, Request: event.RequestID(n), EventType: request.eventType, Destination: request.destination,
				Deadline: request.deadline},
		)
	}
	if m.now >= request.deadline {
		m.abandonRequest(n)
		return
	}
	d := m.pickDispatcher(request)
	switch {
	case d == nil || !d.up || d.draining: // nobody listens there
		m.schedule(max(randomInRange(m.clientRandom, m.scenario.Clients.ResubmitDelay).micros(), 1000), scheduledEvent{kind: evSubmit, subject: n})
	case d.pausedUntil > m.now+clientTimeout:
		m.schedule(clientTimeout, scheduledEvent{kind: evSubmit, subject: n})
	case d.openWebhooks >= m.scenario.Dispatchers.BufferSize:
		m.Bus.Emit(event.Event{At: m.now, Kind: event.BufferFull, Dispatcher: d.number, Request: event.RequestID(n),
			Destination: request.destination, EventType: request.eventType})
		m.scheduleResubmission(n, 0)
	default:
		m.lastWebhookID++
		w := &webhook{id: m.lastWebhookID, request: n, mayHaveRunAt: never, call: -1}
		if m.cluster == nil || !m.cluster.forwardSubmission(d, w) {
			d.enqueueAcceptance(w, noHandoff)
		}
	}
}

// enqueueAcceptance has a webhook go in with the next turn, sent here by an offer or by none.
func (d *dispatcher) enqueueAcceptance(w *webhook, by int32) {
	d.webhooks[w.id] = w
	d.openWebhooks++
	d.enqueue(notification{kind: notifyAcceptance, id: w.id, handoff: by})
}

// scheduleResubmission has the client of a rejected webhook hand it in again, if it ever does.
func (m *Simulation) scheduleResubmission(n int32, retryAfter api.Micros) {
	request, clients := &m.requests[n], &m.scenario.Clients
	request.rejections++
	pause := float64(randomInRange(m.clientRandom, clients.ResubmitDelay).micros()) * math.Exp2(float64(min(request.rejections-1, 20)))
	if m.clientRandom.Float64() < clients.HonorRetryAfter {
		pause = max(pause, float64(retryAfter))
	}
	if int(request.rejections) > clients.MaxResubmissions || pause >= float64(request.deadline-m.now) {
		m.abandonRequest(n)
		return
	}
	m.schedule(max(api.Micros(pause), 1), scheduledEvent{kind: evSubmit, subject: n})
}

func (m *Simulation) abandonRequest(n int32) {
	request := &m.requests[n]
	m.Bus.Emit(
		event.Event{At: m.now, Kind: event.Abandoned, Request: event.RequestID(n), EventType: request.eventType, Destination: request.destination},
	)
	m.closeCopy(n)
}

// closeCopy notes that a copy comes to nothing more.
func (m *Simulation) closeCopy(n int32) {
	request := &m.requests[n]
	if request.copies--; request.copies == 0 {
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
