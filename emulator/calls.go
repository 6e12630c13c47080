package emulator

import (
	"math"
	"slices"

	"rowanlink/emulator/seen"
	"rowanlink/gateway"
)

type callState uint8

const (
	callFree callState = iota
	callMade           // in a turn that is not over
	callConnecting
	callOut
	callClosed // the dispatcher is done with it, the server is not
)

// call carries one webhook or several to an endpoint; it holds one slot until it is closed.
type call struct {
	gen       uint32
	at        callState
	d         int32
	ep        int32
	server    int32
	items     []item
	patience  gateway.Micros // of the least patient of them
	sentAt    gateway.Micros
	linked    bool   // its connection is up
	epoch     uint32 // of the server, when it came up
	atServer  bool   // served or waiting there
	serving   bool
	swallowed bool // by a process that answers nothing
	answered  bool // an answer, or word of a broken connection, is on its way
	verdict   gateway.Outcome
	wait      gateway.Micros
}

type item struct {
	h    *held
	done bool
}

func (m *Model) newCall(d *dispatcher, ep int32) int32 {
	var n int32
	if last := len(m.free) - 1; last >= 0 {
		n, m.free = m.free[last], m.free[:last]
	} else {
		m.calls = append(m.calls, call{})
		n = int32(len(m.calls) - 1)
	}
	k := &m.calls[n]
	*k = call{
		gen:      k.gen + 1,
		at:       callMade,
		d:        d.number,
		ep:       ep,
		server:   m.endpoints[ep].server,
		items:    k.items[:0],
		patience: math.MaxInt64,
	}
	return n
}

// release gives a call's place back once neither side needs it.
func (m *Model) release(n int32) {
	if k := &m.calls[n]; k.at == callClosed && !k.atServer {
		clear(k.items)
		k.at = callFree
		m.free = append(m.free, n)
	}
}

// drop takes back a call that never departed.
func (m *Model) drop(n int32) {
	k := &m.calls[n]
	m.dispatchers[k.d].out--
	k.at = callClosed
	m.release(n)
}

func (m *Model) onCall(what seen.What, k *call) {
	e := &m.endpoints[k.ep]
	weight := 1 + m.dests[e.dest].kind.ItemCost*float64(len(k.items)-1)
	m.Bus.Emit(seen.Event{At: m.now, What: what, Dispatcher: k.d, Endpoint: idOf(k.ep), Destination: e.dest,
		Route: seen.Route(e.route), Zone: e.zone, Weight: weight, Webhook: k.items[0].h.id})
}

// depart takes an idle connection, the last used first, or opens one.
func (m *Model) depart(n int32) {
	k := &m.calls[n]
	d, s := &m.dispatchers[k.d], &m.servers[k.server]
	k.sentAt = m.now
	m.onCall(seen.CallOut, k)
	m.after(k.patience, event{kind: evGiveUp, a: n, gen: k.gen})
	if l := d.links[k.ep]; l != nil && l.epoch == s.epoch {
		m.closeIdle(d, k.ep)
		if last := len(l.idle) - 1; last >= 0 {
			l.idle = l.idle[:last]
			k.linked, k.epoch, k.at = true, s.epoch, callOut
			m.after(m.way(d.zone, s.zone), event{kind: evReach, a: n, gen: k.gen})
			return
		}
	}
	k.at = callConnecting
	m.after(m.way(d.zone, s.zone), event{kind: evConnect, a: n, gen: k.gen})
}

func (m *Model) toCall(e event) {
	k := &m.calls[e.a]
	switch e.kind {
	case evConnect:
		if k.at == callConnecting {
			m.connect(e.a)
		}
	case evReach:
		if k.at == callOut {
			m.reach(e.a)
		}
	case evServed:
		m.leaveServer(e.a)
	case evAnswer:
		if k.at == callOut || k.at == callConnecting {
			m.finish(e.a, k.verdict, k.wait)
		}
	case evGiveUp:
		switch k.at {
		case callConnecting: // not a byte has left
			m.finish(e.a, gateway.ConnectFailed, 0)
		case callOut:
			m.finish(e.a, gateway.TimedOut, 0)
		}
	}
}

func (m *Model) connect(n int32) {
	k := &m.calls[n]
	s, d := &m.servers[k.server], &m.dispatchers[k.d]
	places := m.dests[m.endpoints[k.ep].dest].kind.Places
	switch {
	case s.down > 0 && s.silent > 0:
		m.answerIn(n, gateway.ConnectFailed, 0, max(m.plan.Dispatchers.ConnectTimeout.us()-(m.now-k.sentAt), 0))
	case s.down > 0:
		m.answer(n, gateway.ConnectFailed, 0)
	case places > 0 && s.conns >= places:
		what := gateway.ConnectFailed
		if m.dests[m.endpoints[k.ep].dest].kind.PlacesTold {
			what = gateway.Crowded
		}
		m.answer(n, what, 0)
	default:
		s.conns++
		k.linked, k.epoch, k.at = true, s.epoch, callOut
		m.onCall(seen.Connected, k)
		m.after(2*m.way(d.zone, s.zone), event{kind: evReach, a: n, gen: k.gen})
	}
}

