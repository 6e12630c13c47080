// Package baseline has simple policies to compare the decision policy with. They keep what is easy to keep: delivery
// semantics, Retry-After times, draining and ordering. They know no rate limits, concurrency windows, outages or slow
// starts. Only experiments use them.
package baseline

import (
	"math"
	"math/rand/v2"
	"slices"

	"rowanlink/internal/timerqueue"
	"rowanlink/webhook/api"
)

// Policy attempts each webhook as soon as a concurrency slot is free, in the order of acceptance, at the destination's
// endpoints in turn. It implements api.Policy.
type Policy struct {
	settings    api.Settings
	host        api.Host
	maxAttempts int
	backoff     Backoff
	random      *rand.Rand

	webhooks     map[api.WebhookID]*webhook
	queue        []*webhook // to be attempted
	timers       timerqueue.Queue[*webhook]
	timerAt      api.Micros // of the timer that is set at the host, or math.MaxInt64
	destinations map[api.DestinationID]*destination
	endpoints    map[api.EndpointID]*endpoint
	keyQueues    map[api.OrderingKey]*keyQueue
	inFlight     int
}

type destination struct {
	endpoints    []*endpoint // active ones
	next         int         // whose turn it is
	blockedUntil api.Micros  // by Retry-After
}

type endpoint struct {
	id          api.EndpointID
	zone        api.ZoneID
	destination *destination
}

type webhook struct {
	id           api.WebhookID
	eventType    api.EventType
	orderingKey  api.OrderingKey // 0: unordered
	deadline     api.Micros
	destination  *destination
	attempts     int
	mayHaveRunAt api.Micros // or api.Never
	zone         api.ZoneID // of the attempt that may have run
	readyAt      api.Micros
	startedAt    api.Micros
	inFlight     bool
}

// keyQueue has the webhooks of one ordering key.
type keyQueue struct {
	webhooks    []*webhook
	pausedUntil api.Micros // for retries
}

// New makes a policy that attempts a webhook so often, within the maximum of the settings.
func New(settings api.Settings, host api.Host, maxAttempts int, backoff Backoff) *Policy {
	return &Policy{
		settings:     settings,
		host:         host,
		maxAttempts:  min(maxAttempts, settings.MaxAttempts),
		backoff:      backoff,
		random:       rand.New(rand.NewPCG(settings.Seed, 0)),
		webhooks:     map[api.WebhookID]*webhook{},
		timerAt:      math.MaxInt64,
		destinations: map[api.DestinationID]*destination{},
		endpoints:    map[api.EndpointID]*endpoint{},
		keyQueues:    map[api.OrderingKey]*keyQueue{},
	}
}

func (p *Policy) destination(id api.DestinationID) *destination {
	if p.destinations[id] == nil {
		p.destinations[id] = &destination{}
	}
	return p.destinations[id]
}

// UpdateEndpoints adds active endpoints and removes the others.
func (p *Policy) UpdateEndpoints(entries []api.EndpointEntry, _ bool) {
	for _, entry := range entries {
		e := p.endpoints[entry.Endpoint]
		if e == nil {
			e = &endpoint{id: entry.Endpoint, zone: entry.Zone, destination: p.destination(entry.Destination)}
			p.endpoints[entry.Endpoint] = e
			e.destination.endpoints = append(e.destination.endpoints, e)
		}
		if entry.Status != api.EndpointActive {
			isEndpoint := func(other *endpoint) bool { return other == e }
			e.destination.endpoints = slices.DeleteFunc(e.destination.endpoints, isEndpoint)
			delete(p.endpoints, entry.Endpoint)
		}
	}
}

// Submit accepts a new webhook.
func (p *Policy) Submit(w api.Webhook) {
	p.Recover(w, api.PriorAttempts{MayHaveRunAt: api.Never})
}

// Recover accepts a webhook that was attempted before.
func (p *Policy) Recover(submitted api.Webhook, prior api.PriorAttempts) {
	w := &webhook{
		id:           submitted.ID,
		eventType:    p.settings.EventTypes[min(int(submitted.EventType), len(p.settings.EventTypes)-1)],
		orderingKey:  submitted.OrderingKey,
		deadline:     submitted.Deadline,
		destination:  p.destination(submitted.Destination),
		attempts:     prior.Count,
		mayHaveRunAt: prior.MayHaveRunAt,
		zone:         prior.Zone,
	}
	if !w.eventType.Ordered {
		w.orderingKey = 0
	}
	p.webhooks[w.id] = w
	if w.orderingKey != 0 {
		p.enqueueOrdered(w)
	}
	p.timers.Add(int64(w.deadline-p.margin()), w)
	if w.attempts > 0 {
		p.retryOrFinish(w)
		return
	}
	p.queue = append(p.queue, w)
}

func (p *Policy) enqueueOrdered(w *webhook) {
	if p.keyQueues[w.orderingKey] == nil {
		p.keyQueues[w.orderingKey] = &keyQueue{}
	}
	q := p.keyQueues[w.orderingKey]
	q.webhooks = append(q.webhooks, w)
	if w.mayHaveRunAt != api.Never {
		q.pausedUntil = p.host.Now() + p.settings.OrderingGap
		p.timers.Add(int64(q.pausedUntil), nil)
	}
}

// margin is the time before a deadline at which a webhook is finished, so that the outcome is in time.
func (p *Policy) margin() api.Micros { return 2 * p.settings.MinTurnInterval }

