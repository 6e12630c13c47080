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

func (m *Simulation) newCall(d *dispatcher, ep int32) int32 {
	var n int32
	if last := len(m.freeCalls) - 1; last >= 0 {
		n, m.freeCalls = m.freeCalls[last], m.freeCalls[:last]
	} else {
		m.calls = append(m.calls, call{})
		n = int32(len(m.calls) - 1)
	}
	k := &m.calls[n]
	*k = call{
		generation: k.generation + 1,
		state:      callPending,
		dispatcher: d.number,
		endpoint:   ep,
		server:     m.endpoints[ep].server,
		attempts:   k.attempts[:0],
		timeout:    math.MaxInt64,
	}
	return n
}

// releaseCall gives a call's place back once neither side needs it.
func (m *Simulation) releaseCall(n int32) {
	if k := &m.calls[n]; k.state == callClosed && !k.queuedOrServing {
		clear(k.attempts)
		k.state = callFree
		m.freeCalls = append(m.freeCalls, n)
	}
}

// discardCall takes back a call that never departed.
func (m *Simulation) discardCall(n int32) {
	k := &m.calls[n]
	m.dispatchers[k.dispatcher].activeCalls--
	k.state = callClosed
	m.releaseCall(n)
}

func (m *Simulation) emitCall(what event.Kind, k *call) {
	e := &m.endpoints[k.endpoint]
	weight := 1 + m.destinations[e.destination].kind.BatchItemCost*float64(len(k.attempts)-1)
	m.Bus.Emit(event.Event{At: m.now, Kind: what, Dispatcher: k.dispatcher, Endpoint: idOf(k.endpoint), Destination: e.destination,
		Route: event.Route(e.route), Zone: e.zone, Weight: weight, Webhook: k.attempts[0].webhook.id})
}

// startCall takes an idle connection, the last used first, or opens one.
func (m *Simulation) startCall(n int32) {
	k := &m.calls[n]
	d, s := &m.dispatchers[k.dispatcher], &m.servers[k.server]
	k.sentAt = m.now
	m.emitCall(event.CallStarted, k)
	m.schedule(k.timeout, scheduledEvent{kind: evCallTimeout, subject: n, generation: k.generation})
	if l := d.connections[k.endpoint]; l != nil && l.epoch == s.epoch {
		m.closeExpiredIdle(d, k.endpoint)
		if last := len(l.since) - 1; last >= 0 {
			l.since = l.since[:last]
			k.connected, k.epoch, k.state = true, s.epoch, callActive
			m.schedule(m.networkDelay(d.zone, s.zone), scheduledEvent{kind: evCallArrival, subject: n, generation: k.generation})
			return
		}
	}
	k.state = callConnecting
	m.schedule(m.networkDelay(d.zone, s.zone), scheduledEvent{kind: evConnect, subject: n, generation: k.generation})
}

func (m *Simulation) handleCallEvent(e scheduledEvent) {
	k := &m.calls[e.subject]
	switch e.kind {
	case evConnect:
		if k.state == callConnecting {
			m.connect(e.subject)
		}
	case evCallArrival:
		if k.state == callActive {
			m.arriveAtEndpoint(e.subject)
		}
	case evCallServed:
		m.endService(e.subject)
	case evResponse:
		if k.state == callActive || k.state == callConnecting {
			m.finishCall(e.subject, k.outcome, k.retryAfter)
		}
	case evCallTimeout:
		switch k.state {
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
	k := &m.calls[n]
	s := &m.servers[k.server]
	s.serving++
	k.queuedOrServing, k.serving = true, true
	m.schedule(
		m.serviceTime(s, m.destinations[m.endpoints[k.endpoint].destination].kind, len(k.attempts)),
		scheduledEvent{kind: evCallServed, subject: n, generation: k.generation},
	)
}

// endService ends a call's service and lets the next ones in.
func (m *Simulation) endService(n int32) {
	k := &m.calls[n]
	if !k.serving {
		return
	}
	s := &m.servers[k.server]
	s.serving--
	k.queuedOrServing, k.serving = false, false
	switch {
	case k.state == callClosed:
		m.releaseCall(n)
	case s.hung > 0:
		k.unanswerable = true
	case len(s.lostResponseShares) > 0 && m.random.Float64() < combinedShare(s.lostResponseShares): // it ran; its answer is lost
	default:
		m.respond(n, api.Delivered, 0)
	}
	m.drainServerQueue(m.calls[n].server)
}

// drainServerQueue lets calls in from the line while there is room; those given up meanwhile are left out.
func (m *Simulation) drainServerQueue(si int32) {
	s := &m.servers[si]
	for len(s.queue) > 0 && s.hung == 0 && s.down == 0 {
		n := s.queue[0]
		k := &m.calls[n]
		if k.state != callClosed && s.serving >= m.concurrencyOf(s, &m.routes[m.endpoints[k.endpoint].route]) {
			return
		}
		s.queue = slices.Delete(s.queue, 0, 1)
		if k.state == callClosed {
			k.queuedOrServing = false
			m.releaseCall(n)
			continue
		}
		m.serveCall(n)
	}
}

func (m *Simulation) respond(n int32, what api.Outcome, wait api.Micros) {
	m.respondAfter(n, what, wait, 0)
}

// respondAfter sends word back, once for each call.
func (m *Simulation) respondAfter(n int32, what api.Outcome, wait, in api.Micros) {
	k := &m.calls[n]
	if k.responded {
		return
	}
	k.responded, k.outcome, k.retryAfter = true, what, wait
	m.schedule(in+m.networkDelay(m.servers[k.server].zone, m.dispatchers[k.dispatcher].zone), scheduledEvent{kind: evResponse, subject: n, generation: k.generation})
}

// finishCall closes a call at its dispatcher's side and tells each webhook in it the outcome.
func (m *Simulation) finishCall(n int32, what api.Outcome, wait api.Micros) {
	k := &m.calls[n]
	d := &m.dispatchers[k.dispatcher]
	for i := range k.attempts {
		if it := &k.attempts[i]; !it.ended {
			it.ended = true
			d.enqueue(notification{kind: notifyOutcome, id: it.webhook.id, endpoint: idOf(k.endpoint), outcome: what, attempt: it.webhook.attempts - 1,
				latency: m.now - k.sentAt, retryAfter: wait})
		}
	}
	keep := what == api.Delivered || what == api.Rejected || what == api.ErrorResponse
	m.closeCallKeeping(n, keep)
}

// cancelAttempt calls one webhook of a call off; the connection goes with the last of them.
func (m *Simulation) cancelAttempt(n int32, h *webhook) {
	k := &m.calls[n]
	d, left := &m.dispatchers[k.dispatcher], false
	if k.state != callConnecting && k.state != callActive {
		return
	}
	for i := range k.attempts {
		it := &k.attempts[i]
		if it.webhook == h && !it.ended {
			it.ended = true
			d.enqueue(notification{kind: notifyOutcome, id: h.id, endpoint: idOf(k.endpoint), outcome: api.Cancelled, attempt: h.attempts - 1,
				latency: m.now - k.sentAt})
		}
		left = left || !it.ended
	}
	if !left {
		m.closeCall(n)
	}
}
