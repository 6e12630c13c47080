package policy

import (
	"math"

	"rowanlink/webhook/api"
)

// allowsZone guards against a second effect: where only a zone remembers a token, what may have run stays in it.
func (c *Policy) allowsZone(w *webhook, e *endpoint) bool {
	return w.mayHaveRunAt == never || w.eventType.Semantics != api.Deduplicated || !w.eventType.DedupByZone || w.mayHaveRunZone == e.zone
}

// selectEndpoint takes the first endpoint of the ranked order that has room.
func (c *Policy) selectEndpoint(w *webhook) stageResult {
	if c.selected != nil {
		return proceed
	}
	each := math.Ceil(float64(c.MaxInFlight) * fullShare)
	if n := len(w.destination.endpoints); n > 1 && !w.destination.kind.SeparateRoutes {
		each = math.Ceil(float64(c.concurrencyLimit(w.destination.sharedRoute)) / float64(n))
	}
	for _, e := range w.destination.endpoints {
		room := float64(e.inFlight) < min(each, math.Floor(e.connectionLimit)) && c.allowsZone(w, e)
		// One endpoint is sick among well ones: a single call now and then.
		rests := e.consecutiveFailures >= unhealthyAfterFailures && !e.route.unhealthy && (c.now < e.nextCanaryAt || e.inFlight > 0)
		if room && c.admits(e) && !rests {
			c.selected = e
			return proceed
		}
	}
	return wait
}

func (c *Policy) send(w *webhook) stageResult {
	e, r := c.selected, c.selected.route
	if k := e.openCall; k == nil || k.turnNumber != c.turnNumber || k.pending >= w.destination.kind.BatchSize {
		if r.inFlight == 0 {
			r.lastOutcomeAt = c.now
		}
		c.startCall(e)
		r.tokens--
		r.usedFallbackRate = r.slowStartSince == never && !r.unhealthy && r.rate < fallbackRate(w.destination, r)
		if r.unhealthy || e.consecutiveFailures >= unhealthyAfterFailures {
			e.nextCanaryAt = c.now + c.canaryInterval(r)
			r.nextCanaryAt = max(r.nextCanaryAt, e.nextCanaryAt)
		}
	}
	w.call = e.openCall
	w.call.pending++
	w.sentAt, w.attempts = c.now, w.attempts+1
	w.dequeue()
	c.timers.Add(int64(c.now+w.eventType.LatencyTarget), w)
	c.host.StartAttempt(w.id, e.id, c.attemptTimeout(w, e), c.latestSend(w))
	return proceed
}

// attemptTimeout leaves a slow answer its time; a time-out makes work that may still run and cost the webhook.
// Where answers get lost it shrinks towards the time that those which come take: lost answers, hangs of one
// endpoint of several. Each time-out in a row doubles it, so that a destination grown slow is waited for.
func (c *Policy) attemptTimeout(w *webhook, e *endpoint) api.Micros {
	p := float64(w.eventType.maxTimeout)
	if r := e.route; r.meanLatency > 0 && !r.unhealthy {
		tail := tailLatencyFactor * max(1-2*c.timeoutRate, minTailShare) * r.meanLatency * math.Exp2(float64(min(e.consecutiveFailures, 9)))
		p = max(p*(1-timeoutCutPerLoss*max(r.timeoutRate, c.timeoutRate)), min(p, tail))
	}
	return max(min(api.Micros(p), w.deadline-c.now), 1)
}
