package engine

import (
	"maps"
	"slices"

	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// killDispatcher ends a dispatcher outright. With its journal, all that is not over is its own again at the next start;
// without, clients hand in again what may be repeated, once they notice.
func (m *Simulation) killDispatcher(d *dispatcher, t *Fault) {
	if !d.up {
		return
	}
	if t.DuringIteration && !d.dyingInIteration {
		d.killNextIteration = t
		return
	}
	back := m.now + t.Duration.micros()
	e := event.Event{At: m.now, Kind: event.Killed, Dispatcher: d.number, Until: back}
	if !t.KeepsState && t.Kind != "restart" {
		e.Final = event.StateLost
	}
	m.Bus.Emit(e)
	d.up, d.deathNoticedAt = false, m.now+m.scenario.Clients.FailureDetectionDelay.micros()
	if t.Kind == "restart" {
		d.deathNoticedAt = m.now
	}
	// What waited for a turn was handed in, but never answered: its clients come again.
	for _, n := range d.inbox {
		if n.kind == notifyAcceptance && n.handoff == noHandoff {
			m.returnUnaccepted(n.id, d)
		} else if n.kind == notifyAcceptance {
			m.cluster.dropUnaccepted(d, n)
		}
	}
	if m.cluster != nil {
		m.cluster.handleDeath(d, t)
	}
	// Guards repeatability: what is held is walked in its order, never a map's.
	ids := slices.Sorted(maps.Keys(d.webhooks))
	for _, id := range ids {
		h := d.webhooks[id]
		if h.call >= 0 && h.mayHaveRunAt == never {
			h.mayHaveRunAt, h.zone = h.attemptStartedAt, h.attemptZone
		}
	}
	for i := range m.calls {
		if k := &m.calls[i]; k.dispatcher == d.number && k.state != callFree && k.state != callClosed {
			m.closeCall(int32(i))
		}
	}
	for _, e := range slices.Sorted(maps.Keys(d.connections)) {
		d.CloseIdleConnections(idOf(e))
	}
	for _, id := range ids {
		h := d.webhooks[id]
		h.call = -1
		switch {
		case h.finished:
		case h.unacknowledged && !t.KeepsState: // who sent it here still has it
			m.Bus.Emit(m.webhookEvent(event.Finished, d, h, event.Event{Final: event.StateLost}))
			m.closeCopy(h.request)
		case t.KeepsState || t.Kind == "restart":
			d.recovered = append(d.recovered, h)
		default:
			h.finished = true
			m.Bus.Emit(m.webhookEvent(event.Finished, d, h, event.Event{Final: event.StateLost}))
			o := &m.requests[h.request]
			evt := &m.scenario.EventTypes[o.eventType]
			again := h.mayHaveRunAt == never || evt.Semantics == "idempotent" ||
				evt.Semantics == "tokened" && !evt.DedupByZone && m.now+m.scenario.Clients.FailureDetectionDelay.micros() < h.mayHaveRunAt+evt.DedupWindow.micros()
			if !again || m.now+m.scenario.Clients.FailureDetectionDelay.micros() >= o.deadline {
				m.closeCopy(h.request)
				continue
			}
			m.schedule(m.scenario.Clients.FailureDetectionDelay.micros(), scheduledEvent{kind: evSubmit, subject: h.request})
		}
	}
	d.webhooks, d.inbox, d.policy = map[api.WebhookID]*webhook{}, nil, nil
	m.schedule(t.Duration.micros(), scheduledEvent{kind: evStart, subject: d.number})
}

// killInIteration ends a dispatcher in the turn that it is in: its journal is written, but nothing of that turn has
// left, neither answers nor calls.
func (m *Simulation) killInIteration(d *dispatcher) {
	t := d.killNextIteration
	for _, k := range d.pendingCalls {
		for _, i := range m.calls[k].attempts {
			i.webhook.call = -1
			if i.webhook.mayHaveRunAt == never { // the journal can't tell that it never left
				i.webhook.mayHaveRunAt, i.webhook.zone = i.webhook.attemptStartedAt, i.webhook.attemptZone
			}
		}
		m.discardCall(k)
	}
	took := slices.Clone(d.acceptedInIteration)
	d.pendingCalls = d.pendingCalls[:0]
	if !t.KeepsState {
		for _, h := range took { // died with its dispatcher before its client heard: not a dead one's to hand on
			h.mayHaveRunAt = never
		}
	}
	m.killDispatcher(d, t)
	if t.KeepsState {
		for _, h := range took {
			if !h.unacknowledged {
				m.resubmitUnacknowledged(h.request)
			}
		}
	}
}
