package policy

import (
	"rowanlink/internal/backoff"
	"rowanlink/webhook/api"
)

const fullShare, sickShare = backoff.FullShare, backoff.UnhealthyShare // the latter to all sick ones too

// checkBackoff holds a webhook to its own wait.
func (c *Policy) checkBackoff(w *webhook) stageResult { return w.nextAttemptAt <= c.now }

// scheduleRetry draws the wait before the next attempt, or ends a webhook that may not have one.
func (c *Policy) scheduleRetry(w *webhook) {
	w.nextAttemptAt = c.now + Backoff(w.eventType.maxBackoff, w.backoffs, c.random.Float64())
	w.backoffs++
	spent := w.attempts >= c.MaxAttempts || w.eventType.Semantics == api.AtMostOnce && w.mayHaveRunAt != never
	if spent || max(w.nextAttemptAt, w.destination.sharedRoute.retryAfterUntil) >= c.latestSend(w) {
		c.giveUp(w)
		return
	}
	c.timers.Add(int64(w.nextAttemptAt), w)
	c.timers.Add(int64(c.latestSend(w)), w)
	c.enqueue(w)
}

// Backoff is the design's schedule in whole microseconds. m is in seconds, x from [0, 1).
func Backoff(m float64, i int, x float64) api.Micros {
	return api.Micros(backoff.Delay(m, i, x, float64(api.Second)))
}

// concurrencyLimit is how many calls a route may have out: its window, up to a share of the slots.
func (c *Policy) concurrencyLimit(r *route) int {
	if r.failureRate > unhealthyFailureRate/2 || r.meanLatency > unresponsiveFactor*c.meanLatency {
		return backoff.ConcurrencyLimit(r.window, sickShare, float64(c.MaxInFlight))
	}
	return backoff.ConcurrencyLimit(r.window, fullShare, float64(c.MaxInFlight))
}

// respreadAfterStall draws anew what came due while the dispatcher stood still, and what came new for a destination
// that failed or refused last. Guards against a building full of them that wake together and send in one
// moment what chance had spread: that would push over what returned meanwhile.
func (c *Policy) respreadAfterStall(stood api.Micros) {
	for _, d := range c.backlogged {
		for _, w := range d.queue {
			trouble := w.attempts > 0 || d.sharedRoute.consecutiveRejections > 0 || d.sharedRoute.failureRate > 0
			if w.queued && trouble && w.nextAttemptAt <= c.now {
				w.nextAttemptAt = c.now + api.Micros(c.random.Float64()*float64(stood))
				c.timers.Add(int64(w.nextAttemptAt), w)
			}
		}
	}
}
