package policy

import (
	"slices"

	"rowanlink/webhook/api"
)

// latestSend is the last moment for an attempt: a tick to spare before the TTL and, where a tokened webhook may
// have run, inside the time for which the destination remembers its token.
func (c *Policy) latestSend(w *webhook) api.Micros {
	last := w.deadline - 2*c.MinTurnInterval
	if w.mayHaveRunAt != never && w.eventType.Semantics == api.Deduplicated {
		last = min(last, w.mayHaveRunAt+w.eventType.DedupWindow-2*c.MinTurnInterval)
	}
	return last
}

// giveUp ends it at once: rejected, with a time to come back, where none may have run, else dead-lettered.
func (c *Policy) giveUp(w *webhook) {
	if w.mayHaveRunAt != never {
		c.host.DeadLetter(w.id)
	} else {
		c.host.Reject(w.id, min(max(w.destination.sharedRoute.retryAfterUntil-c.now, 0), c.MaxRetryAfter))
	}
	c.forget(w)
}

// forget drops a webhook that is over; one with an attempt out is kept for the outcome.
func (c *Policy) forget(w *webhook) {
	if !w.finished {
		w.finished = true
		c.unanswered--
	}
	if w.dequeue(); w.call != nil {
		return
	}
	delete(c.webhooks, w.id)
	if t := c.sequences[w.orderingKey]; t != nil && w.eventType.Ordered {
		t.queue = slices.DeleteFunc(t.queue, func(o *webhook) bool { return o == w })
	}
}

// Withdraw is told when nobody wants a webhook any more; an attempt that is out runs on.
func (c *Policy) Withdraw(id api.WebhookID) {
	if c.now = c.host.Now(); c.webhooks[id] != nil {
		c.forget(c.webhooks[id])
	}
}

// shedLoad keeps the buffer from filling up: past its share the webhooks worth least, of the destination with the
// longest queue, are rejected, so that those for other destinations are not turned away at the door.
func (c *Policy) shedLoad() {
	c.grandfathered = min(c.grandfathered, c.unanswered)
	most := max(int(maxBufferFill*float64(c.BufferSize)), c.grandfathered, 1)
	if !c.shedding && c.unanswered > most || c.shedding && c.unanswered <= most/2 {
		c.shedding = !c.shedding
		c.log("shedding %v, %d held", c.shedding, c.unanswered)
	}
	for c.unanswered > most && len(c.backlogged) > 0 {
		d := slices.MaxFunc(c.backlogged, func(a, b *destination) int { return len(a.queue) - len(b.queue) })
		var victim *webhook
		for _, w := range d.queue {
			if w.mayHaveRunAt == never && (victim == nil || c.comparePriority(victim, w) < 0) {
				victim = w
			}
		}
		if victim == nil {
			return
		}
		c.giveUp(victim)
		d.removeDequeued()
	}
}
