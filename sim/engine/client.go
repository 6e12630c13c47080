package engine

import (
	"math"
	"math/rand/v2"
	"slices"

	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// clientTimeout is how long a client waits for the response to a submission.
const clientTimeout = 2 * api.Second / 5

const (
	minSubmitRetryDelay = api.Micros(1000) // where no dispatcher listens
	minArrivalRate      = 1e-9             // webhooks per second
	maxBackoffDoublings = 20
)

// clientRequest is a webhook as its client knows it. Each accepted submission has a webhook ID of its own.
type clientRequest struct {
	submittedAt api.Micros
	deadline    api.Micros
	orderingKey api.OrderingKey
	destination api.DestinationID
	tenant      api.TenantID
	rejections  int32
	copies      int32 // at dispatchers, or to be submitted
	eventType   api.EventTypeID
	offered     bool
}

// webhook returns the request as the policies know it, under the ID of one submission.
func (r *clientRequest) webhook(id api.WebhookID) api.Webhook {
	return api.Webhook{
		ID:          id,
		EventType:   r.eventType,
		Tenant:      r.tenant,
		OrderingKey: r.orderingKey,
		Deadline:    r.deadline,
		Destination: r.destination,
	}
}

// nextInterarrival returns a random time to the next arrival, by a Poisson process with a rate that varies.
func (m *Simulation) nextInterarrival() api.Micros {
	clients := &m.scenario.Clients
	rate, seconds := clients.Rate, m.now.Seconds()
	switch clients.Shape {
	case shapeWave:
		rate *= 1 + clients.Amplitude*math.Sin(2*math.Pi*seconds/clients.Period.micros().Seconds())
	case shapeRamp:
		rate *= 1 - clients.Amplitude + 2*clients.Amplitude*seconds/m.scenario.Duration.micros().Seconds()
	case shapeBursty:
		rate *= m.burstyRateFactor()
	}
	for _, factor := range m.burstFactors {
		rate *= factor
	}
	rate /= 1 + clients.BurstShare*float64(clients.BurstSize-1)
	return max(api.Micros(m.arrivalRandom.ExpFloat64()/max(rate, minArrivalRate)*float64(api.Second)), 1)
}

// burstyRateFactor returns a factor that is random and holds for a random time.
func (m *Simulation) burstyRateFactor() float64 {
	clients := &m.scenario.Clients
	for m.now >= m.rateFactorUntil {
		m.rateFactor = 1 + clients.Amplitude*(2*m.arrivalRandom.Float64()-1)
		m.rateFactorUntil += max(api.Micros(float64(clients.Period)*m.arrivalRandom.Float64()/5), 1)
	}
	return m.rateFactor
}

// generateArrivals makes one request or a burst of them, and schedules the next arrival.
func (m *Simulation) generateArrivals() {
	if m.now >= m.scenario.Duration.micros() {
		return
	}
	clients, count := &m.scenario.Clients, 1
	if clients.BurstShare > 0 && m.arrivalRandom.Float64() < clients.BurstShare {
		count = clients.BurstSize
	}
	destination := m.randomDestination(m.arrivalRandom)
	for i := range count {
		delay := api.Micros(0)
		if i > 0 {
			delay = api.Micros(m.arrivalRandom.Float64() * float64(clients.BurstDuration))
		}
		m.requests = append(m.requests, m.randomRequest(destination, m.now+delay))
		m.openRequests++
		m.schedule(delay, scheduledEvent{kind: evSubmit, subject: int32(len(m.requests) - 1)})
	}
	m.schedule(m.nextInterarrival(), scheduledEvent{kind: evArrival})
}

func (m *Simulation) randomRequest(destination api.DestinationID, at api.Micros) clientRequest {
	eventTypeID := pickByShare(m.arrivalRandom, m.eventTypeShares)
	eventType := &m.scenario.EventTypes[eventTypeID]
	request := clientRequest{
		submittedAt: at,
		deadline:    at + eventType.TTL.micros(),
		destination: destination,
		copies:      1,
		eventType:   api.EventTypeID(eventTypeID),
		tenant:      api.TenantID(pickByShare(m.arrivalRandom, m.tenantShares)),
	}
	if eventType.OrderingKeys > 0 {
		request.orderingKey = api.OrderingKey(1 + m.arrivalRandom.IntN(eventType.OrderingKeys))
	}
	return request
}

// pickByShare returns a random index by cumulative shares. Fewer than two need no random number.
func pickByShare(random *rand.Rand, shares []float64) int {
	if len(shares) < 2 {
		return 0
	}
	x := random.Float64() * shares[len(shares)-1]
	return min(slices.IndexFunc(shares, func(s float64) bool { return x < s }), len(shares)-1)
}

// seemsHealthy reports whether the load balancer takes a dispatcher for healthy.
func (m *Simulation) seemsHealthy(d *dispatcher) bool {
	if d.up {
		return !d.draining
	}
	return m.now < d.deathNoticedAt
}

// pickDispatcher is the load balancer: it picks one of the dispatchers that seem healthy, by the ordering key or at random
// by their weights. It returns nil if it finds none.
func (m *Simulation) pickDispatcher(request *clientRequest) *dispatcher {
	n := len(m.dispatchers)
	if request.orderingKey != 0 {
		for i := range n {
			if d := &m.dispatchers[(int(request.orderingKey)+i)%n]; m.seemsHealthy(d) {
				return d
			}
		}
		return nil
	}
	maxWeight := 1 + m.scenario.Dispatchers.LoadSkew
	for range 64 * n {
		d := &m.dispatchers[m.clientRandom.IntN(n)]
		if m.clientRandom.Float64()*maxWeight < d.weight && m.seemsHealthy(d) {
			return d
		}
	}
	return nil
}

// submit submits a request to a dispatcher, for the first time or again.
func (m *Simulation) submit(n int32) {
	request := &m.requests[n]
	if !request.offered {
		request.offered = true
		m.emitRequest(event.Offered, n, event.Event{Deadline: request.deadline})
	}
	if m.now >= request.deadline {
		m.abandonRequest(n)
		return
	}
	d := m.pickDispatcher(request)
	switch {
	case d == nil || !d.up || d.draining: // the connection is refused
		delay := randomInRange(m.clientRandom, m.scenario.Clients.ResubmitDelay).micros()
		m.schedule(max(delay, minSubmitRetryDelay), scheduledEvent{kind: evSubmit, subject: n})
	case d.pausedUntil > m.now+clientTimeout:
		m.schedule(clientTimeout, scheduledEvent{kind: evSubmit, subject: n})
	case d.openWebhooks >= m.scenario.Dispatchers.BufferSize:
		m.emitRequest(event.BufferFull, n, event.Event{Dispatcher: d.number})
		m.scheduleResubmission(n, 0)
	default:
		m.acceptSubmission(d, n)
	}
}

func (m *Simulation) acceptSubmission(d *dispatcher, n int32) {
	m.lastWebhookID++
	w := &webhook{id: m.lastWebhookID, request: n, mayHaveRunAt: never, call: noCall}
	if m.cluster != nil && m.cluster.forwardSubmission(d, w) {
		return
	}
	d.enqueueAcceptance(w, noHandoff)
}

// emitRequest emits an event of a request that no webhook ID belongs to.
func (m *Simulation) emitRequest(kind event.Kind, n int32, e event.Event) {
	e.At = m.now
	e.Kind = kind
	e.Request = event.RequestID(n)
	e.EventType = m.requests[n].eventType
	e.Destination = m.requests[n].destination
	m.Bus.Emit(e)
}

// enqueueAcceptance accepts a webhook in the next iteration: a client's, or one that was handed off.
func (d *dispatcher) enqueueAcceptance(w *webhook, handoff int32) {
	d.webhooks[w.id] = w
	d.openWebhooks++
	d.enqueue(notification{kind: notifyAcceptance, id: w.id, handoff: handoff})
}

// scheduleResubmission has the client of a rejected request submit it again after a backoff, or abandon it.
func (m *Simulation) scheduleResubmission(n int32, retryAfter api.Micros) {
	request, clients := &m.requests[n], &m.scenario.Clients
	request.rejections++
	doublings := min(request.rejections-1, maxBackoffDoublings)
	delay := float64(randomInRange(m.clientRandom, clients.ResubmitDelay).micros()) * math.Exp2(float64(doublings))
	if m.clientRandom.Float64() < clients.HonorRetryAfter {
		delay = max(delay, float64(retryAfter))
	}
	if int(request.rejections) > clients.MaxResubmissions || delay >= float64(request.deadline-m.now) {
		m.abandonRequest(n)
		return
	}
	m.schedule(max(api.Micros(delay), 1), scheduledEvent{kind: evSubmit, subject: n})
}

func (m *Simulation) abandonRequest(n int32) {
	m.emitRequest(event.Abandoned, n, event.Event{})
	m.closeCopy(n)
}

// closeCopy counts a copy of a request that can't be delivered any more, or was.
func (m *Simulation) closeCopy(n int32) {
	request := &m.requests[n]
	request.copies--
	if request.copies == 0 {
		m.openRequests--
	}
}

// returnUnaccepted has a client submit a request again whose dispatcher died before it accepted it.
func (m *Simulation) returnUnaccepted(id api.WebhookID, d *dispatcher) {
	n := d.webhooks[id].request
	delete(d.webhooks, id)
	m.schedule(clientTimeout, scheduledEvent{kind: evSubmit, subject: n})
}

// resubmitUnacknowledged has a client submit a request again that was accepted without a response. There are two copies
// from then on.
func (m *Simulation) resubmitUnacknowledged(n int32) {
	m.requests[n].copies++
	m.schedule(clientTimeout, scheduledEvent{kind: evSubmit, subject: n})
}
