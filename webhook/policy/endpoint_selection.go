package policy

import (
	"math"

	"rowanlink/webhook/api"
)

// allowsZone reports whether the webhook may be sent to e's zone. Where only endpoints of one zone share their
// deduplication state, a deduplicated webhook that may have run stays in the zone of that attempt: in another zone it
// could run twice.
func (p *Policy) allowsZone(w *webhook, e *endpoint) bool {
	zoneBound := w.mayHaveRunAt != never && w.eventType.Semantics == api.Deduplicated && w.eventType.DedupByZone
	return !zoneBound || w.mayHaveRunIn == e.zone
}

// selectEndpoint selects the most preferred endpoint in an allowed zone that has capacity, whose route admits a call
// and that isn't ejected. If the webhook can join a call, checkConcurrency has already selected the endpoint of that
// call.
func (p *Policy) selectEndpoint(w *webhook) stageResult {
	if p.selected != nil {
		return proceed
	}
	limit := p.limitPerEndpoint(w.destination)
	for _, e := range w.destination.endpoints {
		eligible := float64(e.inFlight) < min(limit, math.Floor(e.connectionLimit)) && p.allowsZone(w, e)
		if eligible && p.admits(e) && !p.isEjected(e) {
			p.selected = e
			return proceed
		}
	}
	return wait
}

// limitPerEndpoint returns the maximum of calls in flight to one endpoint: an equal part of the shared route's
// concurrency limit or, for a single endpoint or one with its own route, the largest share of the slots that any route
// may use.
func (p *Policy) limitPerEndpoint(d *destination) float64 {
	if n := len(d.endpoints); n > 1 && !d.kind.SeparateRoutes {
		return math.Ceil(float64(p.concurrencyLimit(d.sharedRoute)) / float64(n))
	}
	return math.Ceil(float64(p.settings.MaxInFlight) * healthyConcurrencyShare)
}

// isEjected reports whether an endpoint gets no call now because it fails while its route is healthy. An ejected
// endpoint gets a single canary per canary interval.
func (p *Policy) isEjected(e *endpoint) bool {
	failing := e.consecutiveFailures >= unhealthyAfterFailures && !e.route.unhealthy
	return failing && (p.now < e.nextCanaryAt || e.inFlight > 0)
}

// send starts the attempt at the selected endpoint: in that endpoint's open call if the call started in this turn and
// has space, else in a new call.
func (p *Policy) send(w *webhook) stageResult {
	e := p.selected
	if c := e.openCall; c == nil || c.turnNumber != p.turnNumber || c.pending >= w.destination.kind.BatchSize {
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

// openCall starts a call and takes a token for it. If the call is a canary, it sets the earliest time of the next one.
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

// attemptTimeout returns the time-out of an attempt. It is long by default: an attempt that timed out may still run,
// after which an at-most-once webhook can't be retried. Where answers are lost (lost responses, one of several
// endpoints that hangs) the time-out shrinks towards the latency of the answers that arrive. Each consecutive failure
// of the endpoint doubles that lower bound, so that a destination that has become slow can still answer.
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

// maxTimeoutDoublings limits how often consecutive failures double the lower bound of a time-out.
const maxTimeoutDoublings = 9
