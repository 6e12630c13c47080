package policy

import (
	"slices"

	"rowanlink/webhook/api"
)

// lastSend is the last moment for an attempt: a tick to spare before the TTL and, where a tokened webhook may
// have run, inside the time for which the destination remembers its token.
func (c *Control) lastSend(w *webhook) api.Micros {
	last := w.ttl - 2*c.MinTurnInterval
	if w.mayRun != never && w.evt.Semantics == api.Deduplicated {
		last = min(last, w.mayRun+w.evt.DedupWindow-2*c.MinTurnInterval)
	}
	return last
}

// finish ends it at once: rejected, with a time to come back, where none may have run, else dead-lettered.
func (c *Control) finish(w *webhook) {
	if w.mayRun != never {
		c.host.DeadLetter(w.id)
	} else {
		c.host.Reject(w.id, min(max(w.dest.shared.waitUntil-c.now, 0), c.MaxRetryAfter))
	}
	c.forget(w)
}

// forget drops a webhook that is over; one with an attempt out is kept for the outcome.
func (c *Control) forget(w *webhook) {
	if !w.ended {
		w.ended = true
		c.open--
	}
	if w.dequeue(); w.call != nil {
		return
	}
	delete(c.held, w.id)
	if t := c.turns[w.key]; t != nil && w.evt.Ordered {
		t.line = slices.DeleteFunc(t.line, func(o *webhook) bool { return o == w })
	}
}

// Withdraw is told when nobody wants a webhook any more; an attempt that is out runs on.
func (c *Control) Withdraw(id api.WebhookID) {
	if c.now = c.host.Now(); c.held[id] != nil {
		c.forget(c.held[id])
	}
}

// shed keeps the buffer from filling up: past its share the webhooks worth least, of the destination with the
// longest queue, are rejected, so that those for other destinations are not turned away at the door.
func (c *Control) shed() {
	c.drains = min(c.drains, c.open)
	most := max(int(fillTo*float64(c.BufferSize)), c.drains, 1)
	if !c.shedding && c.open > most || c.shedding && c.open <= most/2 {
		c.shedding = !c.shedding
		c.log("shedding %v, %d held", c.shedding, c.open)
	}
	for c.open > most && len(c.busy) > 0 {
		d := slices.MaxFunc(c.busy, func(a, b *destination) int { return len(a.queue) - len(b.queue) })
		var victim *webhook
		for _, w := range d.queue {
			if w.mayRun == never && (victim == nil || c.before(victim, w) < 0) {
				victim = w
			}
		}
		if victim == nil {
			return
		}
		c.finish(victim)
		d.prune()
	}
}
