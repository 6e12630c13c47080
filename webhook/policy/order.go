package policy

import (
	"cmp"

	"rowanlink/webhook/api"
)

// Submit takes on a webhook. From here on it is owed exactly one final answer before its TTL.
func (c *Policy) Submit(id api.WebhookID, evt api.EventTypeID, tenant api.TenantID,
	key api.OrderingKey, ttl api.Micros, dest api.DestinationID) {
	c.Recover(id, evt, tenant, key, ttl, dest, 0, never, 0)
}

// Recover takes on a webhook that an earlier life had, with its attempts and the first that may have run. A
// call that was out has no outcome any more: like a reset, it is followed by the schedule's wait, or the end.
func (c *Policy) Recover(id api.WebhookID, evt api.EventTypeID, tenant api.TenantID,
	key api.OrderingKey, ttl api.Micros, dest api.DestinationID,
	attempts int, mayRun api.Micros, zone api.ZoneID) {
	c.now = c.host.Now()
	row := &c.eventTypes[min(int(evt), len(c.eventTypes)-1)]
	w := &webhook{id: id, eventType: row, destination: c.ensureRoute(c.destination(dest)), orderingKey: key, deadline: ttl, nextAttemptAt: c.now,
		mayHaveRunAt: mayRun, mayHaveRunZone: zone, targetAt: ttl - row.TTL + row.LatencyTarget, overQuota: c.exceedsQuota(tenant),
		attempts: attempts, backoffs: max(attempts-1, 0)}
	c.webhooks[id], c.unanswered = w, c.unanswered+1
	if row.Ordered && key != 0 {
		t := cmp.Or(c.sequences[key], &sequence{pausedUntil: never})
		if t.queue = append(t.queue, w); mayRun != never {
			t.pausedUntil = c.now + c.OrderingGap
		}
		c.sequences[key] = t
	}
	if attempts > 0 {
		c.scheduleRetry(w)
		return
	}
	c.timers.Add(int64(c.latestSend(w)), w)
	c.enqueue(w)
}

// exceedsQuota meters a tenant's webhooks: what comes beyond its share earns little, whatever is done with it.
func (c *Policy) exceedsQuota(id api.TenantID) (over bool) {
	if int(id) < len(c.quotas) {
		t := &c.quotas[id]
		t.tokens, t.updatedAt = min(t.tokens+t.rate*(c.now-t.updatedAt).Seconds(), max(t.rate*quotaBurstSeconds, 1)), c.now
		if over = t.tokens < 1; !over {
			t.tokens--
		}
	}
	return over
}

// comparePriority ranks webhooks by the value still to be had. Those inside their tenant's share come first; of them
// those that can still make the target latency, the nearest to missing it first; then the late ones, youngest
// first: all lose value alike, so what can't all be delivered in time is given up from the oldest on. A
// tokened webhook that may have run counts as in time: past its window it would be a dead letter.
func (c *Policy) comparePriority(a, b *webhook) int {
	tier := func(w *webhook) (t int) {
		atRisk := w.mayHaveRunAt != never && w.eventType.Semantics == api.Deduplicated
		if !atRisk && c.now+api.Micros(w.destination.sharedRoute.meanLatency) > w.targetAt {
			t = 1
		}
		if w.overQuota {
			t += 2
		}
		return t
	}
	ta, tb := tier(a), tier(b)
	if ta != tb {
		return ta - tb
	}
	// While slots are scarce those go first that give them back soonest: a few slow destinations would take all.
	if ra, rb := a.destination.sharedRoute, b.destination.sharedRoute; ra != rb && float64(c.inFlight) >= fullShare*float64(c.MaxInFlight) {
		return cmp.Compare(ra.meanLatency, rb.meanLatency)
	}
	if ta&1 == 1 {
		return cmp.Compare(b.targetAt, a.targetAt)
	}
	return cmp.Compare(a.targetAt, b.targetAt)
}

// checkOrdering holds an ordered webhook until each earlier one of its key is over with no attempt out, and the key
// has rested after one that may still run.
func (c *Policy) checkOrdering(w *webhook) stageResult {
	t := c.sequences[w.orderingKey]
	return stageResult(!w.eventType.Ordered || w.orderingKey == 0 || t.queue[0] == w && (w.attempts > 0 || c.now >= t.pausedUntil))
}
