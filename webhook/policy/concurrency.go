package policy

import (
	"rowanlink/internal/backoff"
	"rowanlink/webhook/api"
)

// checkConcurrency keeps this dispatcher within its own limit of calls, so that no attempt ends as NotSent. Joining a call
// of this turn needs no slot.
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

// canJoin reports whether the webhook can be added to a call to e that starts in this turn.
func (p *Policy) canJoin(w *webhook, e *endpoint) bool {
	k := e.openCall
	if k == nil || k.turnNumber != p.turnNumber || k.canary {
		return false
	}
	return k.pending < w.destination.kind.BatchSize && p.allowsZone(w, e)
}

// concurrencyLimit is how many calls a route may have in flight: its window, up to a share of the slots.
func (p *Policy) concurrencyLimit(r *route) int {
	share := healthyConcurrencyShare
	if r.failureRate > unhealthyFailureRate/2 || r.meanLatency > unresponsiveFactor*p.meanLatency {
		share = unhealthyConcurrencyShare
	}
	return backoff.ConcurrencyLimit(r.window, share, float64(p.settings.MaxInFlight))
}

// isUnresponsive reports whether a route with calls in flight has given no outcome for longer than expected. It guards
// the slots against a route that hangs before a time-out shows it, and against short stalls, in which calls only queue.
// It needs two calls in flight. It could slow down a route whose latency varies widely.
func (p *Policy) isUnresponsive(r *route) bool {
	if r.inFlight < 2 || r.meanLatency <= 0 {
		return false
	}
	return float64(p.now-r.lastOutcomeAt) > max(unresponsiveFactor/float64(r.inFlight), 1)*r.meanLatency
}

// cancelIfUnresponsive cancels an attempt whose route has been silent for long while every slot is taken: many
// destinations that hang at once would otherwise occupy all slots until the time-outs. It never cancels an attempt of an
// at-most-once webhook.
func (p *Policy) cancelIfUnresponsive(w *webhook) {
	r := w.call.endpoint.route
	limit := max(api.Micros(tailLatencyFactor*r.meanLatency), w.eventType.LatencyTarget)
	silent := p.now - max(w.sentAt, r.lastOutcomeAt)
	scarce := p.inFlight >= p.settings.MaxInFlight
	if p.settings.CanCancel && scarce && w.eventType.Semantics != api.AtMostOnce && silent >= limit {
		p.host.CancelAttempt(w.id, w.attempts-1)
		return
	}
	p.timers.Add(int64(p.now+max(limit/8, p.settings.MinTurnInterval)), w)
}
