package policy

import (
	"rowanlink/internal/backoff"
	"rowanlink/webhook/api"
)

// checkConcurrency has a webhook wait while all slots of this dispatcher are in use: an attempt without a slot would
// end as NotSent. A webhook that can join a call of this turn needs no slot.
func (p *Policy) checkConcurrency(w *webhook) stageResult {
	p.selected = nil
	for _, e := range w.destination.endpoints {
		if p.canJoin(w, e) {
			p.selected = e
			return proceed
		}
	}
	return p.inFlight < p.settings.MaxInFlight
}

// canJoin reports whether the webhook can be added to a call to e that started in this turn.
func (p *Policy) canJoin(w *webhook, e *endpoint) bool {
	c := e.openCall
	if c == nil || c.turnNumber != p.turnNumber || c.canary {
		return false
	}
	return c.pending < w.destination.kind.BatchSize && p.allowsZone(w, e)
}

// concurrencyLimit returns the maximum of calls in flight on a route: its window, up to a share of the slots that is
// smaller for a route that fails or is slow.
func (p *Policy) concurrencyLimit(r *route) int {
	share := healthyConcurrencyShare
	if r.failureRate > unhealthyFailureRate/2 || r.meanLatency > unresponsiveFactor*p.meanLatency {
		share = unhealthyConcurrencyShare
	}
	return backoff.ConcurrencyLimit(r.window, share, float64(p.settings.MaxInFlight))
}

// isUnresponsive reports whether a route with at least two calls in flight has had no outcome for longer than expected.
// It keeps a route that hangs from taking more slots before the first time-out, and holds calls back during a short
// stall of the destination, where they would only queue. It can slow down a healthy route whose latency varies widely.
func (p *Policy) isUnresponsive(r *route) bool {
	if r.inFlight < 2 || r.meanLatency <= 0 {
		return false
	}
	return float64(p.now-r.lastOutcomeAt) > max(unresponsiveFactor/float64(r.inFlight), 1)*r.meanLatency
}

// cancelIfUnresponsive cancels an attempt whose route has had no outcome for long while every slot is in use; otherwise
// it checks again later. Many destinations that hang at the same time would otherwise occupy all slots until their
// attempts time out. It never cancels an attempt of an at-most-once webhook.
func (p *Policy) cancelIfUnresponsive(w *webhook) {
	r := w.call.endpoint.route
	limit := max(api.Micros(tailLatencyFactor*r.meanLatency), w.eventType.LatencyTarget)
	silentFor := p.now - max(w.sentAt, r.lastOutcomeAt)
	allSlotsUsed := p.inFlight >= p.settings.MaxInFlight
	if p.settings.CanCancel && allSlotsUsed && w.eventType.Semantics != api.AtMostOnce && silentFor >= limit {
		p.host.CancelAttempt(w.id, w.attempts-1)
		return
	}
	p.timers.Add(int64(p.now+max(limit/8, p.settings.MinTurnInterval)), w)
}
