package policy

import (
	"rowanlink/internal/backoff"
	"rowanlink/webhook/api"
)

const fullShare, sickShare = backoff.FullShare, backoff.UnhealthyShare // the latter to all sick ones too

// schedule holds a webhook to its own wait.
func (c *Control) schedule(w *webhook) verdict { return w.readyAt <= c.now }

// retry draws the wait before the next attempt, or ends a webhook that may not have one.
func (c *Control) retry(w *webhook) {
	w.readyAt = c.now + Wait(w.evt.cap, w.retries, c.chance.Float64())
	w.retries++
	spent := w.attempts >= c.MaxAttempts || w.evt.Semantics == api.AtMostOnce && w.mayRun != never
	if spent || max(w.readyAt, w.dest.shared.waitUntil) >= c.lastSend(w) {
		c.finish(w)
		return
	}
	c.dues.Add(int64(w.readyAt), w)
	c.dues.Add(int64(c.lastSend(w)), w)
	c.enqueue(w)
}

// Wait is the design's schedule in whole microseconds. m is in seconds, x from [0, 1).
func Wait(m float64, i int, x float64) api.Micros {
	return api.Micros(backoff.Delay(m, i, x, float64(api.Second)))
}

// bound is how many calls a route may have out: its window, up to a share of the slots.
func (c *Control) bound(r *route) int {
	if r.failing > sickAt/2 || r.mean > silentBy*c.mean {
		return backoff.ConcurrencyLimit(r.window, sickShare, float64(c.MaxInFlight))
	}
	return backoff.ConcurrencyLimit(r.window, fullShare, float64(c.MaxInFlight))
}

// respread draws anew what came due while the dispatcher stood still, and what came new for a destination
// that failed or refused last. Guards against a building full of them that wake together and send in one
// moment what chance had spread: that would push over what returned meanwhile.
func (c *Control) respread(stood api.Micros) {
	for _, d := range c.busy {
		for _, w := range d.queue {
			trouble := w.attempts > 0 || d.shared.refused > 0 || d.shared.failing > 0
			if w.queued && trouble && w.readyAt <= c.now {
				w.readyAt = c.now + api.Micros(c.chance.Float64()*float64(stood))
				c.dues.Add(int64(w.readyAt), w)
			}
		}
	}
}
