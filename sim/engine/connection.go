package engine

import (
	"slices"

	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// connect handles the arrival of a connect at the server of a call.
func (m *Simulation) connect(n int32) {
	c := &m.calls[n]
	s, d := &m.servers[c.server], &m.dispatchers[c.dispatcher]
	kind := m.destinations[m.endpoints[c.endpoint].destination].kind
	switch {
	case s.down > 0 && s.unresponsive > 0:
		timeout := m.scenario.Dispatchers.ConnectTimeout.micros() - (m.now - c.sentAt)
		m.respondAfter(n, api.ConnectFailed, 0, max(timeout, 0))
	case s.down > 0:
		m.respond(n, api.ConnectFailed, 0)
	case kind.MaxConnections > 0 && s.connections >= kind.MaxConnections:
		outcome := api.ConnectFailed
		if kind.ReportsConnectionLimit {
			outcome = api.ConnectionLimited
		}
		m.respond(n, outcome, 0)
	default:
		s.connections++
		c.connected = true
		c.epoch = s.epoch
		c.state = callActive
		m.emitCall(event.Connected, c)
		m.scheduleCall(n, 2*m.networkDelay(d.zone, s.zone), evCallArrival)
	}
}

// arriveAtEndpoint handles the arrival of a call's last byte. From here on the call is load, whatever its outcome.
func (m *Simulation) arriveAtEndpoint(n int32) {
	c := &m.calls[n]
	e := &m.endpoints[c.endpoint]
	s, r := &m.servers[c.server], &m.routes[e.route]
	if s.epoch != c.epoch || s.down > 0 {
		m.respond(n, api.ConnectionReset, 0)
		return
	}
	m.emitCall(event.CallArrived, c)
	m.recordWarmupLoad(e.route, m.weightOf(c))
	switch {
	case s.down > 0: // this call made the route collapse
	case s.hung > 0:
		c.unanswerable = true
	case s.closed > 0:
		m.refuseCall(n, r, true)
	case e.removed || e.draining:
		m.refuseCall(n, r, false)
	case m.happens(s.errorShares):
		m.respondAfter(n, api.ErrorResponse, 0, m.serviceTime(s, r.kind, 1)/4)
	case m.happens(s.resetShares):
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

// refuseCall rejects a call, with a Retry-After time where the destination gives one.
func (m *Simulation) refuseCall(n int32, r *route, mayRetryAfter bool) {
	retryAfter := api.Micros(0)
	if mayRetryAfter && m.random.Float64() < r.kind.RetryAfterShare {
		retryAfter = randomInRange(m.random, r.kind.RetryAfter).micros()
	}
	m.emitCall(event.CallRefused, &m.calls[n])
	m.respond(n, api.Rejected, retryAfter)
}

// closeCall closes a call and its connection.
func (m *Simulation) closeCall(n int32) { m.closeCallKeeping(n, false) }

// closeCallKeeping releases the slot of a call, and closes its connection or keeps it as an idle one.
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

func (m *Simulation) scheduleIdleTimeout(d *dispatcher, endpointIndex int32, delay api.Micros) {
	m.schedule(delay, scheduledEvent{
		kind:       evIdleTimeout,
		subject:    d.number,
		detail:     endpointIndex,
		generation: d.incarnation,
	})
}

func (m *Simulation) keepConnection(d *dispatcher, c *call) {
	idle := d.connections[c.endpoint]
	if idle == nil {
		idle = &idleConnections{}
		d.connections[c.endpoint] = idle
	}
	if idle.epoch != c.epoch {
		idle.epoch = c.epoch
		idle.since = idle.since[:0]
	}
	idle.since = append(idle.since, m.now)
	kind := m.destinations[m.endpoints[c.endpoint].destination].kind
	if kind.MaxConnections > 0 && !idle.timerScheduled {
		idle.timerScheduled = true
		m.scheduleIdleTimeout(d, c.endpoint, m.scenario.Dispatchers.IdleTimeout.micros())
	}
}

// closeExpiredIdle closes the connections that have been idle for too long: at that time where the endpoint limits
// connections, else before the next use.
func (m *Simulation) closeExpiredIdle(d *dispatcher, endpointIndex int32) {
	idle, timeout := d.connections[endpointIndex], m.scenario.Dispatchers.IdleTimeout.micros()
	s := &m.servers[m.endpoints[endpointIndex].server]
	if idle == nil || idle.epoch != s.epoch {
		return
	}
	expired := 0
	for expired < len(idle.since) && idle.since[expired]+timeout <= m.now {
		expired++
	}
	s.connections -= expired
	idle.since = slices.Delete(idle.since, 0, expired)
	if !idle.timerScheduled {
		return
	}
	idle.timerScheduled = len(idle.since) > 0
	if idle.timerScheduled {
		m.scheduleIdleTimeout(d, endpointIndex, idle.since[0]+timeout-m.now)
	}
}
