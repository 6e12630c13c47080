package engine

import (
	"slices"

	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

func (m *Simulation) connect(n int32) {
	c := &m.calls[n]
	s, d := &m.servers[c.server], &m.dispatchers[c.dispatcher]
	places := m.destinations[m.endpoints[c.endpoint].destination].kind.MaxConnections
	switch {
	case s.down > 0 && s.unresponsive > 0:
		m.respondAfter(n, api.ConnectFailed, 0, max(m.scenario.Dispatchers.ConnectTimeout.micros()-(m.now-c.sentAt), 0))
	case s.down > 0:
		m.respond(n, api.ConnectFailed, 0)
	case places > 0 && s.connections >= places:
		outcome := api.ConnectFailed
		if m.destinations[m.endpoints[c.endpoint].destination].kind.ReportsConnectionLimit {
			outcome = api.ConnectionLimited
		}
		m.respond(n, outcome, 0)
	default:
		s.connections++
		c.connected, c.epoch, c.state = true, s.epoch, callActive
		m.emitCall(event.Connected, c)
		m.schedule(2*m.networkDelay(d.zone, s.zone), scheduledEvent{kind: evCallArrival, subject: n, generation: c.generation})
	}
}

// arriveAtEndpoint has a call's last byte come to the endpoint: from here on it weighs, whatever becomes of it.
func (m *Simulation) arriveAtEndpoint(n int32) {
	c := &m.calls[n]
	e := &m.endpoints[c.endpoint]
	s, r := &m.servers[c.server], &m.routes[e.route]
	if s.epoch != c.epoch || s.down > 0 {
		m.respond(n, api.ConnectionReset, 0)
		return
	}
	m.emitCall(event.CallArrived, c)
	m.recordWarmupLoad(e.route, 1+r.kind.BatchItemCost*float64(len(c.attempts)-1))
	switch {
	case s.down > 0: // that call pushed it over
	case s.hung > 0:
		c.unanswerable = true
	case s.closed > 0:
		m.refuseCall(n, r, true)
	case e.removed || e.draining:
		m.refuseCall(n, r, false)
	case len(s.errorShares) > 0 && m.random.Float64() < combinedShare(s.errorShares):
		m.respondAfter(n, api.ErrorResponse, 0, m.serviceTime(s, r.kind, 1)/4)
	case len(s.resetShares) > 0 && m.random.Float64() < combinedShare(s.resetShares):
		m.respond(n, api.ConnectionReset, 0)
	case !m.admitsCall(r):
		m.refuseCall(n, r, true)
	case s.serving < m.concurrencyOf(s, r):
		m.serveCall(n)
	case len(s.queue) < s.queueCapacity:
		c.queuedOrServing = true
		s.queue = append(s.queue, n)
	default:
		m.refuseCall(n, r, true)
	}
}

func (m *Simulation) refuseCall(n int32, r *route, mayTell bool) {
	retryAfter := api.Micros(0)
	if mayTell && m.random.Float64() < r.kind.RetryAfterShare {
		retryAfter = randomInRange(m.random, r.kind.RetryAfter).micros()
	}
	m.emitCall(event.CallRefused, &m.calls[n])
	m.respond(n, api.Rejected, retryAfter)
}

func (m *Simulation) closeCall(n int32) { m.closeCallKeeping(n, false) }

// closeCallKeeping gives the slot back and ends the call's connection, or keeps it as an idle one.
func (m *Simulation) closeCallKeeping(n int32, keep bool) {
	c := &m.calls[n]
	d, s := &m.dispatchers[c.dispatcher], &m.servers[c.server]
	if c.state != callPending {
		m.emitCall(event.CallFinished, c)
	}
	d.activeCalls--
	if c.connected && c.epoch == s.epoch {
		if keep {
			m.keepConnection(d, c)
		} else {
			s.connections--
		}
	}
	c.state = callClosed
	m.releaseCall(n)
}

func (m *Simulation) keepConnection(d *dispatcher, c *call) {
	idle := d.connections[c.endpoint]
	if idle == nil {
		idle = &idleConnections{}
		d.connections[c.endpoint] = idle
	}
	if idle.epoch != c.epoch {
		idle.epoch, idle.since = c.epoch, idle.since[:0]
	}
	idle.since = append(idle.since, m.now)
	if m.destinations[m.endpoints[c.endpoint].destination].kind.MaxConnections > 0 && !idle.timerScheduled {
		idle.timerScheduled = true
		m.schedule(m.scenario.Dispatchers.IdleTimeout.micros(), scheduledEvent{kind: evIdleTimeout, subject: d.number, detail: c.endpoint, generation: d.incarnation})
	}
}

// closeExpiredIdle closes the connections that have been idle for too long. Where places are scarce it comes by
// itself at the time; elsewhere before the next use.
func (m *Simulation) closeExpiredIdle(d *dispatcher, endpointIndex int32) {
	idle, limit := d.connections[endpointIndex], m.scenario.Dispatchers.IdleTimeout.micros()
	s := &m.servers[m.endpoints[endpointIndex].server]
	if idle == nil || idle.epoch != s.epoch {
		return
	}
	n := 0
	for n < len(idle.since) && idle.since[n]+limit <= m.now {
		n++
	}
	s.connections -= n
	idle.since = slices.Delete(idle.since, 0, n)
	if idle.timerScheduled {
		if idle.timerScheduled = len(idle.since) > 0; idle.timerScheduled {
			m.schedule(idle.since[0]+limit-m.now, scheduledEvent{kind: evIdleTimeout, subject: d.number, detail: endpointIndex, generation: d.incarnation})
		}
	}
}
