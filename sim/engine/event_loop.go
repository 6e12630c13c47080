package engine

import (
	"slices"
	"time"

	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// enqueue adds a notification for the next iteration, and schedules that.
func (d *dispatcher) enqueue(n notification) {
	d.inbox = append(d.inbox, n)
	d.scheduleIteration()
}

func (d *dispatcher) scheduleIteration() {
	if d.iterationScheduled || !d.up {
		return
	}
	d.iterationScheduled = true
	earliest := d.lastIterationAt + d.sim.scenario.Dispatchers.MinIterationInterval.micros()
	at := max(d.sim.now, earliest, d.pausedUntil)
	d.sim.queue.Add(int64(at), scheduledEvent{kind: evIteration, subject: d.number, generation: d.incarnation})
}

// scheduleEndpointUpdate notifies the dispatcher of all endpoint changes so far, after its delay.
func (d *dispatcher) scheduleEndpointUpdate() {
	m := d.sim
	delay := randomInRange(m.random, m.scenario.Dispatchers.EndpointUpdateDelay).micros() + d.extraUpdateDelay
	m.schedule(delay, scheduledEvent{
		kind:       evEndpointUpdate,
		subject:    d.number,
		detail:     int32(len(m.endpointChanges)),
		generation: d.incarnation,
	})
}

func (m *Simulation) handleDispatcherEvent(d *dispatcher, e scheduledEvent) {
	switch e.kind {
	case evIteration:
		d.iterationScheduled = false
		if m.now < d.pausedUntil {
			d.scheduleIteration()
			return
		}
		m.runIteration(d)
	case evTimer:
		d.enqueue(notification{kind: notifyTimer, timer: api.TimerID(e.detail)})
	case evEndpointUpdate:
		d.learnEndpointChanges(int(e.detail))
	case evIdleTimeout:
		m.closeExpiredIdle(d, e.detail)
	}
}

// learnEndpointChanges enqueues the endpoint changes up to a number. Updates may overtake one another.
func (d *dispatcher) learnEndpointChanges(upTo int) {
	if upTo <= d.knownChanges {
		return
	}
	var endpoints []api.EndpointEntry
	for _, change := range d.sim.endpointChanges[d.knownChanges:upTo] {
		endpoints = append(endpoints, change.entry)
	}
	d.knownChanges = upTo
	d.enqueue(notification{kind: notifyEndpoints, endpoints: endpoints})
}

// runIteration runs one iteration of a dispatcher's event loop: it delivers all notifications to the policy, ends the
// policy's turn, and starts the calls that the policy made.
func (m *Simulation) runIteration(d *dispatcher) {
	d.lastIterationAt = m.now
	d.acceptedInIteration = d.acceptedInIteration[:0]
	inbox := d.inbox
	d.inbox = nil
	isAcceptance := func(n notification) bool { return n.kind == notifyAcceptance }
	if d.killNextIteration != nil && slices.ContainsFunc(inbox, isAcceptance) {
		d.dyingInIteration = true
	}
	m.runPolicy(d, inbox)
	if d.inbox == nil {
		d.inbox = inbox[:0] // use the memory again
	}
	if d.dyingInIteration {
		m.killInIteration(d)
		return
	}
	for _, c := range d.pendingCalls {
		m.startCall(c)
	}
	d.pendingCalls = d.pendingCalls[:0]
	d.acknowledgeHandoffs()
}

func (m *Simulation) runPolicy(d *dispatcher, inbox []notification) {
	var startedAt time.Time
	if m.MeasurePolicyTime {
		startedAt = time.Now()
	}
	d.reviewIfLeaseChanged()
	for i := range inbox {
		d.deliver(&inbox[i])
	}
	d.policy.EndTurn()
	if m.MeasurePolicyTime {
		m.PolicyTime += time.Since(startedAt)
	}
}

// deliver passes a notification to the policy.
func (d *dispatcher) deliver(n *notification) {
	switch n.kind {
	case notifyAcceptance:
		d.deliverAcceptance(n)
	case notifyOutcome:
		d.deliverOutcome(n)
	case notifyTimer:
		d.policy.TimerFired(n.timer)
	case notifyEndpoints:
		d.updateEndpoints(*n)
	case notifyOwnership:
		d.reviewWebhooks()
	}
}

func (d *dispatcher) deliverAcceptance(n *notification) {
	w := d.webhooks[n.id]
	d.acceptedInIteration = append(d.acceptedInIteration, w)
	d.sim.Bus.Emit(d.sim.webhookEvent(event.Accepted, d, w, event.Event{}))
	if d.member != nil {
		d.acceptPersisted(w, n.handoff)
		return
	}
	d.policy.Submit(d.sim.requests[w.request].webhook(n.id))
}

func (d *dispatcher) deliverOutcome(n *notification) {
	w := d.webhooks[n.id]
	if w == nil {
		return
	}
	d.emitAttemptEnded(w, n)
	w.call = noCall
	if n.outcome == api.Delivered && !w.finished {
		d.sim.finishWebhook(d, w, event.Delivered, 0)
	}
	if !n.outcome.NeverRan() {
		w.recordPossibleRun()
	}
	finished := w.finished
	d.policy.AttemptEnded(api.AttemptResult{
		Webhook:    n.id,
		Endpoint:   n.endpoint,
		Outcome:    n.outcome,
		Latency:    n.latency,
		Final:      finished,
		RetryAfter: n.retryAfter,
	})
	if finished {
		delete(d.webhooks, n.id)
	} else if d.member != nil {
		d.parkIfNotAllowed(w)
	}
}

func (d *dispatcher) emitAttemptEnded(w *webhook, n *notification) {
	e := event.Event{Attempt: n.attempt, Outcome: n.outcome, Endpoint: n.endpoint, RetryAfter: n.retryAfter}
	if i := indexOf(n.endpoint); i >= 0 {
		e.Route = event.Route(d.sim.endpoints[i].route)
		e.Zone = d.sim.endpoints[i].zone
	}
	d.sim.Bus.Emit(d.sim.webhookEvent(event.AttemptEnded, d, w, e))
}
