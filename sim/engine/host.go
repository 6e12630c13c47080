package engine

import (
	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// Now is the model's clock.
func (d *dispatcher) Now() api.Micros { return d.m.now }

// StartAttempt makes a delivery attempt, alone or in a call of this turn to the same endpoint that has room.
func (d *dispatcher) StartAttempt(id api.WebhookID, ep api.EndpointID, patience, _ api.Micros) {
	m, h, i := d.m, d.webhooks[id], indexOf(ep)
	if h == nil || h.call >= 0 {
		// Nothing is held under this id, or it is out already: for an observer it is an attempt all the same.
		m.Bus.Emit(event.Event{At: m.now, Kind: event.AttemptStarted, Dispatcher: d.number, Webhook: id, Endpoint: ep})
		return
	}
	h.attempts++
	o := &m.requests[h.request]
	known := i >= 0 && int(i) < len(m.endpoints) && m.endpoints[i].destination == o.destination
	if h.finished || !known || !d.mayCall(h) || h.attempts > m.scenario.Dispatchers.MaxAttempts || m.now >= o.deadline {
		d.enqueue(notification{kind: notifyOutcome, id: id, endpoint: ep, outcome: api.NotSent, attempt: h.attempts - 1})
		return
	}
	h.attemptStartedAt, h.attemptZone = m.now, m.endpoints[i].zone
	if patience <= 0 || patience > o.deadline-m.now {
		patience = o.deadline - m.now
	}
	batch := m.destinations[o.destination].kind.BatchSize
	at := int32(-1)
	for _, k := range d.pendingCalls {
		if c := &m.calls[k]; c.endpoint == i && len(c.attempts) < batch {
			at = k
			break
		}
	}
	if at < 0 {
		if d.activeCalls >= m.scenario.Dispatchers.MaxConcurrentCalls {
			d.enqueue(notification{kind: notifyOutcome, id: id, endpoint: ep, outcome: api.NotSent, attempt: h.attempts - 1})
			return
		}
		d.activeCalls++
		at = m.newCall(d, i)
		d.pendingCalls = append(d.pendingCalls, at)
	}
	k := &m.calls[at]
	k.attempts = append(k.attempts, callAttempt{webhook: h})
	k.timeout = min(k.timeout, patience)
	h.call = at
	if !d.dyingInIteration {
		m.Bus.Emit(m.webhookEvent(event.AttemptStarted, d, h, event.Event{Attempt: h.attempts - 1, Endpoint: ep,
			Route: event.Route(m.endpoints[i].route), Zone: m.endpoints[i].zone}))
	}
}

// CancelAttempt calls off an attempt that is out.
func (d *dispatcher) CancelAttempt(id api.WebhookID, _ int) {
	if h := d.webhooks[id]; h != nil && h.call >= 0 {
		d.m.cancelAttempt(h.call, h)
	}
}

func (d *dispatcher) Reject(id api.WebhookID, advised api.Micros) {
	if h := d.webhooks[id]; h != nil && !h.finished {
		d.m.finishWebhook(d, h, event.Rejected, advised)
	}
}

func (d *dispatcher) DeadLetter(id api.WebhookID) {
	if h := d.webhooks[id]; h != nil && !h.finished {
		d.m.finishWebhook(d, h, event.DeadLettered, 0)
	}
}

func (d *dispatcher) SetTimer(in api.Micros, timer api.TimerID) {
	d.m.schedule(in, scheduledEvent{kind: evTimer, subject: d.number, detail: int32(timer), generation: d.incarnation})
}

func (d *dispatcher) CloseIdleConnections(ep api.EndpointID) {
	if l := d.connections[indexOf(ep)]; l != nil {
		s := &d.m.servers[d.m.endpoints[indexOf(ep)].server]
		if l.epoch == s.epoch {
			s.connections -= len(l.since)
		}
		l.since = l.since[:0]
	}
}

func (d *dispatcher) Log(string) {}
