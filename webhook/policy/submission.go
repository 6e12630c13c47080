package policy

import (
	"cmp"

	"rowanlink/webhook/api"
)

// Submit accepts a new webhook. From here on it gets exactly one final answer before its deadline.
func (p *Policy) Submit(w api.Webhook) {
	p.Recover(w, api.PriorAttempts{MayHaveRunAt: never})
}

// Recover accepts a webhook with the attempts that an earlier process or another dispatcher has made. The outcome of a
// call that was in flight is lost: as after a connection reset, the webhook is retried after a backoff or given up.
func (p *Policy) Recover(submitted api.Webhook, prior api.PriorAttempts) {
	p.now = p.host.Now()
	eventType := &p.eventTypes[min(int(submitted.EventType), len(p.eventTypes)-1)]
	w := &webhook{
		id:            submitted.ID,
		eventType:     eventType,
		destination:   p.ensureRoute(p.ensureDestination(submitted.Destination)),
		orderingKey:   submitted.OrderingKey,
		deadline:      submitted.Deadline,
		targetAt:      submitted.Deadline - eventType.TTL + eventType.LatencyTarget,
		overQuota:     p.exceedsQuota(submitted.Tenant),
		attempts:      prior.Count,
		backoffs:      max(prior.Count-1, 0),
		nextAttemptAt: p.now,
		mayHaveRunAt:  prior.MayHaveRunAt,
		mayHaveRunIn:  prior.Zone,
	}
	p.webhooks[w.id] = w
	p.unanswered++
	if eventType.Ordered && w.orderingKey != 0 {
		p.appendToSequence(w)
	}
	if w.attempts > 0 {
		p.scheduleRetry(w)
		return
	}
	p.timers.Add(int64(p.latestSend(w)), w)
	p.enqueue(w)
}

// appendToSequence queues an ordered webhook behind the earlier ones of its ordering key. The key pauses if the
// webhook may have run, since that attempt may still run.
func (p *Policy) appendToSequence(w *webhook) {
	s := cmp.Or(p.sequences[w.orderingKey], &sequence{pausedUntil: never})
	s.queue = append(s.queue, w)
	if w.mayHaveRunAt != never {
		s.pausedUntil = p.now + p.settings.OrderingGap
	}
	p.sequences[w.orderingKey] = s
}

// exceedsQuota counts a webhook against its tenant's quota and reports whether it exceeds the quota. Such webhooks rank
// below those of tenants that keep to theirs (the users' brief ranks traffic beyond a tenant's share so).
func (p *Policy) exceedsQuota(id api.TenantID) bool {
	if int(id) >= len(p.quotas) {
		return false
	}
	q := &p.quotas[id]
	q.tokens = min(q.tokens+q.rate*(p.now-q.updatedAt).Seconds(), max(q.rate*quotaBurstSeconds, 1))
	q.updatedAt = p.now
	if q.tokens < 1 {
		return true
	}
	q.tokens--
	return false
}