// reach has a call's last byte come to the endpoint: from here on it weighs, whatever becomes of it.
func (m *Model) reach(n int32) {
	k := &m.calls[n]
	e := &m.endpoints[k.ep]
	s, r := &m.servers[k.server], &m.routes[e.route]
	if s.epoch != k.epoch || s.down > 0 {
		m.answer(n, gateway.Reset, 0)
		return
	}
	m.onCall(seen.Reached, k)
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
		m.answerIn(n, gateway.Errored, 0, m.served(s, r.kind, 1)/4)
	case len(s.resets) > 0 && m.chance.Float64() < combined(s.resets):
		m.answer(n, gateway.Reset, 0)
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
	wait := gateway.Micros(0)
	if mayTell && m.chance.Float64() < r.kind.TellsWait {
		wait = within(m.chance, r.kind.Wait).us()
	}
	m.onCall(seen.Refused, &m.calls[n])
	m.answer(n, gateway.Full, wait)
}

func (m *Model) atOnce(s *server, r *route) int { return max(int(float64(s.atOnce)*m.capacity(r)), 1) }

func (m *Model) serveCall(n int32) {
	k := &m.calls[n]
	s := &m.servers[k.server]
	s.busy++
	k.atServer, k.serving = true, true
	m.after(
		m.served(s, m.dests[m.endpoints[k.ep].dest].kind, len(k.items)),
		event{kind: evServed, a: n, gen: k.gen},
	)
}

// leaveServer ends a call's service and lets the next ones in.
func (m *Model) leaveServer(n int32) {
	k := &m.calls[n]
	if !k.serving {
		return
	}
	s := &m.servers[k.server]
	s.busy--
	k.atServer, k.serving = false, false
	switch {
	case k.at == callClosed:
		m.release(n)
	case s.hung > 0:
		k.swallowed = true
	case len(s.bad) > 0 && m.chance.Float64() < combined(s.bad): // it ran; its answer is lost
	default:
		m.answer(n, gateway.Delivered, 0)
	}
	m.serve(m.calls[n].server)
}

// serve lets calls in from the line while there is room; those given up meanwhile are left out.
func (m *Model) serve(si int32) {
	s := &m.servers[si]
	for len(s.line) > 0 && s.hung == 0 && s.down == 0 {
		n := s.line[0]
		k := &m.calls[n]
		if k.at != callClosed && s.busy >= m.atOnce(s, &m.routes[m.endpoints[k.ep].route]) {
			return
		}
		s.line = slices.Delete(s.line, 0, 1)
		if k.at == callClosed {
			k.atServer = false
			m.release(n)
			continue
		}
		m.serveCall(n)
	}
}

func (m *Model) answer(n int32, what gateway.Outcome, wait gateway.Micros) {
	m.answerIn(n, what, wait, 0)
}

// answerIn sends word back, once for each call.
func (m *Model) answerIn(n int32, what gateway.Outcome, wait, in gateway.Micros) {
	k := &m.calls[n]
	if k.answered {
		return
	}
	k.answered, k.verdict, k.wait = true, what, wait
	m.after(in+m.way(m.servers[k.server].zone, m.dispatchers[k.d].zone), event{kind: evAnswer, a: n, gen: k.gen})
}

// finish closes a call at its dispatcher's side and tells each webhook in it the outcome.
func (m *Model) finish(n int32, what gateway.Outcome, wait gateway.Micros) {
	k := &m.calls[n]
	d := &m.dispatchers[k.d]
	for i := range k.items {
		if it := &k.items[i]; !it.done {
			it.done = true
			d.put(news{kind: newsOutcome, id: it.h.id, ep: idOf(k.ep), what: what, attempt: it.h.attempts - 1,
				took: m.now - k.sentAt, wait: wait})
		}
	}
	keep := what == gateway.Delivered || what == gateway.Full || what == gateway.Errored
	m.hangUpOr(n, keep)
}

// cancel calls one webhook of a call off; the connection goes with the last of them.
func (m *Model) cancel(n int32, h *held) {
	k := &m.calls[n]
	d, left := &m.dispatchers[k.d], false
	if k.at != callConnecting && k.at != callOut {
		return
	}
	for i := range k.items {
		it := &k.items[i]
		if it.h == h && !it.done {
			it.done = true
			d.put(news{kind: newsOutcome, id: h.id, ep: idOf(k.ep), what: gateway.Cancelled, attempt: h.attempts - 1,
				took: m.now - k.sentAt})
		}
		left = left || !it.done
	}
	if !left {
		m.hangUp(n)
	}
}

func (m *Model) hangUp(n int32) { m.hangUpOr(n, false) }

// hangUpOr gives the slot back and ends the call's connection, or keeps it as an idle one.
func (m *Model) hangUpOr(n int32, keep bool) {
	k := &m.calls[n]
	d, s := &m.dispatchers[k.d], &m.servers[k.server]
	if k.at != callMade {
		m.onCall(seen.CallBack, k)
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
