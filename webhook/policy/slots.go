package policy

import "rowanlink/webhook/api"

// slots counts own calls exactly, so that none comes back unsent. Joining a call of this turn needs none.
func (c *Control) slots(w *webhook) verdict {
	c.pick = nil
	for _, e := range w.dest.endpoints {
		if k := e.open; k != nil && k.turn == c.turn && k.left < w.dest.kind.BatchSize && !k.sick && c.inZone(w, e) {
			c.pick = e
			return pass
		}
	}
	return c.out < c.MaxInFlight
}

// silent guards the slots against a route that hangs, before a time-out tells of it, and short stalls,
// where calls only queue. It takes two calls out: it could hold back a route whose answers vary widely.
func (c *Control) silent(r *route) bool {
	return r.out >= 2 && r.mean > 0 && float64(c.now-r.heardAt) > max(silentBy/float64(r.out), 1)*r.mean
}

// chase calls off what a route owes that has said nothing for long, while every slot is taken: a hang over
// many destinations at once would hold them all until its time-outs. Never an at-most-once webhook.
func (c *Control) chase(w *webhook) {
	r := w.call.ep.route
	long := max(api.Micros(tailBy*r.mean), w.evt.LatencyTarget)
	unheard := c.now - max(w.sentAt, r.heardAt)
	if c.CanCancel && c.out >= c.MaxInFlight && w.evt.Semantics != api.AtMostOnce && unheard >= long {
		c.host.CancelAttempt(w.id, w.attempts-1)
		return
	}
	c.dues.Add(int64(c.now+max(long/8, c.MinTurnInterval)), w)
}
