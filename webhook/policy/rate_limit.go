package policy

import (
	"math"

	"rowanlink/webhook/api"
)

// admits reports whether an endpoint's route allows one more call now. If not, and the time when it will is known, it
// requests a wake-up for that time.
func (p *Policy) admits(e *endpoint) bool {
	r := e.route
	if p.now < r.retryAfterUntil { // a Retry-After applies to all webhooks of the route
		return p.requestWakeUp(r, r.retryAfterUntil)
	}
	if r.unhealthy {
		return p.admitsCanary(r)
	}
	if r.inFlight >= p.concurrencyLimit(r) || p.isUnresponsive(r) {
		return false
	}
	return p.hasToken(e.destination, r)
}

// admitsCanary reports whether an unhealthy route allows a canary now. Each route has one canary in flight at most, and
// all unhealthy routes together have a bounded share of the slots.
func (p *Policy) admitsCanary(r *route) bool {
	limit := max(int(unhealthyConcurrencyShare*float64(p.settings.MaxInFlight)), 1)
	if r.inFlight > 0 || p.canariesInFlight >= limit {
		return false
	}
	return p.now >= r.nextCanaryAt || p.requestWakeUp(r, r.nextCanaryAt)
}

// hasToken refills the route's token bucket and reports whether it has a complete token. If not, it requests a
// wake-up for when it will.
func (p *Policy) hasToken(d *destination, r *route) bool {
	rate, depth := p.allowedRate(d, r)
	r.tokens = min(r.tokens+rate*(p.now-r.tokensAt).Seconds(), depth)
	r.tokensAt = p.now
	missing := math.Ceil((1 - r.tokens) / rate * float64(api.Second))
	return missing <= 0 || p.requestWakeUp(r, p.now+api.Micros(missing))
}

// requestWakeUp requests a turn at the time when a route that admits no call now may admit calls again. It always
// returns false, which its callers return in turn.
func (p *Policy) requestWakeUp(r *route, at api.Micros) bool {
	if r.wakeUpAt <= p.now || at < r.wakeUpAt { // keep the earliest time only: each turn may compute a different one
		r.wakeUpAt = at
		p.timers.Add(int64(at), nil)
	}
	return false
}

// allowedRate returns the rate of a route, in calls per second, and the number of calls that may start at once. In slow
// start the rate is this dispatcher's share of the load that doesn't overload the destination again. It grows with time
// and has a minimum; calls start one at a time.
func (p *Policy) allowedRate(d *destination, r *route) (rate, burst float64) {
	rate = max(r.rate, fallbackRate(d, r))
	if r.slowStartSince == never {
		return rate, max(rate*burstSeconds, 1)
	}
	s := &p.settings
	elapsed := min(float64(p.now-r.slowStartSince)/float64(s.SlowStartDuration), 1)
	capacity := s.SlowStartCapacity + (1-s.SlowStartCapacity)*elapsed
	budget := slowStartBudgetShare * s.OverloadFactor * capacity * r.listedRate
	minimum := 1 / (slowStartDurationsPerCall * s.SlowStartDuration.Seconds())
	return min(rate, max(budget, minimum)), 1
}

// fallbackRate returns the rate that a route may have where this dispatcher's share of the listed rate is too small to
// be useful: the rate learned from the calls that it admitted on all routes of the kind or, if larger, the headroom
// that the destination reported. Each consecutive rejection halves the rate, and reduces reported headroom far more:
// hundreds of dispatchers see the same headroom, and a destination that hangs rejects calls like one at its limit.
func fallbackRate(d *destination, r *route) float64 {
	headroom := math.Ldexp(r.reportedHeadroom, -headroomHalvings*r.consecutiveRejections)
	return math.Ldexp(max(d.kind.fallbackRate, headroom), -r.consecutiveRejections)
}

// canaryInterval returns a random time to the next canary. Its mean is the interval at which this dispatcher's canaries
// use its share of the rate that a recovering destination can take, within bounds. It protects a small destination from
// the canaries of hundreds of dispatchers, which alone would overload it.
func (p *Policy) canaryInterval(r *route) api.Micros {
	s := &p.settings
	interval := float64(api.Second) / (slowStartBudgetShare * s.OverloadFactor * s.SlowStartCapacity * r.listedRate)
	interval = min(max(interval, minCanaryIntervalShare*float64(s.SlowStartDuration)), float64(s.SlowStartDuration))
	return api.Micros(interval * (1 + p.random.Float64()) / 1.5)
}
