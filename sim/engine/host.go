package engine

import (
	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// Now is the model's clock.
func (d *dispatcher) Now() api.Micros { return d.sim.now }

// StartAttempt makes a delivery attempt, alone or in a call of this turn to the same endpoint that has room.
func (d *dispatcher) StartAttempt(id api.WebhookID, ep api.EndpointID, patience, _ api.Micros) {
	m, w, i := d.sim, d.webhooks[id], indexOf(ep)
	if w == nil || w.call >= 0 {
		// Nothing is held under this id, or it is out already: for an observer it is an attempt all the same.
		m.Bus.Emit(event.Event{At: m.now, Kind: event.AttemptStarted, Dispatcher: d.number, Webhook: id, Endpoint: ep})
		return
	}
	w.attempts++
	request := &m.requests[w.request]
	known := i >= 0 && int(i) < len(m.endpoints) && m.endpoints[i].destination == request.destination
	if w.finished || !known || !d.mayCall(w) || w.attempts > m.scenario.Dispatchers.MaxAttempts || m.now >= request.deadline {
		d.enqueue(notification{kind: notifyOutcome, id: id, endpoint: ep, outcome: api.NotSent, attempt: w.attempts - 1})
		return
	}
	w.attemptStartedAt, w.attemptZone = m.now, m.endpoints[i].zone
	if patience <= 0 || patience > request.deadline-m.now {
		patience = request.deadline - m.now
	}
	batch := m.destinations[request.destination].kind.BatchSize
	at := int32(-1)
	for _, k := range d.pendingCalls {
		if c := &m.calls[k]; c.endpoint == i && len(c.attempts) < batch {
			at = k
			break
		}
	}
	if at < 0 {
		if d.activeCalls >= m.scenario.Dispatchers.MaxConcurrentCalls {
			d.enqueue(notification{kind: notifyOutcome, id: id, endpoint: ep, outcome: api.NotSent, attempt: w.attempts - 1})
			return
		}
		d.activeCalls++
		at = m.newCall(d, i)
		d.pendingCalls = append(d.pendingCalls, at)
	}
	c := &m.calls[at]
	c.attempts = append(c.attempts, callAttempt{webhook: w})
	c.timeout = min(c.timeout, patience)
	w.call = at
	if !d.dyingInIteration {
		m.Bus.Emit(m.webhookEvent(event.AttemptStarted, d, w, event.Event{Attempt: w.attempts - 1, Endpoint: ep,
			Route: event.Route(m.endpoints[i].route), Zone: m.endpoints[i].zone}))
	}
}

// CancelAttempt calls off an attempt that is out.
func (d *dispatcher) CancelAttempt(id api.WebhookID, _ int) {
	if w := d.webhooks[id]; w != nil && w.call >= 0 {
		d.sim.cancelAttempt(w.call, w)
	}
}

func (d *dispatcher) Reject(id api.WebhookID, retryAfter api.Micros) {
	if w := d.webhooks[id]; w != nil && !w.finished {
		d.sim.finishWebhook(d, w, event.Rejected, retryAfter)
	}
}

func (d *dispatcher) DeadLetter(id api.WebhookID) {
	if w := d.webhooks[id]; w != nil && !w.finished {
		d.sim.finishWebhook(d, w, event.DeadLettered, 0)
	}
}

func (d *dispatcher) SetTimer(in api.Micros, timer api.TimerID) {
	d.sim.schedule(in, scheduledEvent{kind: evTimer, subject: d.number, detail: int32(timer), generation: d.incarnation})
}

func (d *dispatcher) CloseIdleConnections(ep api.EndpointID) {
	if idle := d.connections[indexOf(ep)]; idle != nil {
		s := &d.sim.servers[d.sim.endpoints[indexOf(ep)].server]
		if idle.epoch == s.epoch {
			s.connections -= len(idle.since)
		}
		idle.since = idle.since[:0]
	}
}

func (d *dispatcher) Log(string) {}
