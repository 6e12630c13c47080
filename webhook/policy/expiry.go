package policy

import (
	"slices"

	"rowanlink/webhook/api"
)

// latestSend returns the latest time at which an attempt may start: two turn intervals before the deadline and, for a
// deduplicated webhook that may have run, as long before the destination forgets its idempotency key.
func (p *Policy) latestSend(w *webhook) api.Micros {
	margin := 2 * p.settings.MinTurnInterval
	latest := w.deadline - margin
	if w.mayHaveRunAt != never && w.eventType.Semantics == api.Deduplicated {
		latest = min(latest, w.mayHaveRunAt+w.eventType.DedupWindow-margin)
	}
	return latest
}

// giveUp gives a webhook its final answer at once: a rejection with a Retry-After if no attempt may have run, else a
// dead letter.
func (p *Policy) giveUp(w *webhook) {
	if w.mayHaveRunAt != never {
		p.host.DeadLetter(w.id)
	} else {
		remaining := max(w.destination.sharedRoute.retryAfterUntil-p.now, 0)
		p.host.Reject(w.id, min(remaining, p.settings.MaxRetryAfter))
	}
	p.forget(w)
}

// forget marks a webhook as finished and drops it. With an attempt in flight, the webhook is kept until the outcome.
func (p *Policy) forget(w *webhook) {
	if !w.finished {
		w.finished = true
		p.unanswered--
	}
	w.dequeue()
	if w.call != nil {
		return
	}
	delete(p.webhooks, w.id)
	if s := p.sequences[w.orderingKey]; s != nil && w.eventType.Ordered {
		s.queue = slices.DeleteFunc(s.queue, func(other *webhook) bool { return other == w })
	}
}

// Withdraw drops a webhook that nobody waits for any more; an attempt in flight continues.
func (p *Policy) Withdraw(id api.WebhookID) {
	p.now = p.host.Now()
	if w := p.webhooks[id]; w != nil {
		p.forget(w)
	}
}
