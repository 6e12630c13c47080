package engine

import (
	"math"
	"slices"

	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

type callState uint8

const (
	callFree    callState = iota
	callPending           // starts at the end of the iteration
	callConnecting
	callActive
	callClosed // by the dispatcher; the server may still work on it
)

// call is a request to an endpoint with a batch of webhooks. It occupies a concurrency slot until it is closed.
type call struct {
	generation      uint32
	state           callState
	dispatcher      int32
	endpoint        int32
	server          int32
	attempts        []callAttempt
	timeout         api.Micros // the shortest of the attempts
	sentAt          api.Micros
	connected       bool
	epoch           uint32 // of the server when the connection was established
	queuedOrServing bool   // at the server
	serving         bool
	unanswerable    bool // the process hung and won't respond
	responded       bool // a response or a reset is on its way
	outcome         api.Outcome
	retryAfter      api.Micros
}

// callAttempt is the attempt of one webhook in a call.
type callAttempt struct {
	webhook *webhook
	ended   bool
}

// newCall returns the index of a new call to an endpoint.
func (m *Simulation) newCall(d *dispatcher, endpointIndex int32) int32 {
	n := m.allocateCall()
	c := &m.calls[n]
	*c = call{
		generation: c.generation + 1,
		state:      callPending,
		dispatcher: d.number,
		endpoint:   endpointIndex,
		server:     m.endpoints[endpointIndex].server,
		attempts:   c.attempts[:0],
		timeout:    math.MaxInt64,
	}
	return n
}

// allocateCall returns the index of a free call.
func (m *Simulation) allocateCall() int32 {
	if last := len(m.freeCalls) - 1; last >= 0 {
		n := m.freeCalls[last]
		m.freeCalls = m.freeCalls[:last]
		return n
	}
	m.calls = append(m.calls, call{})
	return int32(len(m.calls) - 1)
}

// releaseCall frees a call once neither its dispatcher nor its server needs it.
func (m *Simulation) releaseCall(n int32) {
	if c := &m.calls[n]; c.state == callClosed && !c.queuedOrServing {
		clear(c.attempts)
		c.state = callFree
		m.freeCalls = append(m.freeCalls, n)
	}
}

// discardCall removes a call that wasn't started.
func (m *Simulation) discardCall(n int32) {
	c := &m.calls[n]
	m.dispatchers[c.dispatcher].activeCalls--
	c.state = callClosed
	m.releaseCall(n)
}

// weightOf is the load of a call relative to one with a single webhook.
func (m *Simulation) weightOf(c *call) float64 {
	kind := m.destinations[m.endpoints[c.endpoint].destination].kind
	return 1 + kind.BatchItemCost*float64(len(c.attempts)-1)
}

func (m *Simulation) emitCall(kind event.Kind, c *call) {
	e := &m.endpoints[c.endpoint]
	m.Bus.Emit(event.Event{
		At:          m.now,
		Kind:        kind,
		Dispatcher:  c.dispatcher,
		Endpoint:    idOf(c.endpoint),
		Destination: e.destination,
		Route:       event.Route(e.route),
		Zone:        e.zone,
		Weight:      m.weightOf(c),
		Webhook:     c.attempts[0].webhook.id,
	})
}

// scheduleCall schedules an event of a call.
func (m *Simulation) scheduleCall(n int32, delay api.Micros, kind scheduledKind) {
	m.schedule(delay, scheduledEvent{kind: kind, subject: n, generation: m.calls[n].generation})
}

// startCall sends a call over the idle connection that was used last, or connects.
func (m *Simulation) startCall(n int32) {
	c := &m.calls[n]
	d, s := &m.dispatchers[c.dispatcher], &m.servers[c.server]
	c.sentAt = m.now
	m.emitCall(event.CallStarted, c)
	m.scheduleCall(n, c.timeout, evCallTimeout)
	if idle := d.connections[c.endpoint]; idle != nil && idle.epoch == s.epoch {
		m.closeExpiredIdle(d, c.endpoint)
		if last := len(idle.since) - 1; last >= 0 {
			idle.since = idle.since[:last]
			c.connected = true
			c.epoch = s.epoch
			c.state = callActive
			m.scheduleCall(n, m.networkDelay(d.zone, s.zone), evCallArrival)
			return
		}
	}
	c.state = callConnecting
	m.scheduleCall(n, m.networkDelay(d.zone, s.zone), evConnect)
}

func (m *Simulation) handleCallEvent(e scheduledEvent) {
	c := &m.calls[e.subject]
	switch e.kind {
	case evConnect:
		if c.state == callConnecting {
			m.connect(e.subject)
		}
	case evCallArrival:
		if c.state == callActive {
			m.arriveAtEndpoint(e.subject)
		}
	case evCallServed:
		m.endService(e.subject)
	case evResponse:
		if c.state == callActive || c.state == callConnecting {
			m.finishCall(e.subject, c.outcome, c.retryAfter)
		}
	case evCallTimeout:
		switch c.state {
		case callConnecting: // nothing was sent
			m.finishCall(e.subject, api.ConnectFailed, 0)
		case callActive:
			m.finishCall(e.subject, api.TimedOut, 0)
		}
	}
}

// concurrencyOf returns how many calls a server serves at once now, less than usual while its route warms up.
func (m *Simulation) concurrencyOf(s *server, r *route) int {
	return max(int(float64(s.concurrency)*m.warmupCapacity(r)), 1)
}

func (m *Simulation) serveCall(n int32) {
	c := &m.calls[n]
	s := &m.servers[c.server]
	s.serving++
	c.queuedOrServing = true
	c.serving = true
	kind := m.destinations[m.endpoints[c.endpoint].destination].kind
	m.scheduleCall(n, m.serviceTime(s, kind, len(c.attempts)), evCallServed)
}

// endService ends the service of a call and serves the next ones in the queue.
func (m *Simulation) endService(n int32) {
	c := &m.calls[n]
	if !c.serving {
		return
	}
	s := &m.servers[c.server]
	s.serving--
	c.queuedOrServing = false
	c.serving = false
	switch {
	case c.state == callClosed:
		m.releaseCall(n)
	case s.hung > 0:
		c.unanswerable = true
	case m.happens(s.lostResponseShares): // it was served, and the response is lost
	default:
		m.respond(n, api.Delivered, 0)
	}
	m.drainServerQueue(m.calls[n].server)
}

// drainServerQueue serves calls from the queue while there is capacity. Those closed since are dropped.
func (m *Simulation) drainServerQueue(serverIndex int32) {
	s := &m.servers[serverIndex]
	for len(s.queue) > 0 && s.hung == 0 && s.down == 0 {
		n := s.queue[0]
		c := &m.calls[n]
		if c.state != callClosed && s.serving >= m.concurrencyOf(s, &m.routes[m.endpoints[c.endpoint].route]) {
			return
		}
		s.queue = slices.Delete(s.queue, 0, 1)
		if c.state == callClosed {
			c.queuedOrServing = false
			m.releaseCall(n)
			continue
		}
		m.serveCall(n)
	}
}

// respond sends the response of a call.
func (m *Simulation) respond(n int32, outcome api.Outcome, retryAfter api.Micros) {
	m.respondAfter(n, outcome, retryAfter, 0)
}

// respondAfter sends the response of a call after a delay. Only the first response to a call counts.
func (m *Simulation) respondAfter(n int32, outcome api.Outcome, retryAfter, delay api.Micros) {
	c := &m.calls[n]
	if c.responded {
		return
	}
	c.responded = true
	c.outcome = outcome
	c.retryAfter = retryAfter
	networkDelay := m.networkDelay(m.servers[c.server].zone, m.dispatchers[c.dispatcher].zone)
	m.scheduleCall(n, delay+networkDelay, evResponse)
}

// finishCall closes a call at its dispatcher and enqueues the outcome of each attempt that hasn't ended.
func (m *Simulation) finishCall(n int32, outcome api.Outcome, retryAfter api.Micros) {
	c := &m.calls[n]
	for i := range c.attempts {
		if !c.attempts[i].ended {
			m.endAttempt(c, &c.attempts[i], outcome, retryAfter)
		}
	}
	hasResponse := outcome == api.Delivered || outcome == api.Rejected || outcome == api.ErrorResponse
	m.closeCallKeeping(n, hasResponse)
}

func (m *Simulation) endAttempt(c *call, a *callAttempt, outcome api.Outcome, retryAfter api.Micros) {
	a.ended = true
	m.dispatchers[c.dispatcher].enqueue(notification{
		kind:       notifyOutcome,
		id:         a.webhook.id,
		endpoint:   idOf(c.endpoint),
		outcome:    outcome,
		attempt:    a.webhook.attempts - 1,
		latency:    m.now - c.sentAt,
		retryAfter: retryAfter,
	})
}

// cancelAttempt cancels the attempt of one webhook. The call is closed, with its connection, when no attempt is left.
func (m *Simulation) cancelAttempt(n int32, w *webhook) {
	c := &m.calls[n]
	if c.state != callConnecting && c.state != callActive {
		return
	}
	hasAttempts := false
	for i := range c.attempts {
		a := &c.attempts[i]
		if a.webhook == w && !a.ended {
			m.endAttempt(c, a, api.Cancelled, 0)
		}
		hasAttempts = hasAttempts || !a.ended
	}
	if !hasAttempts {
		m.closeCall(n)
	}
}
