// Package policy is the decision policy of the webhook dispatcher: it decides when each webhook is sent, to which
// endpoint, whether it is retried and when it is given up. The files with its decisions and tuned values are listed
// under `policy` in deploy/balancer.toml; types.go declares the records that they work on.
//
// Callers create one Policy per dispatcher with New and call it through api.Policy, in turns that EndTurn closes. The
// Policy acts through api.Host. Instances share no state.
//
// In each turn a waiting webhook passes a chain of stages: ordering, backoff, concurrency, endpoint selection, send. A
// stage lets the webhook proceed or has it wait for a later turn. Results of attempts update the state that the stages
// decide by (outcome.go). A webhook that still waits shortly before its deadline is given up (expiry.go).
// docs/design.md has the requirements and where the policy deviates from them.
package policy

import (
	"maps"
	"math"
	"slices"

	"rowanlink/internal/mwcrand"
	"rowanlink/webhook/api"
)

// periodicInterval is the time between two runs of the periodic work.
const periodicInterval = api.Second / 2

// New returns a Policy with the given settings, no endpoints and no learned state.
func New(settings api.Settings, host api.Host) *Policy {
	p := &Policy{
		host:         host,
		random:       mwcrand.New(settings.Seed),
		now:          host.Now(),
		timerArmedAt: math.MaxInt64,
		webhooks:     map[api.WebhookID]*webhook{},
		destinations: map[api.DestinationID]*destination{},
		endpoints:    map[api.EndpointID]*endpoint{},
		sequences:    map[api.OrderingKey]*sequence{},
		kinds:        []*destinationKind{{}},
	}
	p.stages = []func(*webhook) stageResult{
		p.checkOrdering,
		p.checkBackoff,
		p.checkConcurrency,
		p.selectEndpoint,
		p.send,
	}
	p.UpdateSettings(settings)
	p.TimerFired(timerPeriodic)
	return p
}

// EndTurn starts the attempts that may start now, sheds load and sets the host's timer.
func (p *Policy) EndTurn() {
	p.now = p.host.Now()
	p.turnNumber++
	p.expireTimers()
	p.collectReady()
	slices.SortStableFunc(p.ready, p.comparePriority)
	for _, w := range p.ready {
		p.runStages(w)
	}
	for _, d := range p.backlogged {
		// A webhook that is sent now and fails before the next turn is queued again: without this removal it would be
		// in the queue twice.
		d.removeDequeued()
	}
	for _, e := range p.endpointsWithEndedCalls {
		p.closeIdleConnections(e)
	}
	p.endpointsWithEndedCalls = p.endpointsWithEndedCalls[:0]
	p.shedLoad()
	p.backlogged = slices.DeleteFunc(p.backlogged, func(d *destination) bool {
		d.backlogged = len(d.queue) > 0
		return !d.backlogged
	})
	p.armTimer()
}

// expireTimers handles the entries of the timer queue that are due: it cancels unresponsive attempts and gives up
// webhooks that can no longer be sent. Each waiting webhook has an entry at its latestSend, so it gets its final answer
// before its deadline whatever it waits for.
func (p *Policy) expireTimers() {
	for {
		w, ok := p.timers.PopDue(int64(p.now))
		if !ok {
			return
		}
		switch {
		case w == nil: // a wake-up for a route or an ordering key: collectReady checks the webhooks again
		case w.call != nil:
			p.cancelIfUnresponsive(w)
		case !w.finished && p.now >= p.latestSend(w):
			p.giveUp(w)
		}
	}
}

// collectReady puts the webhooks that the stages check in this turn into p.ready. It visits only destinations with a
// queue.
func (p *Policy) collectReady() {
	p.ready = p.ready[:0]
	// Webhooks of equal priority go in the order in which their destinations were first seen.
	slices.SortFunc(p.backlogged, func(a, b *destination) int { return a.index - b.index })
	for _, d := range p.backlogged {
		d.removeDequeued()
		// A route with a requested wake-up admits no call before then, unless an outcome resets wakeUpAt.
		awaitsWakeUp := !d.kind.SeparateRoutes && p.now < d.sharedRoute.wakeUpAt
		if !awaitsWakeUp && slices.ContainsFunc(d.endpoints, p.admits) {
			p.ready = append(p.ready, d.queue...)
		}
	}
}

// runStages passes a webhook through the stages until one has it wait.
func (p *Policy) runStages(w *webhook) {
	for _, stage := range p.stages {
		if stage(w) == wait {
			return
		}
	}
}

// armTimer sets the host's timer for the earliest entry of the timer queue, unless it is set for then or earlier.
func (p *Policy) armTimer() {
	at, ok := p.timers.Next()
	if !ok || api.Micros(at) >= p.timerArmedAt {
		return
	}
	p.timerArmedAt = api.Micros(at)
	p.host.SetTimer(max(p.timerArmedAt-p.now, 1), timerQueue)
}

// TimerFired does the periodic work, or records that the timer of the timer queue has expired: EndTurn handles the
// entries that are due.
func (p *Policy) TimerFired(timer api.TimerID) {
	p.now = p.host.Now()
	if timer == timerQueue {
		p.timerArmedAt = math.MaxInt64
		return
	}
	if stalledFor := p.now - p.nextPeriodicAt; stalledFor >= stallTurnIntervals*p.settings.MinTurnInterval {
		p.respreadAfterStall(stalledFor)
	}
	p.nextPeriodicAt = p.now + periodicInterval
	p.host.SetTimer(periodicInterval, timerPeriodic)
	for _, d := range p.destinationList {
		p.rankEndpoints(d)
	}
	p.connectedEndpoints = slices.DeleteFunc(p.connectedEndpoints, func(e *endpoint) bool {
		e.connected = !p.closeIdleConnections(e)
		return !e.connected
	})
	p.forgetIdle()
}

// forgetIdle bounds the memory in use: it drops ordering keys that have no webhook and aren't paused, and endpoints
// that were delisted long ago.
func (p *Policy) forgetIdle() {
	maps.DeleteFunc(p.sequences, func(_ api.OrderingKey, s *sequence) bool {
		return len(s.queue) == 0 && p.now >= s.pausedUntil
	})
	p.delistedEndpoints = slices.DeleteFunc(p.delistedEndpoints, func(e *endpoint) bool {
		expired := e.inFlight == 0 && p.now-e.delistedAt > retentionSlowStarts*p.settings.SlowStartDuration
		if expired && !e.listed && p.endpoints[e.id] == e {
			delete(p.endpoints, e.id)
		}
		return expired || e.listed
	})
}
