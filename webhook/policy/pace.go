package policy

import (
	"math"

	"rowanlink/webhook/api"
)

// opens tells whether an endpoint's route takes one more call now.
func (c *Control) opens(e *endpoint) bool {
	r := e.route
	if c.now < r.waitUntil { // a told wait holds every send, whatever the webhook
		return c.wakeFor(r, r.waitUntil)
	}
	if r.sick {
		// One canary at a time; all sick routes together hold a bounded part of the slots.
		free := r.out == 0 && c.sickOut < max(int(sickShare*float64(c.MaxInFlight)), 1)
		return free && (c.now >= r.tryAt || c.wakeFor(r, r.tryAt))
	}
	if r.out >= c.bound(r) || c.silent(r) {
		return false
	}
	rate, depth := c.rate(e.dest, r)
	r.tokens, r.tokensAt = min(r.tokens+rate*(c.now-r.tokensAt).Seconds(), depth), c.now
	lack := math.Ceil((1 - r.tokens) / rate * float64(api.Second))
	return lack <= 0 || c.wakeFor(r, c.now+api.Micros(lack))
}

// wakeFor sees to a turn at the time when a route that is not open may be.
func (c *Control) wakeFor(r *route, at api.Micros) (open bool) {
	if r.wakeAt <= c.now || at < r.wakeAt { // one wake at a time: each turn may come to another one
		r.wakeAt = at
		c.dues.Add(int64(at), nil)
	}
	return false
}

// rate is how many calls a second a route is let, and how many may go at once. After an outage it is this
// dispatcher's part, growing as the destination warms, of what doesn't push it over; one call at the least.
func (c *Control) rate(d *destination, r *route) (rate, depth float64) {
	if rate = max(r.pace, loose(d, r)); r.coldSince == never {
		return rate, max(rate*burstSpan, 1)
	}
	share := c.SlowStartCapacity + (1-c.SlowStartCapacity)*min(float64(c.now-r.coldSince)/float64(c.SlowStartDuration), 1)
	part := max(coldPart*c.OverloadFactor*share*r.stated, 1/(coldCalls*c.SlowStartDuration.Seconds()))
	return min(rate, part), 1
}

// loose is the rate a route is let where this dispatcher's part is too small to live by: learned over all
// routes from the calls that it let go, or told by reports. Refusals in a row halve it, told room far more:
// hundreds see the same room, and a hung destination refuses like a full one.
func loose(d *destination, r *route) float64 {
	return math.Ldexp(max(d.kind.trickle, math.Ldexp(r.room, -roomBy*r.refused)), -r.refused)
}

// canaryPause is by chance around the gap that this dispatcher's part of a cold destination's budget gives,
// within bounds. Guards a small destination against the canaries of hundreds, which alone would push it over.
func (c *Control) canaryPause(r *route) api.Micros {
	span := float64(api.Second) / (coldPart * c.OverloadFactor * c.SlowStartCapacity * r.stated)
	span = min(max(span, canaryBy*float64(c.SlowStartDuration)), float64(c.SlowStartDuration))
	return api.Micros(span * (1 + c.chance.Float64()) / 1.5)
}
