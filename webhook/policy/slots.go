package policy

import "rowanlink/webhook/api"

// checkConcurrency counts own calls exactly, so that none comes back unsent. Joining a call of this turn needs none.
func (c *Policy) checkConcurrency(w *webhook) stageResult {
	c.selected = nil
	for _, e := range w.destination.endpoints {
		if k := e.openCall; k != nil && k.turnNumber == c.turnNumber && k.pending < w.destination.kind.BatchSize && !k.canary && c.allowsZone(w, e) {
			c.selected = e
			return proceed
		}
	}
	return c.inFlight < c.MaxInFlight
}

// isUnresponsive guards the slots against a route that hangs, before a time-out tells of it, and short stalls,
// where calls only queue. It takes two calls out: it could hold back a route whose answers vary widely.
func (c *Policy) isUnresponsive(r *route) bool {
	return r.inFlight >= 2 && r.meanLatency > 0 && float64(c.now-r.lastOutcomeAt) > max(unresponsiveFactor/float64(r.inFlight), 1)*r.meanLatency
}

// cancelIfUnresponsive calls off what a route owes that has said nothing for long, while every slot is taken: a hang over
// many destinations at once would hold them all until its time-outs. Never an at-most-once webhook.
func (c *Policy) cancelIfUnresponsive(w *webhook) {
	r := w.call.endpoint.route
	long := max(api.Micros(tailLatencyFactor*r.meanLatency), w.eventType.LatencyTarget)
	unheard := c.now - max(w.sentAt, r.lastOutcomeAt)
	if c.CanCancel && c.inFlight >= c.MaxInFlight && w.eventType.Semantics != api.AtMostOnce && unheard >= long {
		c.host.CancelAttempt(w.id, w.attempts-1)
		return
	}
	c.timers.Add(int64(c.now+max(long/8, c.MinTurnInterval)), w)
}
