package policy

import (
	"math"

	"rowanlink/webhook/api"
)

// admits reports whether an endpoint's route takes one more call now. Where it doesn't, a turn is requested for when it
// may.
func (p *Policy) admits(e *endpoint) bool {
	r := e.route
	if p.now < r.retryAfterUntil { // a Retry-After applies to every webhook
		return p.wakeUp(r, r.retryAfterUntil)
	}
	if r.unhealthy {
		return p.admitsCanary(r)
	}
	if r.inFlight >= p.concurrencyLimit(r) || p.isUnresponsive(r) {
		return false
	}
	return p.hasToken(e.destination, r)
}

// admitsCanary lets one canary at a time to an unhealthy route; all unhealthy routes together have a bounded share of the
// slots.
func (p *Policy) admitsCanary(r *route) bool {
	limit := max(int(unhealthyConcurrencyShare*float64(p.settings.MaxInFlight)), 1)
	if r.inFlight > 0 || p.canariesInFlight >= limit {
		return false
	}
	return p.now >= r.nextCanaryAt || p.wakeUp(r, r.nextCanaryAt)
}

// hasToken refills the route's token bucket and reports whether it has a complete token.
func (p *Policy) hasToken(d *destination, r *route) bool {
	rate, depth := p.allowedRate(d, r)
	r.tokens = min(r.tokens+rate*(p.now-r.tokensAt).Seconds(), depth)
	r.tokensAt = p.now
	missing := math.Ceil((1 - r.tokens) / rate * float64(api.Second))
	return missing <= 0 || p.wakeUp(r, p.now+api.Micros(missing))
}

// wakeUp requests a turn at the time when a route that admits nothing may admit calls again. It returns false.
func (p *Policy) wakeUp(r *route, at api.Micros) bool {
	if r.wakeUpAt <= p.now || at < r.wakeUpAt { // one request at a time: each turn may arrive at another time
		r.wakeUpAt = at
		p.timers.Add(int64(at), nil)
	}
	return false
}

// allowedRate returns how many calls per second a route may have, and how many may start at once. In slow start it is this
// dispatcher's share, growing with time, of the rate that doesn't overload the destination again, and at least one call.
func (p *Policy) allowedRate(d *destination, r *route) (rate, burst float64) {
	rate = max(r.rate, fallbackRate(d, r))
	if r.slowStartSince == never {
		return rate, max(rate*burstSeconds, 1)
	}
	s := &p.settings
	elapsed := min(float64(p.now-r.slowStartSince)/float64(s.SlowStartDuration), 1)
	capacity := s.SlowStartCapacity + (1-s.SlowStartCapacity)*elapsed
	budget := slowStartBudgetShare * s.OverloadFactor * capacity * r.listedRate
	least := 1 / (slowStartSpansPerCall * s.SlowStartDuration.Seconds())
	return min(rate, max(budget, least)), 1
}

// fallbackRate is the rate that a route may have where this dispatcher's share is too small to be useful: learned over all
// routes from the calls that it admitted, or reported. Rejections in a row halve it, reported headroom far more: hundreds
// of dispatchers see the same headroom, and a hung destination rejects like a full one.
func fallbackRate(d *destination, r *route) float64 {
	headroom := math.Ldexp(r.reportedHeadroom, -headroomHalvings*r.consecutiveRejections)
	return math.Ldexp(max(d.kind.fallbackRate, headroom), -r.consecutiveRejections)
}

// canaryInterval is random around the gap that this dispatcher's share of a recovering destination's budget gives,
// within bounds. It protects a small destination from the canaries of hundreds of dispatchers, which alone would
// overload it.
func (p *Policy) canaryInterval(r *route) api.Micros {
	s := &p.settings
	interval := float64(api.Second) / (slowStartBudgetShare * s.OverloadFactor * s.SlowStartCapacity * r.listedRate)
	interval = min(max(interval, minCanaryShare*float64(s.SlowStartDuration)), float64(s.SlowStartDuration))
	return api.Micros(interval * (1 + p.random.Float64()) / 1.5)
}
