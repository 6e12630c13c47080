package policy

import (
	"cmp"
	"slices"

	"rowanlink/internal/backoff"
	"rowanlink/webhook/api"
)

// AttemptEnded updates the learned state with the result of an attempt. It then forgets the webhook if that has
// its final answer, and otherwise schedules a retry or gives the webhook up.
func (p *Policy) AttemptEnded(result api.AttemptResult) {
	p.now = p.host.Now()
	w := p.webhooks[result.Webhook]
	if w == nil || w.call == nil {
		return
	}
	c := w.call
	w.call = nil
	// Webhooks that share a call may get different Retry-After delays: the longest applies.
	if r := c.endpoint.route; result.RetryAfter > 0 {
		r.retryAfterUntil = max(r.retryAfterUntil, p.now+result.RetryAfter+1)
	}
	if !c.recorded {
		c.recorded = true
		p.recordOutcome(c.endpoint, result)
	}
	p.finishCall(c)
	if !result.Outcome.NeverRan() && w.mayHaveRunAt == never {
		w.mayHaveRunAt = w.sentAt
		w.mayHaveRunIn = c.endpoint.zone
	}
	if s := p.sequences[w.orderingKey]; s != nil && w.eventType.Ordered && result.Outcome.MayStillRun() {
		s.pausedUntil = max(s.pausedUntil, p.now+p.settings.OrderingGap)
		p.timers.Add(int64(s.pausedUntil), nil)
	}
	if result.Final || w.finished {
		p.forget(w)
		return
	}
	p.scheduleRetry(w)
}

// recordOutcome updates the learned state of the endpoint and its route, once for all webhooks of a call.
func (p *Policy) recordOutcome(e *endpoint, result api.AttemptResult) {
	r := e.route
	r.lastOutcomeAt = p.now
	r.wakeUpAt = 0
	outcome := p.classify(result)
	refusedQuickly := outcome == api.ConnectFailed && p.failedQuickly(result)
	// A connect that fails quickly was refused, which suggests a connection limit; an endpoint that doesn't answer at
	// all suggests none.
	if outcome == api.ConnectionLimited || refusedQuickly {
		e.destination.kind.connectionLimitedUntil = p.now + retentionSlowStarts*p.settings.SlowStartDuration
	}
	switch outcome {
	case api.Delivered:
		p.recordSuccess(e, result.Latency)
	case api.Rejected:
		p.recordRejection(e, result.RetryAfter)
	case api.ConnectionLimited:
		p.recordConnectionLimit(e)
	case api.NotSent:
	default:
		p.recordFailure(e, outcome)
	}
}

// classify returns the outcome of an attempt. Where the host doesn't report connection limits as such, a connect that
// fails quickly is taken for one: connecting to an endpoint that doesn't answer takes the complete time-out. An
// endpoint that has crashed refuses as quickly; recordConnectionLimit recognizes it by how long it refuses connections.
func (p *Policy) classify(result api.AttemptResult) api.Outcome {
	ambiguous := result.Outcome == api.ConnectFailed && !p.settings.ConnectionLimitsReported
	if ambiguous && p.failedQuickly(result) {
		return api.ConnectionLimited
	}
	return result.Outcome
}

func (p *Policy) failedQuickly(result api.AttemptResult) bool {
	return result.Latency < p.settings.ConnectTimeout/2
}

func (p *Policy) recordSuccess(e *endpoint, latency api.Micros) {
	r, kind := e.route, e.destination.kind
	e.meanLatency = smoothed(e.meanLatency, latency)
	r.meanLatency = smoothed(r.meanLatency, latency)
	p.meanLatency = smoothed(p.meanLatency, latency)
	if r.usedFallbackRate {
		kind.fallbackRate = min(kind.fallbackRate*(1+rateIncrease), 1/p.eventTypes[0].LatencyTarget.Seconds())
	}
	e.consecutiveFailures = 0
	e.lastSuccessAt = p.now
	r.lastSuccessAt = p.now
	r.consecutiveRejections = 0
	e.connectionLimit += smoothing // the refusal that lowered the limit may have been an isolated one
	r.failureRate = (1 - smoothing) * r.failureRate
	r.timeoutRate = (1 - smoothing) * r.timeoutRate
	p.timeoutRate -= smoothing / 4 * p.timeoutRate
	r.window = backoff.Grow(r.window, 1, float64(p.settings.MaxInFlight))
	r.rate += p.rateStep(e)
	p.updateRecovery(r)
}

// rateStep returns the amount by which a success raises the rate, in calls per second. The listed rate may be far too
// low: where the queue is longer than the rate can send within the latency target, and no call was rejected for a long
// time, the step is larger.
func (p *Policy) rateStep(e *endpoint) float64 {
	queue := e.destination.queue
	if len(queue) == 0 || p.now-e.route.rateDecreasedAt <= p.settings.SlowStartDuration {
		return rateIncrease
	}
	if float64(len(queue)) > e.route.rate*queue[0].eventType.LatencyTarget.Seconds() {
		return rateProbeIncrease
	}
	return rateIncrease
}

