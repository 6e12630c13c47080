package engine

import (
	"maps"
	"slices"

	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// losesState reports whether a dispatcher's persisted state is gone after the fault.
func (f *Fault) losesState() bool { return !f.KeepsState && f.Kind != FaultRestart }

// killDispatcher ends a dispatcher's process and schedules its next start. If its state is kept, the next incarnation
// recovers all webhooks that aren't finished; if not, clients resubmit those that may be repeated once they notice.
func (m *Simulation) killDispatcher(d *dispatcher, fault *Fault) {
	if !d.up {
		return
	}
	if fault.DuringIteration && !d.dyingInIteration {
		d.killNextIteration = fault
		return
	}
	m.emitKilled(d, fault)
	d.up = false
	d.deathNoticedAt = m.now + m.scenario.Clients.FailureDetectionDelay.micros()
	if fault.Kind == FaultRestart {
		d.deathNoticedAt = m.now
	}
	m.dropInbox(d)
	if m.cluster != nil {
		m.cluster.handleDeath(d, fault)
	}
	ids := slices.Sorted(maps.Keys(d.webhooks)) // runs must repeat: never the order of a map
	for _, id := range ids {
		if w := d.webhooks[id]; w.call >= 0 {
			w.recordPossibleRun()
		}
	}
	m.closeConnections(d)
	for _, id := range ids {
		m.endWebhookOfDead(d, d.webhooks[id], fault)
	}
	d.webhooks = map[api.WebhookID]*webhook{}
	d.inbox = nil
	d.policy = nil
	m.schedule(fault.Duration.micros(), scheduledEvent{kind: evStart, subject: d.number})
}

func (m *Simulation) emitKilled(d *dispatcher, fault *Fault) {
	e := event.Event{
		At:         m.now,
		Kind:       event.Killed,
		Dispatcher: d.number,
		Until:      m.now + fault.Duration.micros(),
	}
	if fault.losesState() {
		e.Final = event.StateLost
	}
	m.Bus.Emit(e)
}

// dropInbox drops the webhooks that wait for the next iteration. They were never acknowledged, so whoever sent them still
// has them.
func (m *Simulation) dropInbox(d *dispatcher) {
	for _, n := range d.inbox {
		switch {
		case n.kind != notifyAcceptance:
		case n.handoff == noHandoff:
			m.returnUnaccepted(n.id, d)
		default:
			m.cluster.dropUnaccepted(d, n)
		}
	}
}

func (m *Simulation) closeConnections(d *dispatcher) {
	for i := range m.calls {
		c := &m.calls[i]
		if c.dispatcher == d.number && c.state != callFree && c.state != callClosed {
			m.closeCall(int32(i))
		}
	}
	for _, e := range slices.Sorted(maps.Keys(d.connections)) {
		d.CloseIdleConnections(idOf(e))
	}
}

// endWebhookOfDead keeps a webhook of a dead dispatcher for its next incarnation, or loses it.
func (m *Simulation) endWebhookOfDead(d *dispatcher, w *webhook, fault *Fault) {
	w.call = noCall
	switch {
	case w.finished:
	case w.unacknowledged && !fault.KeepsState: // its sender still has it
		m.Bus.Emit(m.webhookEvent(event.Finished, d, w, event.Event{Final: event.StateLost}))
		m.closeCopy(w.request)
	case !fault.losesState():
		d.recovered = append(d.recovered, w)
	default:
		w.finished = true
		m.Bus.Emit(m.webhookEvent(event.Finished, d, w, event.Event{Final: event.StateLost}))
		m.resubmitLost(w)
	}
}

// resubmitLost has the client of a lost webhook submit it again if it may run again and is still in time.
func (m *Simulation) resubmitLost(w *webhook) {
	request := &m.requests[w.request]
	eventType := &m.scenario.EventTypes[request.eventType]
	delay := m.scenario.Clients.FailureDetectionDelay.micros()
	withinWindow := eventType.Semantics == semanticsDeduplicated && !eventType.DedupByZone &&
		m.now+delay < w.mayHaveRunAt+eventType.DedupWindow.micros()
	mayRepeat := w.mayHaveRunAt == never || eventType.Semantics == semanticsIdempotent || withinWindow
	if !mayRepeat || m.now+delay >= request.deadline {
		m.closeCopy(w.request)
		return
	}
	m.schedule(delay, scheduledEvent{kind: evSubmit, subject: w.request})
}

// killInIteration ends a dispatcher in the iteration that it runs. Its state is persisted, but neither responses nor calls
// of the iteration have left it.
func (m *Simulation) killInIteration(d *dispatcher) {
	fault := d.killNextIteration
	for _, c := range d.pendingCalls {
		for _, attempt := range m.calls[c].attempts {
			attempt.webhook.call = noCall
			attempt.webhook.recordPossibleRun() // the state doesn't tell that the call never left
		}
		m.discardCall(c)
	}
	d.pendingCalls = d.pendingCalls[:0]
	accepted := slices.Clone(d.acceptedInIteration)
	if !fault.KeepsState {
		for _, w := range accepted { // lost before the client had the response: the client submits it again
			w.mayHaveRunAt = never
		}
	}
	m.killDispatcher(d, fault)
	if !fault.KeepsState {
		return
	}
	for _, w := range accepted {
		if !w.unacknowledged {
			m.resubmitUnacknowledged(w.request)
		}
	}
}
