package policy

import "rowanlink/webhook/api"

// updateHealth decides after a failure whether the route becomes unhealthy or enters slow start. While the route has a
// healthy endpoint, only the failing endpoints are ejected; the route becomes unhealthy when it has none. Where calls
// are too rare to tell, a failure without a recent success is taken for the end of an outage, and the route enters slow
// start.
func (p *Policy) updateHealth(e *endpoint, outcome api.Outcome) {
	r := e.route
	if !hasEndpointWithFewerFailures(e, unhealthyAfterFailures) {
		p.markUnhealthy(r)
		return
	}
	if r.unhealthy {
		return
	}
	connectFailed := outcome == api.ConnectFailed
	// Of many dispatchers, hardly any sees two failures during a short outage. Where connection limits are reported as
	// such, a single failed connect therefore counts if the last call to every endpoint failed.
	unreachable := p.settings.ConnectionLimitsReported && connectFailed && !hasEndpointWithFewerFailures(e, 1)
	// A first failure raises the rate from 0 to smoothing.
	singleFailure := r.failureRate <= smoothing && !connectFailed
	noRecentSuccess := p.now-r.lastSuccessAt > p.settings.OverloadDuration
	if r.failureRate > unhealthyFailureRate || unreachable || !singleFailure && noRecentSuccess {
		p.startSlowStart(r)
	}
}

// startSlowStart limits a route to the rate of a recovering destination. It starts with a random part of a token, so
// that the first calls of all dispatchers are spread.
func (p *Policy) startSlowStart(r *route) {
	r.slowStartSince = p.now
	r.tokens = p.random.Float64()
	r.tokensAt = p.now
}

// markUnhealthy closes a route to all calls but canaries. It handles all causes of consecutive failures alike:
// destinations that have crashed, are out of service, hang or answer with errors. Failures that cluster at random close
// a healthy route, until a canary succeeds.
func (p *Policy) markUnhealthy(r *route) {
	r.window = 1
	// The random canary interval starts at the end of a Retry-After delay: the delay is the same for all dispatchers,
	// which would otherwise all send a canary then.
	r.nextCanaryAt = max(r.nextCanaryAt, max(p.now, r.retryAfterUntil)+p.canaryInterval(r))
	if !r.unhealthy {
		r.unhealthy = true
		p.log("endpoint %d: destination unhealthy", r.logName)
	}
}

// updateRecovery moves an unhealthy route to slow start with its first success: the rate then grows from single
// canaries to the full rate as the destination warms up. With the first success after SlowStartDuration the route is
// healthy.
func (p *Policy) updateRecovery(r *route) {
	if r.unhealthy {
		r.unhealthy = false
		r.slowStartSince = p.now
		r.tokens = 0
		r.failureRate = min(r.failureRate, unhealthyFailureRate/2)
		r.rate = max(r.rate, r.listedRate) // the rejections that lowered it came from the outage, not from a rate limit
		p.log("endpoint %d: destination in slow start", r.logName)
	}
	if r.slowStartSince != never && p.now-r.slowStartSince > p.settings.SlowStartDuration {
		r.slowStartSince = never
		p.log("endpoint %d: destination healthy", r.logName)
	}
}
