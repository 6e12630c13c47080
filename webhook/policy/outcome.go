package policy

import (
	"cmp"
	"slices"

	"rowanlink/internal/backoff"
	"rowanlink/webhook/api"
)

// AttemptEnded takes the result of an attempt and decides what becomes of its webhook.
func (p *Policy) AttemptEnded(result api.AttemptResult) {
	p.now = p.host.Now()
	w := p.webhooks[result.Webhook]
	if w == nil || w.call == nil {
		return
	}
	k := w.call
	w.call = nil
	// Webhooks that shared a call may each get another Retry-After: the longest counts.
	if r := k.endpoint.route; result.RetryAfter > 0 {
		r.retryAfterUntil = max(r.retryAfterUntil, p.now+result.RetryAfter+1)
	}
	if !k.recorded {
		k.recorded = true
		p.recordOutcome(k.endpoint, result)
	}
	p.finishCall(k)
	if !result.Outcome.NeverRan() && w.mayHaveRunAt == never {
		w.mayHaveRunAt = w.sentAt
		w.mayHaveRunIn = k.endpoint.zone
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

// recordOutcome updates what is known of the endpoint and its route, once for all the webhooks of a call.
func (p *Policy) recordOutcome(e *endpoint, result api.AttemptResult) {
	r := e.route
	r.lastOutcomeAt = p.now
	r.wakeUpAt = 0
	outcome := p.classify(result)
	refusedQuickly := outcome == api.ConnectFailed && p.failedQuickly(result)
	// A quick refusal shows a connection limit; an endpoint that doesn't answer at all shows none.
	if outcome == api.ConnectionLimited || refusedQuickly {
		e.destination.kind.connectionLimitedUntil = p.now + connectionLimitMemory*p.settings.SlowStartDuration
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

// classify takes a quick connect failure for a connection limit where the host doesn't distinguish them: connecting to an
// endpoint that doesn't answer takes the complete time-out. One that has crashed refuses as quickly; it is recognized by
// how long it refuses connections.
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
	e.connectionLimit += smoothing // the refused connection may have been a single one
	r.failureRate = (1 - smoothing) * r.failureRate
	r.timeoutRate = (1 - smoothing) * r.timeoutRate
	p.timeoutRate -= smoothing / 4 * p.timeoutRate
	r.window = backoff.Grow(r.window, 1, float64(p.settings.MaxInFlight))
	r.rate += p.rateStep(e)
	p.updateRecovery(r)
}

// rateStep is by how much a success raises the rate. The listed rate may be far too low: where the queue is longer than
// the rate can carry within the latency target, and nothing was rejected for long, the step is larger.
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
	// Rejections may count against the limit: no other webhook follows at once, and the rate falls.
	r.tokens = min(r.tokens, 0.5-p.random.Float64())
	if p.now-r.rateDecreasedAt > api.Second/2 {
		r.rateDecreasedAt = p.now
		r.rate = max(r.rate*rateDecrease, r.listedRate*minRateShare)
	}
	// A destination that is closed and one that is limited look alike, except for how long it lasts: a delay longer than a
	// recovering destination would need to fail again, or nothing but rejections for some time, is taken for an outage.
	if retryAfter > p.settings.OverloadDuration || r.consecutiveRejections >= unhealthyAfterRejections {
		p.markUnhealthy(r)
	}
}

// recordConnectionLimit handles a connection that was refused for a limit. The destination runs, so there is no slow
// start. If there is no other outcome for long, the destination may be out of service and show it in this way.
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
	// A connection limit is no outage, since other calls succeed. The learned limit rises with them: the refusal may have
	// been the beginning of an outage. Where limits are reported this is not one, and counts as a failure.
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
		p.host.CloseIdleConnections(e.id) // other connections to it may have ended unnoticed, too
		return
	}
	if outcome == api.TimedOut || outcome == api.Cancelled {
		p.recordTimeout(e)
	}
	e.consecutiveFailures++
	// Neither further failures of an ejected endpoint nor a single broken connection tell anything of the route.
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
	if e.consecutiveFailures == 0 { // the many time-outs of one destination that hangs tell nothing of the others
		p.timeoutRate += smoothing / 4 * (1 - p.timeoutRate)
	}
}

// smoothed adds a measured latency to an exponential moving average, which starts with the first one.
func smoothed(mean float64, latency api.Micros) float64 {
	mean = cmp.Or(mean, float64(latency))
	return mean + smoothing*(float64(latency)-mean)
}

// hasEndpoint reports whether one of the listed endpoints of e's route has fewer consecutive failures than limit.
func hasEndpoint(e *endpoint, limit int) bool {
	return slices.ContainsFunc(e.destination.endpoints, func(other *endpoint) bool {
		return other.route == e.route && other.consecutiveFailures < limit
	})
}
