// Package policy is the decision policy of the webhook dispatcher: when each webhook is sent, to which endpoint, whether
// it is retried and when it is given up. All decisions and tuned values are in the files that `policy` in
// deploy/balancer.toml lists; types.go has the records that they work on.
//
// Callers make one Policy per dispatcher with New and drive it turn by turn through api.Policy. It acts through
// api.Host. Instances share nothing.
//
// A webhook passes a chain of stages - ordering, backoff, concurrency, endpoint selection, send - each of which lets it
// proceed or has it wait for a later turn. Results of attempts update the state that the stages decide by (outcome.go). Whatever a webhook
// waits for, its deadline ends it (expiry.go). docs/design.md has the requirements and where the policy deviates from them.
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

// New returns a Policy that knows nothing but its settings.
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

// EndTurn starts the attempts that may start now.
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
		d.removeDequeued() // now, so that a webhook sent and back before the next turn isn't in the queue twice
	}
	for _, e := range p.finishedEndpoints {
		p.closeIdleConnections(e)
	}
	p.finishedEndpoints = p.finishedEndpoints[:0]
	p.shedLoad()
	p.backlogged = slices.DeleteFunc(p.backlogged, func(d *destination) bool {
		d.backlogged = len(d.queue) > 0
		return !d.backlogged
	})
	p.armTimer()
}

// expireTimers handles the timers that are due. No webhook is lost: whatever it waits for, it ends before its deadline.
func (p *Policy) expireTimers() {
	for {
		w, ok := p.timers.PopDue(int64(p.now))
		if !ok {
			return
		}
		switch {
		case w == nil: // a route may admit calls again
		case w.call != nil:
			p.cancelIfUnresponsive(w)
		case !w.finished && p.now >= p.latestSend(w):
			p.giveUp(w)
		}
	}
}

// collectReady gathers the webhooks that the stages check in this turn. Destinations without a queue cost nothing.
func (p *Policy) collectReady() {
	p.ready = p.ready[:0]
	// In the order in which they were first seen, which breaks ties of the priority.
	slices.SortFunc(p.backlogged, func(a, b *destination) int { return a.index - b.index })
	for _, d := range p.backlogged {
		d.removeDequeued()
		// Until the requested wake-up only an outcome can change anything.
		closed := !d.kind.SeparateRoutes && p.now < d.sharedRoute.wakeUpAt
		if !closed && slices.ContainsFunc(d.endpoints, p.admits) {
			p.ready = append(p.ready, d.queue...)
		}
	}
}

func (p *Policy) runStages(w *webhook) {
	for _, stage := range p.stages {
		if stage(w) == wait {
			return
		}
	}
}

// armTimer has the host call when the next entry of the timer queue is due.
func (p *Policy) armTimer() {
	at, ok := p.timers.Next()
	if !ok || api.Micros(at) >= p.timerArmedAt {
		return
	}
	p.timerArmedAt = api.Micros(at)
	p.host.SetTimer(max(p.timerArmedAt-p.now, 1), timerQueue)
}

// TimerFired does the periodic work, or records that the timer queue is due: EndTurn handles it.
func (p *Policy) TimerFired(timer api.TimerID) {
	p.now = p.host.Now()
	if timer == timerQueue {
		p.timerArmedAt = math.MaxInt64
		return
	}
	if stalled := p.now - p.nextPeriodicAt; stalled >= stallTicks*p.settings.MinTurnInterval {
		p.respreadAfterStall(stalled)
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

// forgetIdle bounds the memory: it drops ordering keys without webhooks and endpoints that left the list long ago.
func (p *Policy) forgetIdle() {
	maps.DeleteFunc(p.sequences, func(_ api.OrderingKey, s *sequence) bool {
		return len(s.queue) == 0 && p.now >= s.pausedUntil
	})
	p.delistedEndpoints = slices.DeleteFunc(p.delistedEndpoints, func(e *endpoint) bool {
		expired := e.inFlight == 0 && p.now-e.delistedAt > connectionLimitMemory*p.settings.SlowStartDuration
		if expired && !e.listed && p.endpoints[e.id] == e {
			delete(p.endpoints, e.id)
		}
		return expired || e.listed
	})
}
