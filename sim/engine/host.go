package engine

import (
	eventpkg "rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// Now is the model's clock.
func (d *dispatcher) Now() api.Micros { return d.m.now }

// StartAttempt makes a delivery attempt, alone or in a call of this turn to the same endpoint that has room.
func (d *dispatcher) StartAttempt(id api.WebhookID, ep api.EndpointID, patience, _ api.Micros) {
	m, h, i := d.m, d.held[id], indexOf(ep)
	if h == nil || h.call >= 0 {
		// Nothing is held under this id, or it is out already: for an observer it is an attempt all the same.
		m.Bus.Emit(eventpkg.Event{At: m.now, Kind: eventpkg.AttemptStarted, Dispatcher: d.number, Webhook: id, Endpoint: ep})
		return
	}
	h.attempts++
	o := &m.origins[h.origin]
	known := i >= 0 && int(i) < len(m.endpoints) && m.endpoints[i].dest == o.dest
	if h.ended || !known || !d.serves(h) || h.attempts > m.plan.Dispatchers.Attempts || m.now >= o.ttl {
		d.put(news{kind: newsOutcome, id: id, ep: ep, what: api.NotSent, attempt: h.attempts - 1})
		return
	}
	h.sentAt, h.sentZone = m.now, m.endpoints[i].zone
	if patience <= 0 || patience > o.ttl-m.now {
		patience = o.ttl - m.now
	}
	batch := m.dests[o.dest].kind.Batch
	at := int32(-1)
	for _, k := range d.made {
		if c := &m.calls[k]; c.ep == i && len(c.items) < batch {
			at = k
			break
		}
	}
	if at < 0 {
		if d.out >= m.plan.Dispatchers.Slots {
			d.put(news{kind: newsOutcome, id: id, ep: ep, what: api.NotSent, attempt: h.attempts - 1})
			return
		}
		d.out++
		at = m.newCall(d, i)
		d.made = append(d.made, at)
	}
	k := &m.calls[at]
	k.items = append(k.items, item{h: h})
	k.patience = min(k.patience, patience)
	h.call = at
	if !d.muted {
		m.Bus.Emit(m.about(eventpkg.AttemptStarted, d, h, eventpkg.Event{Attempt: h.attempts - 1, Endpoint: ep,
			Route: eventpkg.Route(m.endpoints[i].route), Zone: m.endpoints[i].zone}))
	}
}

// CancelAttempt calls off an attempt that is out.
func (d *dispatcher) CancelAttempt(id api.WebhookID, _ int) {
	if h := d.held[id]; h != nil && h.call >= 0 {
		d.m.cancel(h.call, h)
	}
}

func (d *dispatcher) Reject(id api.WebhookID, advised api.Micros) {
	if h := d.held[id]; h != nil && !h.ended {
		d.m.end(d, h, eventpkg.Rejected, advised)
	}
}

func (d *dispatcher) DeadLetter(id api.WebhookID) {
	if h := d.held[id]; h != nil && !h.ended {
		d.m.end(d, h, eventpkg.DeadLettered, 0)
	}
}

func (d *dispatcher) SetTimer(in api.Micros, timer api.TimerID) {
	d.m.after(in, event{kind: evWake, a: d.number, b: int32(timer), gen: d.life})
}

func (d *dispatcher) CloseIdleConnections(ep api.EndpointID) {
	if l := d.links[indexOf(ep)]; l != nil {
		s := &d.m.servers[d.m.endpoints[indexOf(ep)].server]
		if l.epoch == s.epoch {
			s.conns -= len(l.idle)
		}
		l.idle = l.idle[:0]
	}
}

func (d *dispatcher) Log(string) {}
