package policy

import (
	"rowanlink/internal/backoff"
	"rowanlink/webhook/api"
)

// checkBackoff has a webhook wait for the end of its own backoff.
func (p *Policy) checkBackoff(w *webhook) stageResult { return w.nextAttemptAt <= p.now }

// scheduleRetry draws the delay before the next attempt, or gives up a webhook that may not have one.
func (p *Policy) scheduleRetry(w *webhook) {
	w.nextAttemptAt = p.now + Backoff(w.eventType.maxBackoff, w.backoffs, p.random.Float64())
	w.backoffs++
	exhausted := w.attempts >= p.settings.MaxAttempts ||
		w.eventType.Semantics == api.AtMostOnce && w.mayHaveRunAt != never
	if exhausted || max(w.nextAttemptAt, w.destination.sharedRoute.retryAfterUntil) >= p.latestSend(w) {
		p.giveUp(w)
		return
	}
	p.timers.Add(int64(w.nextAttemptAt), w)
	p.timers.Add(int64(p.latestSend(w)), w)
	p.enqueue(w)
}

// Backoff is the delay before retry i, counted from 0. The maximum m is in seconds; x is random, in [0, 1).
func Backoff(m float64, i int, x float64) api.Micros {
	return api.Micros(backoff.Delay(m, i, x, float64(api.Second)))
}

// respreadAfterStall sets new random times for retries that came due while the dispatcher was stalled, and for new webhooks
// of destinations that failed or rejected recently. Many dispatchers that resume together would otherwise send at once what
// random backoff had spread, and overload a destination that has just recovered.
func (p *Policy) respreadAfterStall(stalled api.Micros) {
	for _, d := range p.backlogged {
		for _, w := range d.queue {
			troubled := w.attempts > 0 || d.sharedRoute.consecutiveRejections > 0 || d.sharedRoute.failureRate > 0
			if w.queued && troubled && w.nextAttemptAt <= p.now {
				w.nextAttemptAt = p.now + api.Micros(p.random.Float64()*float64(stalled))
				p.timers.Add(int64(w.nextAttemptAt), w)
			}
		}
	}
}
