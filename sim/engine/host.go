package engine

import (
	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// Now returns the simulated time.
func (d *dispatcher) Now() api.Micros { return d.sim.now }

// StartAttempt makes a delivery attempt. Attempts of one iteration to the same endpoint share a call up to the batch size.
func (d *dispatcher) StartAttempt(id api.WebhookID, endpoint api.EndpointID, timeout, _ api.Micros) {
	w := d.webhooks[id]
	if w == nil || w.call >= 0 {
		// The policy's fault: no such webhook, or an attempt is in flight. The event lets a checker find it.
		d.sim.Bus.Emit(event.Event{
			At:         d.sim.now,
			Kind:       event.AttemptStarted,
			Dispatcher: d.number,
			Webhook:    id,
			Endpoint:   endpoint,
		})
		return
	}
	w.attempts++
	if !d.mayAttempt(w, endpoint) {
		d.enqueueNotSent(w, endpoint)
		return
	}
	i := indexOf(endpoint)
	w.attemptStartedAt = d.sim.now
	w.attemptZone = d.sim.endpoints[i].zone
	callIndex := d.callWithRoom(i)
	if callIndex == noCall {
		d.enqueueNotSent(w, endpoint)
		return
	}
	d.addToCall(callIndex, w, timeout)
	if d.dyingInIteration {
		return
	}
	d.sim.Bus.Emit(d.sim.webhookEvent(event.AttemptStarted, d, w, event.Event{
		Attempt:  w.attempts - 1,
		Endpoint: endpoint,
		Route:    event.Route(d.sim.endpoints[i].route),
		Zone:     d.sim.endpoints[i].zone,
	}))
}

// mayAttempt reports whether an attempt, which is counted already, is possible.
func (d *dispatcher) mayAttempt(w *webhook, endpoint api.EndpointID) bool {
	m, i := d.sim, indexOf(endpoint)
	request := &m.requests[w.request]
	known := i >= 0 && int(i) < len(m.endpoints) && m.endpoints[i].destination == request.destination
	withinLimits := w.attempts <= m.scenario.Dispatchers.MaxAttempts && m.now < request.deadline
	return !w.finished && known && d.mayCall(w) && withinLimits
}

func (d *dispatcher) enqueueNotSent(w *webhook, endpoint api.EndpointID) {
	d.enqueue(notification{
		kind:     notifyOutcome,
		id:       w.id,
		endpoint: endpoint,
		outcome:  api.NotSent,
		attempt:  w.attempts - 1,
	})
}

// callWithRoom returns a call of this iteration to an endpoint, a new one if needed, or noCall if no concurrency slot is
// free.
func (d *dispatcher) callWithRoom(endpointIndex int32) int32 {
	m := d.sim
	batchSize := m.destinations[m.endpoints[endpointIndex].destination].kind.BatchSize
	for _, i := range d.pendingCalls {
		if c := &m.calls[i]; c.endpoint == endpointIndex && len(c.attempts) < batchSize {
			return i
		}
	}
	if d.activeCalls >= m.scenario.Dispatchers.MaxConcurrentCalls {
		return noCall
	}
	d.activeCalls++
	i := m.newCall(d, endpointIndex)
	d.pendingCalls = append(d.pendingCalls, i)
	return i
}

func (d *dispatcher) addToCall(callIndex int32, w *webhook, timeout api.Micros) {
	remaining := d.sim.requests[w.request].deadline - d.sim.now
	if timeout <= 0 || timeout > remaining {
		timeout = remaining
	}
	c := &d.sim.calls[callIndex]
	c.attempts = append(c.attempts, callAttempt{webhook: w})
	c.timeout = min(c.timeout, timeout)
	w.call = callIndex
}

// CancelAttempt cancels an attempt in flight.
func (d *dispatcher) CancelAttempt(id api.WebhookID, _ int) {
	if w := d.webhooks[id]; w != nil && w.call >= 0 {
		d.sim.cancelAttempt(w.call, w)
	}
}

// Reject finishes a webhook as rejected.
func (d *dispatcher) Reject(id api.WebhookID, retryAfter api.Micros) {
	if w := d.webhooks[id]; w != nil && !w.finished {
		d.sim.finishWebhook(d, w, event.Rejected, retryAfter)
	}
}

// DeadLetter finishes a webhook as dead-lettered.
func (d *dispatcher) DeadLetter(id api.WebhookID) {
	if w := d.webhooks[id]; w != nil && !w.finished {
		d.sim.finishWebhook(d, w, event.DeadLettered, 0)
	}
}

// SetTimer schedules a timer of the policy.
func (d *dispatcher) SetTimer(delay api.Micros, timer api.TimerID) {
	d.sim.schedule(delay, scheduledEvent{
		kind:       evTimer,
		subject:    d.number,
		detail:     int32(timer),
		generation: d.incarnation,
	})
}

// CloseIdleConnections closes the dispatcher's idle connections to an endpoint.
func (d *dispatcher) CloseIdleConnections(endpoint api.EndpointID) {
	i := indexOf(endpoint)
	idle := d.connections[i]
	if idle == nil {
		return
	}
	s := &d.sim.servers[d.sim.endpoints[i].server]
	if idle.epoch == s.epoch {
		s.connections -= len(idle.since)
	}
	idle.since = idle.since[:0]
}

// Log discards the policy's log lines.
func (d *dispatcher) Log(string) {}

// finishWebhook finishes a webhook at a dispatcher. After a rejection its client may submit the request again.
func (m *Simulation) finishWebhook(d *dispatcher, w *webhook, status event.FinalStatus, retryAfter api.Micros) {
	w.finished = true
	d.openWebhooks--
	if d.member != nil {
		delete(d.member.parked, w.id)
	}
	duration := m.now - m.requests[w.request].submittedAt
	m.Bus.Emit(m.webhookEvent(event.Finished, d, w, event.Event{Final: status, Duration: duration}))
	if w.call == noCall {
		delete(d.webhooks, w.id)
	}
	if status == event.Rejected {
		m.scheduleResubmission(w.request, retryAfter)
	} else {
		m.closeCopy(w.request)
	}
}
