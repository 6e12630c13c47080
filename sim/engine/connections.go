package engine

import (
	"slices"

	eventpkg "rowanlink/sim/event"
	"rowanlink/webhook/api"
)

func (m *Model) connect(n int32) {
	k := &m.calls[n]
	s, d := &m.servers[k.server], &m.dispatchers[k.d]
	places := m.dests[m.endpoints[k.ep].dest].kind.Places
	switch {
	case s.down > 0 && s.silent > 0:
		m.answerIn(n, api.ConnectFailed, 0, max(m.plan.Dispatchers.ConnectTimeout.us()-(m.now-k.sentAt), 0))
	case s.down > 0:
		m.answer(n, api.ConnectFailed, 0)
	case places > 0 && s.conns >= places:
		what := api.ConnectFailed
		if m.dests[m.endpoints[k.ep].dest].kind.PlacesTold {
			what = api.ConnectionLimited
		}
		m.answer(n, what, 0)
	default:
		s.conns++
		k.linked, k.epoch, k.at = true, s.epoch, callOut
		m.onCall(eventpkg.Connected, k)
		m.after(2*m.way(d.zone, s.zone), event{kind: evReach, a: n, gen: k.gen})
	}
}

// reach has a call's last byte come to the endpoint: from here on it weighs, whatever becomes of it.
func (m *Model) reach(n int32) {
	k := &m.calls[n]
	e := &m.endpoints[k.ep]
	s, r := &m.servers[k.server], &m.routes[e.route]
	if s.epoch != k.epoch || s.down > 0 {
		m.answer(n, api.ConnectionReset, 0)
		return
	}
	m.onCall(eventpkg.CallArrived, k)
	m.weigh(e.route, 1+r.kind.ItemCost*float64(len(k.items)-1))
	switch {
	case s.down > 0: // that call pushed it over
	case s.hung > 0:
		k.swallowed = true
	case s.shut > 0:
		m.refuse(n, r, true)
	case e.gone || e.drains:
		m.refuse(n, r, false)
	case len(s.errors) > 0 && m.chance.Float64() < combined(s.errors):
		m.answerIn(n, api.ErrorResponse, 0, m.served(s, r.kind, 1)/4)
	case len(s.resets) > 0 && m.chance.Float64() < combined(s.resets):
		m.answer(n, api.ConnectionReset, 0)
	case !m.admits(r):
		m.refuse(n, r, true)
	case s.busy < m.atOnce(s, r):
		m.serveCall(n)
	case len(s.line) < s.depth:
		k.atServer = true
		s.line = append(s.line, n)
	default:
		m.refuse(n, r, true)
	}
}

func (m *Model) refuse(n int32, r *route, mayTell bool) {
	wait := api.Micros(0)
	if mayTell && m.chance.Float64() < r.kind.TellsWait {
		wait = within(m.chance, r.kind.Wait).us()
	}
	m.onCall(eventpkg.CallRefused, &m.calls[n])
	m.answer(n, api.Rejected, wait)
}

func (m *Model) hangUp(n int32) { m.hangUpOr(n, false) }

// hangUpOr gives the slot back and ends the call's connection, or keeps it as an idle one.
func (m *Model) hangUpOr(n int32, keep bool) {
	k := &m.calls[n]
	d, s := &m.dispatchers[k.d], &m.servers[k.server]
	if k.at != callMade {
		m.onCall(eventpkg.CallFinished, k)
	}
	d.out--
	if k.linked && k.epoch == s.epoch {
		if keep {
			m.keepIdle(d, k)
		} else {
			s.conns--
		}
	}
	k.at = callClosed
	m.release(n)
}

func (m *Model) keepIdle(d *dispatcher, k *call) {
	l := d.links[k.ep]
	if l == nil {
		l = &links{}
		d.links[k.ep] = l
	}
	if l.epoch != k.epoch {
		l.epoch, l.idle = k.epoch, l.idle[:0]
	}
	l.idle = append(l.idle, m.now)
	if m.dests[m.endpoints[k.ep].dest].kind.Places > 0 && !l.due {
		l.due = true
		m.after(m.plan.Dispatchers.IdleLimit.us(), event{kind: evIdle, a: d.number, b: k.ep, gen: d.life})
	}
}

// closeIdle closes the connections that have been idle for too long. Where places are scarce it comes by
// itself at the time; elsewhere before the next use.
func (m *Model) closeIdle(d *dispatcher, ep int32) {
	l, limit := d.links[ep], m.plan.Dispatchers.IdleLimit.us()
	s := &m.servers[m.endpoints[ep].server]
	if l == nil || l.epoch != s.epoch {
		return
	}
	n := 0
	for n < len(l.idle) && l.idle[n]+limit <= m.now {
		n++
	}
	s.conns -= n
	l.idle = slices.Delete(l.idle, 0, n)
	if l.due {
		if l.due = len(l.idle) > 0; l.due {
			m.after(l.idle[0]+limit-m.now, event{kind: evIdle, a: d.number, b: ep, gen: d.life})
		}
	}
}