func (p *Policy) recordRejection(e *endpoint, retryAfter api.Micros) {
	r := e.route
	r.window = backoff.Halve(r.window)
	r.consecutiveRejections++
	if r.usedFallbackRate && retryAfter < p.settings.OverloadDuration {
		e.destination.kind.fallbackRate *= rateDecrease
	}
	// The destination may count rejected calls against its limit: no other webhook follows at once, and the rate is
	// lowered.
	r.tokens = min(r.tokens, 0.5-p.random.Float64())
	if p.now-r.rateDecreasedAt > api.Second/2 {
		r.rateDecreasedAt = p.now
		r.rate = max(r.rate*rateDecrease, r.listedRate*minRateShare)
	}
	// A destination that is out of service and one at its rate limit both reject calls; only the duration tells them
	// apart. A Retry-After delay longer than OverloadDuration (the time in which overload makes a recovering
	// destination fail again), or many rejections without a success, is taken for an outage.
	if retryAfter > p.settings.OverloadDuration || r.consecutiveRejections >= unhealthyAfterRejections {
		p.markUnhealthy(r)
	}
}

// recordConnectionLimit lowers the endpoint's connection limit after a connection was refused because of a limit. The
// destination runs, so the route doesn't enter slow start. If there is no success for a long time, the destination may
// be out of service and refuse all connections: the route becomes unhealthy.
func (p *Policy) recordConnectionLimit(e *endpoint) {
	r := e.route
	e.connectionLimit = float64(max(e.inFlight-1, 1))
	r.tokens = min(r.tokens, 0)
	r.consecutiveRejections++
	if r.consecutiveRejections >= unhealthyAfterRejections && p.now-r.lastSuccessAt > p.settings.OverloadDuration {
		p.markUnhealthy(r)
	}
}

func (p *Policy) recordFailure(e *endpoint, outcome api.Outcome) {
	r := e.route
	// A failed connect shortly after a success suggests a connection limit, not an outage. It may be the beginning of
	// an outage nevertheless, so successes raise the learned limit again. Where connection limits are reported as such,
	// the failed connect counts as a failure, too.
	if outcome == api.ConnectFailed && p.now-e.lastSuccessAt < 2*p.settings.ConnectTimeout {
		e.connectionLimit = float64(max(e.inFlight-1, 1))
		if !p.settings.ConnectionLimitsReported {
			return
		}
	}
	isolated := p.now-e.lastFailureAt > api.Micros(r.meanLatency)
	recentSuccess := p.now-e.lastSuccessAt < p.settings.OverloadDuration
	e.lastFailureAt = p.now
	if outcome == api.ConnectionReset && isolated && recentSuccess {
		p.host.CloseIdleConnections(e.id) // its idle connections may be broken, too
		return
	}
	if outcome == api.TimedOut || outcome == api.Cancelled {
		p.recordTimeout(e)
	}
	e.consecutiveFailures++
	// Neither further failures of an ejected endpoint nor a connection reset soon after a success says anything about
	// the route.
	representative := outcome != api.ConnectionReset || p.now-e.lastSuccessAt > p.settings.OverloadDuration
	if e.consecutiveFailures <= unhealthyAfterFailures && representative {
		r.failureRate += smoothing * (1 - r.failureRate)
	}
	if e.consecutiveFailures >= unhealthyAfterFailures {
		e.nextCanaryAt = p.now + p.canaryInterval(r)
	}
	p.updateHealth(e, outcome)
}

func (p *Policy) recordTimeout(e *endpoint) {
	r := e.route
	r.window = backoff.Halve(r.window)
	r.timeoutRate += smoothing * (1 - r.timeoutRate)
	if e.consecutiveFailures == 0 { // further time-outs of an endpoint that hangs say nothing about other destinations
		p.timeoutRate += smoothing / 4 * (1 - p.timeoutRate)
	}
}

// smoothed returns an exponential moving average of latencies, updated with a new latency. The first latency replaces a
// mean of 0.
func smoothed(mean float64, latency api.Micros) float64 {
	mean = cmp.Or(mean, float64(latency))
	return mean + smoothing*(float64(latency)-mean)
}

// hasEndpointWithFewerFailures reports whether one of the listed endpoints of e's route has fewer consecutive failures
// than limit.
func hasEndpointWithFewerFailures(e *endpoint, limit int) bool {
	return slices.ContainsFunc(e.destination.endpoints, func(other *endpoint) bool {
		return other.route == e.route && other.consecutiveFailures < limit
	})
}
