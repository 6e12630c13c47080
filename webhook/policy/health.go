package policy

import "rowanlink/webhook/api"

// updateHealth decides after a failure whether the route is unhealthy or recovering. One endpoint that fails among
// healthy ones is ejected by itself: the route is unhealthy when none is healthy. Where calls are too few to tell, a
// failure without a recent success is taken for an outage that has just ended.
func (p *Policy) updateHealth(e *endpoint, outcome api.Outcome) {
	r := e.route
	if !hasEndpoint(e, unhealthyAfterFailures) {
		p.markUnhealthy(r)
		return
	}
	if r.unhealthy {
		return
	}
	connectFailed := outcome == api.ConnectFailed
	// Of many dispatchers hardly one sees two failures in a short outage: where limits are reported and no endpoint
	// answers, one failed connect is enough.
	unreachable := p.settings.ConnectionLimitsReported && connectFailed && !hasEndpoint(e, 1)
	singleFailure := r.failureRate <= smoothing && !connectFailed // of an endpoint that answers
	noRecentSuccess := p.now-r.lastSuccessAt > p.settings.OverloadDuration
	if r.failureRate > unhealthyFailureRate || unreachable || !singleFailure && noRecentSuccess {
		p.startSlowStart(r)
	}
}

// startSlowStart gives a route the rate of a recovering destination. The time of the first call is random.
func (p *Policy) startSlowStart(r *route) {
	r.slowStartSince = p.now
	r.tokens = p.random.Float64()
	r.tokensAt = p.now
}

// markUnhealthy closes a route to everything but canaries. It covers all causes of failures in a row: destinations
// that have crashed, are out of service, hang or fail. It could do harm where failures cluster at random; a canary's success ends
// it.
func (p *Policy) markUnhealthy(r *route) {
	r.window = 1
	// Canaries count from the end of a Retry-After delay, which is the same for all dispatchers.
	r.nextCanaryAt = max(r.nextCanaryAt, max(p.now, r.retryAfterUntil)+p.canaryInterval(r))
	if !r.unhealthy {
		r.unhealthy = true
		p.log("endpoint %d: destination unhealthy", r.logName)
	}
}

// updateRecovery ends the outage of an unhealthy route with its first success: in slow start it grows from a canary to
// its full rate as the destination warms up. It is healthy when that time has passed.
func (p *Policy) updateRecovery(r *route) {
	if r.unhealthy {
		r.unhealthy = false
		r.slowStartSince = p.now
		r.tokens = 0
		r.failureRate = min(r.failureRate, unhealthyFailureRate/2)
		r.rate = max(r.rate, r.listedRate) // rejections during the outage weren't caused by its limit
		p.log("endpoint %d: destination in slow start", r.logName)
	}
	if r.slowStartSince != never && p.now-r.slowStartSince > p.settings.SlowStartDuration {
		r.slowStartSince = never
		p.log("endpoint %d: destination healthy", r.logName)
	}
}
