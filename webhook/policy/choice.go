package policy

import (
	"math"

	"rowanlink/webhook/api"
)

// inZone guards against a second effect: where only a zone remembers a token, what may have run stays in it.
func (c *Control) inZone(w *webhook, e *endpoint) bool {
	return w.mayRun == never || w.evt.Semantics != api.Deduplicated || !w.evt.DedupByZone || w.zone == e.zone
}

// choose takes the first endpoint of the ranked order that has room.
func (c *Control) choose(w *webhook) verdict {
	if c.pick != nil {
		return pass
	}
	each := math.Ceil(float64(c.MaxInFlight) * fullShare)
	if n := len(w.dest.endpoints); n > 1 && !w.dest.kind.SeparateRoutes {
		each = math.Ceil(float64(c.bound(w.dest.shared)) / float64(n))
	}
	for _, e := range w.dest.endpoints {
		room := float64(e.out) < min(each, math.Floor(e.limit)) && c.inZone(w, e)
		// One endpoint is sick among well ones: a single call now and then.
		rests := e.fails >= sickRow && !e.route.sick && (c.now < e.tryAt || e.out > 0)
		if room && c.opens(e) && !rests {
			c.pick = e
			return pass
		}
	}
	return hold
}

func (c *Control) send(w *webhook) verdict {
	e, r := c.pick, c.pick.route
	if k := e.open; k == nil || k.turn != c.turn || k.left >= w.dest.kind.BatchSize {
		if r.out == 0 {
			r.heardAt = c.now
		}
		c.callOut(e)
		r.tokens--
		r.loose = r.coldSince == never && !r.sick && r.pace < loose(w.dest, r)
		if r.sick || e.fails >= sickRow {
			e.tryAt = c.now + c.canaryPause(r)
			r.tryAt = max(r.tryAt, e.tryAt)
		}
	}
	w.call = e.open
	w.call.left++
	w.sentAt, w.attempts = c.now, w.attempts+1
	w.dequeue()
	c.dues.Add(int64(c.now+w.evt.LatencyTarget), w)
	c.host.StartAttempt(w.id, e.id, c.patience(w, e), c.lastSend(w))
	return pass
}

// patience leaves a slow answer its time; a time-out makes work that may still run and cost the webhook.
// Where answers get lost it shrinks towards the time that those which come take: lost answers, hangs of one
// endpoint of several. Each time-out in a row doubles it, so that a destination grown slow is waited for.
func (c *Control) patience(w *webhook, e *endpoint) api.Micros {
	p := float64(w.evt.reach)
	if r := e.route; r.mean > 0 && !r.sick {
		tail := tailBy * max(1-2*c.lost, tailLeast) * r.mean * math.Exp2(float64(min(e.fails, 9)))
		p = max(p*(1-lossBy*max(r.lost, c.lost)), min(p, tail))
	}
	return max(min(api.Micros(p), w.ttl-c.now), 1)
}
