package engine

import (
	"slices"

	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

func (m *Simulation) connect(n int32) {
	k := &m.calls[n]
	s, d := &m.servers[k.server], &m.dispatchers[k.dispatcher]
	places := m.destinations[m.endpoints[k.endpoint].destination].kind.MaxConnections
	switch {
	case s.down > 0 && s.unresponsive > 0:
		m.respondAfter(n, api.ConnectFailed, 0, max(m.scenario.Dispatchers.ConnectTimeout.micros()-(m.now-k.sentAt), 0))
	case s.down > 0:
		m.respond(n, api.ConnectFailed, 0)
	case places > 0 && s.connections >= places:
		what := api.ConnectFailed
		if m.destinations[m.endpoints[k.endpoint].destination].kind.ReportsConnectionLimit {
			what = api.ConnectionLimited
		}
		m.respond(n, what, 0)
	default:
		s.connections++
		k.connected, k.epoch, k.state = true, s.epoch, callActive
		m.emitCall(event.Connected, k)
		m.schedule(2*m.networkDelay(d.zone, s.zone), scheduledEvent{kind: evCallArrival, subject: n, generation: k.generation})
	}
}

// arriveAtEndpoint has a call's last byte come to the endpoint: from here on it weighs, whatever becomes of it.
func (m *Simulation) arriveAtEndpoint(n int32) {
	k := &m.calls[n]
	e := &m.endpoints[k.endpoint]
	s, r := &m.servers[k.server], &m.routes[e.route]
	if s.epoch != k.epoch || s.down > 0 {
		m.respond(n, api.ConnectionReset, 0)
		return
	}
	m.emitCall(event.CallArrived, k)
	m.recordWarmupLoad(e.route, 1+r.kind.BatchItemCost*float64(len(k.attempts)-1))
	switch {
	case s.down > 0: // that call pushed it over
	case s.hung > 0:
		k.unanswerable = true
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
		k.queuedOrServing = true
		s.queue = append(s.queue, n)
	default:
		m.refuseCall(n, r, true)
	}
}

func (m *Simulation) refuseCall(n int32, r *route, mayTell bool) {
	wait := api.Micros(0)
	if mayTell && m.random.Float64() < r.kind.RetryAfterShare {
		wait = randomInRange(m.random, r.kind.RetryAfter).micros()
	}
	m.emitCall(event.CallRefused, &m.calls[n])
	m.respond(n, api.Rejected, wait)
}

func (m *Simulation) closeCall(n int32) { m.closeCallKeeping(n, false) }

// closeCallKeeping gives the slot back and ends the call's connection, or keeps it as an idle one.
func (m *Simulation) closeCallKeeping(n int32, keep bool) {
	k := &m.calls[n]
	d, s := &m.dispatchers[k.dispatcher], &m.servers[k.server]
	if k.state != callPending {
		m.emitCall(event.CallFinished, k)
	}
	d.activeCalls--
	if k.connected && k.epoch == s.epoch {
		if keep {
			m.keepConnection(d, k)
		} else {
			s.connections--
		}
	}
	k.state = callClosed
	m.releaseCall(n)
}

func (m *Simulation) keepConnection(d *dispatcher, k *call) {
	l := d.connections[k.endpoint]
	if l == nil {
		l = &idleConnections{}
		d.connections[k.endpoint] = l
	}
	if l.epoch != k.epoch {
		l.epoch, l.since = k.epoch, l.since[:0]
	}
	l.since = append(l.since, m.now)
	if m.destinations[m.endpoints[k.endpoint].destination].kind.MaxConnections > 0 && !l.timerScheduled {
		l.timerScheduled = true
		m.schedule(m.scenario.Dispatchers.IdleTimeout.micros(), scheduledEvent{kind: evIdleTimeout, subject: d.number, detail: k.endpoint, generation: d.incarnation})
	}
}

// closeExpiredIdle closes the connections that have been idle for too long. Where places are scarce it comes by
// itself at the time; elsewhere before the next use.
func (m *Simulation) closeExpiredIdle(d *dispatcher, ep int32) {
	l, limit := d.connections[ep], m.scenario.Dispatchers.IdleTimeout.micros()
	s := &m.servers[m.endpoints[ep].server]
	if l == nil || l.epoch != s.epoch {
		return
	}
	n := 0
	for n < len(l.since) && l.since[n]+limit <= m.now {
		n++
	}
	s.connections -= n
	l.since = slices.Delete(l.since, 0, n)
	if l.timerScheduled {
		if l.timerScheduled = len(l.since) > 0; l.timerScheduled {
			m.schedule(l.since[0]+limit-m.now, scheduledEvent{kind: evIdleTimeout, subject: d.number, detail: ep, generation: d.incarnation})
		}
	}
}
