package policy

import (
	"slices"

	"rowanlink/webhook/api"
)

// latestSend is the last moment for an attempt: two turn intervals before the deadline and, where a deduplicated webhook
// may have run, within the time for which the destination remembers its key.
func (p *Policy) latestSend(w *webhook) api.Micros {
	margin := 2 * p.settings.MinTurnInterval
	latest := w.deadline - margin
	if w.mayHaveRunAt != never && w.eventType.Semantics == api.Deduplicated {
		latest = min(latest, w.mayHaveRunAt+w.eventType.DedupWindow-margin)
	}
	return latest
}

// giveUp ends a webhook at once: rejected, with a Retry-After, where no attempt may have run, else dead-lettered.
func (p *Policy) giveUp(w *webhook) {
	if w.mayHaveRunAt != never {
		p.host.DeadLetter(w.id)
	} else {
		remaining := max(w.destination.sharedRoute.retryAfterUntil-p.now, 0)
		p.host.Reject(w.id, min(remaining, p.settings.MaxRetryAfter))
	}
	p.forget(w)
}

// forget drops a webhook that has ended; one with an attempt in flight is kept for the outcome.
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
