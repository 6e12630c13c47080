package policy

import (
	"math"

	"rowanlink/webhook/api"
)

// admits tells whether an endpoint's route takes one more call now.
func (c *Policy) admits(e *endpoint) bool {
	r := e.route
	if c.now < r.retryAfterUntil { // a told wait holds every send, whatever the webhook
		return c.wakeUp(r, r.retryAfterUntil)
	}
	if r.unhealthy {
		// One canary at a time; all sick routes together hold a bounded part of the slots.
		free := r.inFlight == 0 && c.canariesInFlight < max(int(sickShare*float64(c.MaxInFlight)), 1)
		return free && (c.now >= r.nextCanaryAt || c.wakeUp(r, r.nextCanaryAt))
	}
	if r.inFlight >= c.concurrencyLimit(r) || c.isUnresponsive(r) {
		return false
	}
	rate, depth := c.allowedRate(e.destination, r)
	r.tokens, r.tokensAt = min(r.tokens+rate*(c.now-r.tokensAt).Seconds(), depth), c.now
	lack := math.Ceil((1 - r.tokens) / rate * float64(api.Second))
	return lack <= 0 || c.wakeUp(r, c.now+api.Micros(lack))
}

// wakeUp sees to a turn at the time when a route that is not open may be.
func (c *Policy) wakeUp(r *route, at api.Micros) (open bool) {
	if r.wakeUpAt <= c.now || at < r.wakeUpAt { // one wake at a time: each turn may come to another one
		r.wakeUpAt = at
		c.timers.Add(int64(at), nil)
	}
	return false
}

// allowedRate is how many calls a second a route is let, and how many may go at once. After an outage it is this
// dispatcher's part, growing as the destination warms, of what doesn't push it over; one call at the least.
func (c *Policy) allowedRate(d *destination, r *route) (rate, depth float64) {
	if rate = max(r.rate, fallbackRate(d, r)); r.slowStartSince == never {
		return rate, max(rate*burstSeconds, 1)
	}
	share := c.SlowStartCapacity + (1-c.SlowStartCapacity)*min(float64(c.now-r.slowStartSince)/float64(c.SlowStartDuration), 1)
	part := max(slowStartBudgetShare*c.OverloadFactor*share*r.listedRate, 1/(slowStartSpansPerCall*c.SlowStartDuration.Seconds()))
	return min(rate, part), 1
}

// fallbackRate is the rate a route is let where this dispatcher's part is too small to live by: learned over all
// routes from the calls that it let go, or told by reports. Refusals in a row halve it, told room far more:
// hundreds see the same room, and a hung destination refuses like a full one.
func fallbackRate(d *destination, r *route) float64 {
	return math.Ldexp(max(d.kind.fallbackRate, math.Ldexp(r.reportedHeadroom, -headroomHalvings*r.consecutiveRejections)), -r.consecutiveRejections)
}

// canaryInterval is by chance around the gap that this dispatcher's part of a cold destination's budget gives,
// within bounds. Guards a small destination against the canaries of hundreds, which alone would push it over.
func (c *Policy) canaryInterval(r *route) api.Micros {
	span := float64(api.Second) / (slowStartBudgetShare * c.OverloadFactor * c.SlowStartCapacity * r.listedRate)
	span = min(max(span, minCanaryShare*float64(c.SlowStartDuration)), float64(c.SlowStartDuration))
	return api.Micros(span * (1 + c.random.Float64()) / 1.5)
}
