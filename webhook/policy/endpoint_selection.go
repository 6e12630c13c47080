package policy

import (
	"math"

	"rowanlink/webhook/api"
)

// allowsZone prevents duplicates: where endpoints share deduplication by zone only, a webhook that may have run
// stays in the zone of that attempt.
func (p *Policy) allowsZone(w *webhook, e *endpoint) bool {
	zoneBound := w.mayHaveRunAt != never && w.eventType.Semantics == api.Deduplicated && w.eventType.DedupByZone
	return !zoneBound || w.mayHaveRunIn == e.zone
}

// selectEndpoint takes the first endpoint of the ranking that has capacity.
func (p *Policy) selectEndpoint(w *webhook) stageResult {
	if p.selected != nil {
		return proceed
	}
	limit := p.limitPerEndpoint(w.destination)
	for _, e := range w.destination.endpoints {
		hasCapacity := float64(e.inFlight) < min(limit, math.Floor(e.connectionLimit)) && p.allowsZone(w, e)
		if hasCapacity && p.admits(e) && !p.isEjected(e) {
			p.selected = e
			return proceed
		}
	}
	return wait
}

// limitPerEndpoint divides a shared route's concurrency limit among its endpoints.
func (p *Policy) limitPerEndpoint(d *destination) float64 {
	if n := len(d.endpoints); n > 1 && !d.kind.SeparateRoutes {
		return math.Ceil(float64(p.concurrencyLimit(d.sharedRoute)) / float64(n))
	}
	return math.Ceil(float64(p.settings.MaxInFlight) * healthyConcurrencyShare)
}

// isEjected reports whether an endpoint that fails among healthy ones gets no call now. From time to time it gets a single
// canary.
func (p *Policy) isEjected(e *endpoint) bool {
	failing := e.consecutiveFailures >= unhealthyAfterFailures && !e.route.unhealthy
	return failing && (p.now < e.nextCanaryAt || e.inFlight > 0)
}

// send starts the attempt at the selected endpoint, in a call that starts in this turn.
func (p *Policy) send(w *webhook) stageResult {
	e := p.selected
	if k := e.openCall; k == nil || k.turnNumber != p.turnNumber || k.pending >= w.destination.kind.BatchSize {
		p.openCall(w.destination, e)
	}
	w.call = e.openCall
	w.call.pending++
	w.sentAt = p.now
	w.attempts++
	w.dequeue()
	p.timers.Add(int64(p.now+w.eventType.LatencyTarget), w)
	p.host.StartAttempt(w.id, e.id, p.attemptTimeout(w, e), p.latestSend(w))
	return proceed
}

// openCall starts a call and takes a token for it.
func (p *Policy) openCall(d *destination, e *endpoint) {
	r := e.route
	if r.inFlight == 0 {
		r.lastOutcomeAt = p.now
	}
	p.startCall(e)
	r.tokens--
	r.usedFallbackRate = r.slowStartSince == never && !r.unhealthy && r.rate < fallbackRate(d, r)
	if r.unhealthy || e.consecutiveFailures >= unhealthyAfterFailures {
		e.nextCanaryAt = p.now + p.canaryInterval(r)
		r.nextCanaryAt = max(r.nextCanaryAt, e.nextCanaryAt)
	}
}

// attemptTimeout is long by default, since an attempt that timed out may still run, which can end the webhook. Where
// answers get lost (lost responses, one of several endpoints that hangs) it shrinks towards the latency of those that
// arrive. Each time-out in a row doubles it, so that a destination that has become slow still gets to answer.
func (p *Policy) attemptTimeout(w *webhook, e *endpoint) api.Micros {
	timeout := float64(w.eventType.maxTimeout)
	if r := e.route; r.meanLatency > 0 && !r.unhealthy {
		tailShare := max(1-2*p.timeoutRate, minTailShare)
		growth := math.Exp2(float64(min(e.consecutiveFailures, maxTimeoutDoublings)))
		tail := tailLatencyFactor * tailShare * r.meanLatency * growth
		timeout = max(timeout*(1-timeoutCutPerLoss*max(r.timeoutRate, p.timeoutRate)), min(timeout, tail))
	}
	return max(min(api.Micros(timeout), w.deadline-p.now), 1)
}

// maxTimeoutDoublings bounds the growth of a time-out.
const maxTimeoutDoublings = 9