// AttemptEnded handles the result of an attempt.
func (p *Policy) AttemptEnded(result api.AttemptResult) {
	w := p.webhooks[result.Webhook]
	if w == nil || !w.inFlight {
		return
	}
	w.inFlight = false
	p.inFlight--
	if result.RetryAfter > 0 {
		w.destination.blockedUntil = max(w.destination.blockedUntil, p.host.Now()+result.RetryAfter)
		p.timers.Add(int64(w.destination.blockedUntil), nil)
	}
	if !result.Outcome.NeverRan() && w.mayHaveRunAt == api.Never {
		w.mayHaveRunAt = w.startedAt
	}
	if w.orderingKey != 0 && result.Outcome.MayStillRun() {
		q := p.keyQueues[w.orderingKey]
		q.pausedUntil = max(q.pausedUntil, p.host.Now()+p.settings.OrderingGap)
		p.timers.Add(int64(q.pausedUntil), nil)
	}
	if result.Final {
		p.remove(w)
		return
	}
	p.retryOrFinish(w)
}

// UpdateSettings does nothing: the settings of an experiment don't change.
func (p *Policy) UpdateSettings(api.Settings) {}

// ReportLoad does nothing.
func (p *Policy) ReportLoad(api.LoadReport) {}

// retryOrFinish queues a webhook for another attempt after a backoff, or finishes it.
func (p *Policy) retryOrFinish(w *webhook) {
	w.readyAt = p.host.Now() + p.backoff(max(w.attempts-1, 0), p.random)
	exhausted := w.attempts >= p.maxAttempts
	mustNotRepeat := w.eventType.Semantics == api.AtMostOnce && w.mayHaveRunAt != api.Never
	if exhausted || mustNotRepeat || w.readyAt >= p.lastAttemptAt(w) {
		p.finish(w)
		return
	}
	p.timers.Add(int64(max(w.readyAt, w.destination.blockedUntil)), nil)
	p.timers.Add(int64(p.lastAttemptAt(w)), w)
	p.queue = append(p.queue, w)
}

// lastAttemptAt returns the time from which on no attempt may start.
func (p *Policy) lastAttemptAt(w *webhook) api.Micros {
	last := w.deadline - p.margin()
	if w.eventType.Semantics == api.Deduplicated && w.mayHaveRunAt != api.Never {
		last = min(last, w.mayHaveRunAt+w.eventType.DedupWindow-p.margin())
	}
	return last
}

// finish dead-letters a webhook that may have run and rejects any other.
func (p *Policy) finish(w *webhook) {
	if w.mayHaveRunAt != api.Never {
		p.host.DeadLetter(w.id)
	} else {
		retryAfter := max(w.destination.blockedUntil-p.host.Now(), 0)
		p.host.Reject(w.id, min(retryAfter, p.settings.MaxRetryAfter))
	}
	p.remove(w)
}

func (p *Policy) remove(w *webhook) {
	delete(p.webhooks, w.id)
	if w.orderingKey != 0 {
		q := p.keyQueues[w.orderingKey]
		q.webhooks = slices.DeleteFunc(q.webhooks, func(other *webhook) bool { return other == w })
	}
}

// Withdraw removes a webhook without an attempt in flight.
func (p *Policy) Withdraw(id api.WebhookID) {
	if w := p.webhooks[id]; w != nil && !w.inFlight {
		p.remove(w)
	}
}

// TimerFired notes that the host's timer is no longer set. EndTurn follows.
func (p *Policy) TimerFired(api.TimerID) { p.timerAt = math.MaxInt64 }

// EndTurn finishes the webhooks that are out of time and starts all attempts that are possible.
func (p *Policy) EndTurn() {
	now := p.host.Now()
	for w, ok := p.timers.PopDue(int64(now)); ok; w, ok = p.timers.PopDue(int64(now)) {
		if w != nil && p.webhooks[w.id] == w && !w.inFlight && now >= p.lastAttemptAt(w) {
			p.finish(w)
		}
	}
	p.queue = slices.DeleteFunc(p.queue, func(w *webhook) bool {
		return p.webhooks[w.id] != w || w.inFlight || p.attempt(w, now)
	})
	if at, ok := p.timers.Next(); ok && api.Micros(at) < p.timerAt {
		p.timerAt = api.Micros(at)
		p.host.SetTimer(max(p.timerAt-now, 1), 0)
	}
}

// attempt starts an attempt and returns true if one is possible now.
func (p *Policy) attempt(w *webhook, now api.Micros) bool {
	d := w.destination
	if p.inFlight >= p.settings.MaxInFlight || now < max(w.readyAt, d.blockedUntil) || !p.isItsTurn(w, now) {
		return false
	}
	for i := range d.endpoints {
		at := (d.next + i) % len(d.endpoints)
		e := d.endpoints[at]
		if !w.mayRunIn(e.zone) {
			continue
		}
		d.next = (at + 1) % len(d.endpoints)
		p.start(w, e, now)
		return true
	}
	return false
}

// isItsTurn reports whether the order of a webhook's key allows an attempt.
func (p *Policy) isItsTurn(w *webhook, now api.Micros) bool {
	if w.orderingKey == 0 {
		return true
	}
	q := p.keyQueues[w.orderingKey]
	return q.webhooks[0] == w && (w.attempts > 0 || now >= q.pausedUntil)
}

// mayRunIn reports whether deduplication allows an attempt in a zone.
func (w *webhook) mayRunIn(zone api.ZoneID) bool {
	boundToZone := w.eventType.DedupByZone && w.eventType.Semantics == api.Deduplicated
	return !boundToZone || w.mayHaveRunAt == api.Never || w.zone == zone
}

func (p *Policy) start(w *webhook, e *endpoint, now api.Micros) {
	w.inFlight = true
	w.startedAt = now
	w.attempts++
	if w.mayHaveRunAt == api.Never {
		w.zone = e.zone
	}
	p.inFlight++
	p.host.StartAttempt(w.id, e.id, (w.deadline-now)/2+1, w.deadline)
}
