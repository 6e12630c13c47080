package engine

import (
	"math"
	"slices"

	eventpkg "rowanlink/sim/event"
	"rowanlink/webhook/api"
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
	patience  api.Micros // of the least patient of them
	sentAt    api.Micros
	linked    bool   // its connection is up
	epoch     uint32 // of the server, when it came up
	atServer  bool   // served or waiting there
	serving   bool
	swallowed bool // by a process that answers nothing
	answered  bool // an answer, or word of a broken connection, is on its way
	verdict   api.Outcome
	wait      api.Micros
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

func (m *Model) onCall(what eventpkg.Kind, k *call) {
	e := &m.endpoints[k.ep]
	weight := 1 + m.dests[e.dest].kind.ItemCost*float64(len(k.items)-1)
	m.Bus.Emit(eventpkg.Event{At: m.now, Kind: what, Dispatcher: k.d, Endpoint: idOf(k.ep), Destination: e.dest,
		Route: eventpkg.Route(e.route), Zone: e.zone, Weight: weight, Webhook: k.items[0].h.id})
}

// depart takes an idle connection, the last used first, or opens one.
func (m *Model) depart(n int32) {
	k := &m.calls[n]
	d, s := &m.dispatchers[k.d], &m.servers[k.server]
	k.sentAt = m.now
	m.onCall(eventpkg.CallStarted, k)
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
			m.finish(e.a, api.ConnectFailed, 0)
		case callOut:
			m.finish(e.a, api.TimedOut, 0)
		}
	}
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
		m.answer(n, api.Delivered, 0)
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

func (m *Model) answer(n int32, what api.Outcome, wait api.Micros) {
	m.answerIn(n, what, wait, 0)
}

// answerIn sends word back, once for each call.
func (m *Model) answerIn(n int32, what api.Outcome, wait, in api.Micros) {
	k := &m.calls[n]
	if k.answered {
		return
	}
	k.answered, k.verdict, k.wait = true, what, wait
	m.after(in+m.way(m.servers[k.server].zone, m.dispatchers[k.d].zone), event{kind: evAnswer, a: n, gen: k.gen})
}

// finish closes a call at its dispatcher's side and tells each webhook in it the outcome.
func (m *Model) finish(n int32, what api.Outcome, wait api.Micros) {
	k := &m.calls[n]
	d := &m.dispatchers[k.d]
	for i := range k.items {
		if it := &k.items[i]; !it.done {
			it.done = true
			d.put(news{kind: newsOutcome, id: it.h.id, ep: idOf(k.ep), what: what, attempt: it.h.attempts - 1,
				took: m.now - k.sentAt, wait: wait})
		}
	}
	keep := what == api.Delivered || what == api.Rejected || what == api.ErrorResponse
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
			d.put(news{kind: newsOutcome, id: h.id, ep: idOf(k.ep), what: api.Cancelled, attempt: h.attempts - 1,
				took: m.now - k.sentAt})
		}
		left = left || !it.done
	}
	if !left {
		m.hangUp(n)
	}
}
