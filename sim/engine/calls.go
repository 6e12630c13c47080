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
	callPending           // in a turn that is not over
	callConnecting
	callActive
	callClosed // the dispatcher is done with it, the server is not
)

// call carries one webhook or several to an endpoint; it holds one slot until it is closed.
type call struct {
	generation      uint32
	state           callState
	dispatcher      int32
	endpoint        int32
	server          int32
	attempts        []callAttempt
	timeout         api.Micros // of the least patient of them
	sentAt          api.Micros
	connected       bool   // its connection is up
	epoch           uint32 // of the server, when it came up
	queuedOrServing bool   // served or waiting there
	serving         bool
	unanswerable    bool // by a process that answers nothing
	responded       bool // an answer, or word of a broken connection, is on its way
	outcome         api.Outcome
	retryAfter      api.Micros
}

type callAttempt struct {
	webhook *webhook
	ended   bool
}

func (m *Simulation) newCall(d *dispatcher, endpointIndex int32) int32 {
	var n int32
	if last := len(m.freeCalls) - 1; last >= 0 {
		n, m.freeCalls = m.freeCalls[last], m.freeCalls[:last]
	} else {
		m.calls = append(m.calls, call{})
		n = int32(len(m.calls) - 1)
	}
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

// releaseCall gives a call's place back once neither side needs it.
func (m *Simulation) releaseCall(n int32) {
	if c := &m.calls[n]; c.state == callClosed && !c.queuedOrServing {
		clear(c.attempts)
		c.state = callFree
		m.freeCalls = append(m.freeCalls, n)
	}
}

// discardCall takes back a call that never departed.
func (m *Simulation) discardCall(n int32) {
	c := &m.calls[n]
	m.dispatchers[c.dispatcher].activeCalls--
	c.state = callClosed
	m.releaseCall(n)
}

func (m *Simulation) emitCall(what event.Kind, c *call) {
	e := &m.endpoints[c.endpoint]
	weight := 1 + m.destinations[e.destination].kind.BatchItemCost*float64(len(c.attempts)-1)
	m.Bus.Emit(event.Event{At: m.now, Kind: what, Dispatcher: c.dispatcher, Endpoint: idOf(c.endpoint), Destination: e.destination,
		Route: event.Route(e.route), Zone: e.zone, Weight: weight, Webhook: c.attempts[0].webhook.id})
}

// startCall takes an idle connection, the last used first, or opens one.
func (m *Simulation) startCall(n int32) {
	c := &m.calls[n]
	d, s := &m.dispatchers[c.dispatcher], &m.servers[c.server]
	c.sentAt = m.now
	m.emitCall(event.CallStarted, c)
	m.schedule(c.timeout, scheduledEvent{kind: evCallTimeout, subject: n, generation: c.generation})
	if idle := d.connections[c.endpoint]; idle != nil && idle.epoch == s.epoch {
		m.closeExpiredIdle(d, c.endpoint)
		if last := len(idle.since) - 1; last >= 0 {
			idle.since = idle.since[:last]
			c.connected, c.epoch, c.state = true, s.epoch, callActive
			m.schedule(m.networkDelay(d.zone, s.zone), scheduledEvent{kind: evCallArrival, subject: n, generation: c.generation})
			return
		}
	}
	c.state = callConnecting
	m.schedule(m.networkDelay(d.zone, s.zone), scheduledEvent{kind: evConnect, subject: n, generation: c.generation})
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
		case callConnecting: // not a byte has left
			m.finishCall(e.subject, api.ConnectFailed, 0)
		case callActive:
			m.finishCall(e.subject, api.TimedOut, 0)
		}
	}
}

func (m *Simulation) concurrencyOf(s *server, r *route) int {
	return max(int(float64(s.concurrency)*m.warmupCapacity(r)), 1)
}

func (m *Simulation) serveCall(n int32) {
	c := &m.calls[n]
	s := &m.servers[c.server]
	s.serving++
	c.queuedOrServing, c.serving = true, true
	m.schedule(
		m.serviceTime(s, m.destinations[m.endpoints[c.endpoint].destination].kind, len(c.attempts)),
		scheduledEvent{kind: evCallServed, subject: n, generation: c.generation},
	)
}

// endService ends a call's service and lets the next ones in.
func (m *Simulation) endService(n int32) {
	c := &m.calls[n]
	if !c.serving {
		return
	}
	s := &m.servers[c.server]
	s.serving--
	c.queuedOrServing, c.serving = false, false
	switch {
	case c.state == callClosed:
		m.releaseCall(n)
	case s.hung > 0:
		c.unanswerable = true
	case len(s.lostResponseShares) > 0 && m.random.Float64() < combinedShare(s.lostResponseShares): // it ran; its answer is lost
	default:
		m.respond(n, api.Delivered, 0)
	}
	m.drainServerQueue(m.calls[n].server)
}

// drainServerQueue lets calls in from the line while there is room; those given up meanwhile are left out.
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

func (m *Simulation) respond(n int32, outcome api.Outcome, retryAfter api.Micros) {
	m.respondAfter(n, outcome, retryAfter, 0)
}

// respondAfter sends word back, once for each call.
func (m *Simulation) respondAfter(n int32, outcome api.Outcome, retryAfter, in api.Micros) {
	c := &m.calls[n]
	if c.responded {
		return
	}
	c.responded, c.outcome, c.retryAfter = true, outcome, retryAfter
	m.schedule(in+m.networkDelay(m.servers[c.server].zone, m.dispatchers[c.dispatcher].zone), scheduledEvent{kind: evResponse, subject: n, generation: c.generation})
}

// finishCall closes a call at its dispatcher's side and tells each webhook in it the outcome.
func (m *Simulation) finishCall(n int32, outcome api.Outcome, retryAfter api.Micros) {
	c := &m.calls[n]
	d := &m.dispatchers[c.dispatcher]
	for i := range c.attempts {
		if it := &c.attempts[i]; !it.ended {
			it.ended = true
			d.enqueue(notification{kind: notifyOutcome, id: it.webhook.id, endpoint: idOf(c.endpoint), outcome: outcome, attempt: it.webhook.attempts - 1,
				latency: m.now - c.sentAt, retryAfter: retryAfter})
		}
	}
	keep := outcome == api.Delivered || outcome == api.Rejected || outcome == api.ErrorResponse
	m.closeCallKeeping(n, keep)
}

// cancelAttempt calls one webhook of a call off; the connection goes with the last of them.
func (m *Simulation) cancelAttempt(n int32, w *webhook) {
	c := &m.calls[n]
	d, left := &m.dispatchers[c.dispatcher], false
	if c.state != callConnecting && c.state != callActive {
		return
	}
	for i := range c.attempts {
		it := &c.attempts[i]
		if it.webhook == w && !it.ended {
			it.ended = true
			d.enqueue(notification{kind: notifyOutcome, id: w.id, endpoint: idOf(c.endpoint), outcome: api.Cancelled, attempt: w.attempts - 1,
				latency: m.now - c.sentAt})
		}
		left = left || !it.ended
	}
	if !left {
		m.closeCall(n)
	}
}
