package policy

import (
	"rowanlink/internal/backoff"
	"rowanlink/webhook/api"
)

// checkBackoff has a webhook wait for the end of its backoff.
func (p *Policy) checkBackoff(w *webhook) stageResult { return w.nextAttemptAt <= p.now }

// scheduleRetry draws the delay before the next attempt and queues the webhook again. It gives the webhook up if
// MaxAttempts is reached, if an at-most-once webhook may have run, or if the next attempt would start too late.
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

// Backoff returns the delay before retry i, counted from 0. The longest delay m is in seconds; x is a random number in
// [0, 1).
func Backoff(m float64, i int, x float64) api.Micros {
	return api.Micros(backoff.Delay(m, i, x, float64(api.Second)))
}

// respreadAfterStall delays webhooks by a random part of the time for which the dispatcher was stalled: retries that
// came due meanwhile, and new webhooks of destinations that recently failed or rejected calls. Many dispatchers that
// resume together would otherwise send at once what random backoff had spread, and overload a destination that has just
// recovered.
func (p *Policy) respreadAfterStall(stalledFor api.Micros) {
	for _, d := range p.backlogged {
		for _, w := range d.queue {
			needsRespread := w.attempts > 0 || d.sharedRoute.consecutiveRejections > 0 || d.sharedRoute.failureRate > 0
			if w.queued && needsRespread && w.nextAttemptAt <= p.now {
				w.nextAttemptAt = p.now + api.Micros(p.random.Float64()*float64(stalledFor))
				p.timers.Add(int64(w.nextAttemptAt), w)
			}
		}
	}
}
