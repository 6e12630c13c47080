package engine

import (
	"math/rand/v2"
	"slices"
	"time"

	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// dispatcher is one dispatcher round its module, and the module's Host.
type dispatcher struct {
	m           *Simulation
	number      int32
	incarnation uint32 // counts its starts: what was meant for an earlier life reaches nobody
	seedSource  *rand.Rand
	policy      api.Policy
	weight      float64 // of what the front deals out
	zone        api.ZoneID

	up, draining        bool
	deathNoticedAt      api.Micros // the front takes it for well until then, though it is dead
	pausedUntil         api.Micros
	lastIterationAt     api.Micros
	iterationScheduled  bool
	inbox               []notification
	webhooks            map[api.WebhookID]*webhook
	openWebhooks        int // of them, those that are owed their end
	recovered           []*webhook
	activeCalls         int     // calls
	pendingCalls        []int32 // calls of this turn, not yet departed
	connections         map[int32]*idleConnections
	knownChanges        int // changes of the list heard of
	extraUpdateDelay    api.Micros
	extraStartAge       api.Micros
	killNextIteration   *Fault
	acceptedInIteration []*webhook
	dyingInIteration    bool
	member              *memberState // of a fleet with homes, else nil
}

// webhook is a webhook at a dispatcher.
type webhook struct {
	id               api.WebhookID
	request          int32
	attempts         int
	mayHaveRunAt     api.Micros
	zone             api.ZoneID
	attemptStartedAt api.Micros
	attemptZone      api.ZoneID
	call             int32 // out, or -1
	finished         bool
	custodyState
}

func (h *webhook) priorAttempts() api.PriorAttempts {
	return api.PriorAttempts{Count: h.attempts, MayHaveRunAt: h.mayHaveRunAt, Zone: h.zone}
}

// idleConnections are a dispatcher's idle connections to one endpoint, the longest idle first.
type idleConnections struct {
	since          []api.Micros
	epoch          uint32
	timerScheduled bool
}

const (
	notifyAcceptance uint8 = iota
	notifyOutcome
	notifyTimer
	notifyEndpoints
	notifyOwnership
)

// startDispatcher starts a dispatcher, the first time or again with what its folder holds.
func (m *Simulation) startDispatcher(n int32) {
	d := &m.dispatchers[n]
	d.incarnation++
	d.up, d.draining, d.inbox, d.iterationScheduled, d.lastIterationAt = true, false, nil, false, m.now-m.scenario.Dispatchers.MinIterationInterval.micros()
	d.zone = api.ZoneID(int(n) % len(m.scenario.Network.Zones))
	d.webhooks, d.connections, d.openWebhooks, d.activeCalls = map[api.WebhookID]*webhook{}, map[int32]*idleConnections{}, 0, 0
	d.pendingCalls, d.killNextIteration, d.dyingInIteration = nil, nil, false
	m.Bus.Emit(event.Event{At: m.now, Kind: event.Started, Dispatcher: n})
	d.policy = m.newPolicy(m.scenario.DispatcherSettings(int(n), d.seedSource.Uint64()), d)
	stale := m.scenario.Dispatchers.StartupListAge.micros() + d.extraStartAge
	d.knownChanges = 0
	for d.knownChanges < len(m.endpointChanges) && m.endpointChanges[d.knownChanges].at <= m.now-stale {
		d.knownChanges++
	}
	list := m.initialEndpoints
	if d.knownChanges > 0 {
		list = slices.Clone(m.initialEndpoints)
		for _, c := range m.endpointChanges[:d.knownChanges] {
			same := func(e api.EndpointEntry) bool { return e.Endpoint == c.entry.Endpoint }
			if i := slices.IndexFunc(list, same); i >= 0 {
				list[i] = c.entry
			} else {
				list = append(list, c.entry)
			}
		}
		list = slices.DeleteFunc(list, func(e api.EndpointEntry) bool { return e.Status == api.EndpointRemoved })
	}
	if m.cluster != nil {
		m.cluster.joinCluster(d)
	}
	d.enqueue(notification{kind: notifyEndpoints, endpoints: list, complete: true})
	if d.knownChanges < len(m.endpointChanges) {
		m.schedule(randomInRange(m.random, m.scenario.Dispatchers.EndpointUpdateDelay).micros()+d.extraUpdateDelay,
			scheduledEvent{kind: evEndpointUpdate, subject: n, detail: int32(len(m.endpointChanges)), generation: d.incarnation})
	}
	kept := d.recovered
	d.recovered = nil
	for _, h := range kept {
		d.webhooks[h.id] = h
	}
	if m.cluster != nil {
		d.assumeDeliveredElsewhere()
	}
	if len(kept) > 0 {
		d.deliverQueuedEndpoints() // before what is owed: its destinations must be known
	}
	for _, h := range kept {
		o := &m.requests[h.request]
		d.openWebhooks++
		m.Bus.Emit(m.webhookEvent(event.Recovered, d, h, event.Event{Attempt: h.attempts}))
		if d.member != nil {
			d.submitOrPark(h)
			continue
		}
		d.policy.Recover(o.webhook(h.id), h.priorAttempts())
	}
	d.scheduleIteration()
}

// enqueue adds news and sees to a turn.
func (d *dispatcher) enqueue(n notification) {
	d.inbox = append(d.inbox, n)
	d.scheduleIteration()
}

func (d *dispatcher) scheduleIteration() {
	if d.iterationScheduled || !d.up {
		return
	}
	d.iterationScheduled = true
	at := max(d.m.now, d.lastIterationAt+d.m.scenario.Dispatchers.MinIterationInterval.micros(), d.pausedUntil)
	d.m.queue.Add(int64(at), scheduledEvent{kind: evIteration, subject: d.number, generation: d.incarnation})
}

func (m *Simulation) handleDispatcherEvent(d *dispatcher, e scheduledEvent) {
	switch e.kind {
	case evIteration:
		if d.iterationScheduled = false; m.now < d.pausedUntil {
			d.scheduleIteration()
			return
		}
		m.runIteration(d)
	case evTimer:
		d.enqueue(notification{kind: notifyTimer, timer: api.TimerID(e.detail)})
	case evEndpointUpdate:
		if to := int(e.detail); to > d.knownChanges {
			var list []api.EndpointEntry
			for _, c := range m.endpointChanges[d.knownChanges:to] {
				list = append(list, c.entry)
			}
			d.knownChanges = to
			d.enqueue(notification{kind: notifyEndpoints, endpoints: list})
		}
	case evIdleTimeout:
		m.closeExpiredIdle(d, e.detail)
	}
}

// runIteration tells the module all that waits, closes the turn and lets its calls depart.
func (m *Simulation) runIteration(d *dispatcher) {
	d.lastIterationAt, d.acceptedInIteration = m.now, d.acceptedInIteration[:0]
	waiting := d.inbox
	d.inbox = nil
	if d.killNextIteration != nil && slices.ContainsFunc(waiting, func(n notification) bool { return n.kind == notifyAcceptance }) {
		d.dyingInIteration = true
	}
	var began time.Time
	if m.MeasurePolicyTime {
		began = time.Now()
	}
	d.reviewIfLeaseChanged()
	for i := range waiting {
		d.deliver(&waiting[i])
	}
	d.policy.EndTurn()
	if m.MeasurePolicyTime {
		m.PolicyTime += time.Since(began)
	}
	if d.inbox == nil {
		d.inbox = waiting[:0]
	}
	if d.dyingInIteration {
		m.killInIteration(d)
		return
	}
	for _, k := range d.pendingCalls {
		m.startCall(k)
	}
	d.pendingCalls = d.pendingCalls[:0]
	d.acknowledgeHandoffs()
}

func (d *dispatcher) deliver(n *notification) {
	m := d.m
	switch n.kind {
	case notifyAcceptance:
		h := d.webhooks[n.id]
		o := &m.requests[h.request]
		d.acceptedInIteration = append(d.acceptedInIteration, h)
		m.Bus.Emit(m.webhookEvent(event.Accepted, d, h, event.Event{}))
		if d.member != nil {
			d.acceptPersisted(h, n.handoff)
			return
		}
		d.policy.Submit(o.webhook(n.id))
	case notifyOutcome:
		h := d.webhooks[n.id]
		if h == nil {
			return
		}
		e := event.Event{Attempt: n.attempt, Outcome: n.outcome, Endpoint: n.endpoint, RetryAfter: n.retryAfter}
		if i := indexOf(n.endpoint); i >= 0 {
			e.Route, e.Zone = event.Route(m.endpoints[i].route), m.endpoints[i].zone
		}
		m.Bus.Emit(m.webhookEvent(event.AttemptEnded, d, h, e))
		h.call = -1
		if n.outcome == api.Delivered && !h.finished {
			m.finishWebhook(d, h, event.Delivered, 0)
		}
		if !n.outcome.NeverRan() && h.mayHaveRunAt == never {
			h.mayHaveRunAt, h.zone = h.attemptStartedAt, h.attemptZone
		}
		ended := h.finished
		d.policy.AttemptEnded(api.AttemptResult{
			Webhook:    n.id,
			Endpoint:   n.endpoint,
			Outcome:    n.outcome,
			Latency:    n.latency,
			Final:      ended,
			RetryAfter: n.retryAfter,
		})
		if ended {
			delete(d.webhooks, n.id)
		} else if d.member != nil {
			d.parkIfNotAllowed(h)
		}
	case notifyTimer:
		d.policy.TimerFired(n.timer)
	case notifyEndpoints:
		d.updateEndpoints(*n)
	case notifyOwnership:
		d.reviewWebhooks()
	}
}
