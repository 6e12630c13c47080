package policy

import (
	"cmp"
	"slices"

	"rowanlink/internal/backoff"
	"rowanlink/webhook/api"
)

// AttemptEnded takes what came of an attempt, back through the stages from the last.
func (c *Policy) AttemptEnded(id api.WebhookID, ep api.EndpointID, what api.Outcome,
	took api.Micros, ended bool, wait api.Micros) {
	c.now = c.host.Now()
	w := c.webhooks[id]
	if w == nil || w.call == nil {
		return
	}
	k, r := w.call, w.call.endpoint.route
	w.call = nil
	// Guards a told wait: webhooks that shared a call may each be told another one, and the longest holds.
	if wait > 0 {
		r.retryAfterUntil = max(r.retryAfterUntil, c.now+wait+1)
	}
	if !k.recorded {
		k.recorded = true
		c.recordOutcome(k.endpoint, what, took, wait)
	}
	c.finishCall(k)
	if !what.NeverRan() && w.mayHaveRunAt == never {
		w.mayHaveRunAt, w.mayHaveRunZone = w.sentAt, k.endpoint.zone
	}
	if t := c.sequences[w.orderingKey]; t != nil && w.eventType.Ordered && what.MayStillRun() {
		t.pausedUntil = max(t.pausedUntil, c.now+c.OrderingGap)
		c.timers.Add(int64(t.pausedUntil), nil)
	}
	if ended || w.finished {
		c.forget(w)
		return
	}
	c.scheduleRetry(w)
}

// closeIdleConnections closes idle connections that keep other dispatchers out, as soon as a call ends with none to follow:
// endpoints of a kind where one was missed of late may take few, the whole fleet's counted, and hundreds that
// rest for half a second fill them. Not where the calls at the stated rate need one for each.
func (c *Policy) closeIdleConnections(e *endpoint) (closed bool) {
	atOnce := e.route.listedRate * e.route.meanLatency / float64(api.Second) * float64(c.Dispatchers)
	few := max(connectionsPerCall*atOnce/float64(len(e.destination.endpoints)), minConnections) < float64(c.Dispatchers)
	if closed = few && e.listed && c.now < e.destination.kind.connectionLimitedUntil && e.inFlight == 0; closed {
		c.host.CloseIdleConnections(e.id)
	}
	return closed
}

// recordOutcome counts the fate of a call, once for all the webhooks in it.
func (c *Policy) recordOutcome(e *endpoint, what api.Outcome, took, wait api.Micros) {
	r := e.route
	r.lastOutcomeAt, r.wakeUpAt = c.now, 0
	// Guards against a cap taken for an outage where the port can't tell them apart: who is silent takes the
	// whole time-out. One that crashed refuses as quickly; it is found as one that is crowded for long.
	if what == api.ConnectFailed && !c.ConnectionLimitsReported && took < c.ConnectTimeout/2 {
		what = api.ConnectionLimited
	}
	// Only a cap answers; who is silent says nothing of one.
	if what == api.ConnectionLimited || what == api.ConnectFailed && took < c.ConnectTimeout/2 {
		e.destination.kind.connectionLimitedUntil = c.now + connectionLimitMemory*c.SlowStartDuration
	}
	switch what {
	case api.Delivered:
		e.meanLatency, r.meanLatency, c.meanLatency = smoothed(e.meanLatency, took), smoothed(r.meanLatency, took), smoothed(c.meanLatency, took)
		if r.usedFallbackRate {
			e.destination.kind.fallbackRate = min(e.destination.kind.fallbackRate*(1+rateIncrease), 1/c.eventTypes[0].LatencyTarget.Seconds())
		}
		e.consecutiveFailures, e.lastSuccessAt, r.lastSuccessAt, r.consecutiveRejections = 0, c.now, c.now, 0
		e.connectionLimit += smoothing // a failed connect may have been a stray one
		r.failureRate, r.timeoutRate = (1-smoothing)*r.failureRate, (1-smoothing)*r.timeoutRate
		c.timeoutRate -= smoothing / 4 * c.timeoutRate
		r.window = backoff.Grow(r.window, 1, float64(c.MaxInFlight))
		// A stated rate may be far too low: where the queue is longer than the pace can carry within the target
		// latency, and nothing was refused for long, seek.
		step, q := rateIncrease, e.destination.queue
		if len(q) > 0 && float64(len(q)) > r.rate*q[0].eventType.LatencyTarget.Seconds() && c.now-r.rateDecreasedAt > c.SlowStartDuration {
			step = rateProbeIncrease
		}
		r.rate += step
		c.updateRecovery(r)
	case api.Rejected:
		r.window = backoff.Halve(r.window)
		r.consecutiveRejections++
		if r.usedFallbackRate && wait < c.OverloadDuration {
			e.destination.kind.fallbackRate *= rateDecrease
		}
		// Guards against refusals that use up the limit: no other webhook follows at once, and the pace falls.
		r.tokens = min(r.tokens, 0.5-c.random.Float64())
		if c.now-r.rateDecreasedAt > api.Second/2 {
			r.rateDecreasedAt = c.now
			r.rate = max(r.rate*rateDecrease, r.listedRate*minRateShare)
		}
		// Shut and limited look alike but for length: a wait longer than a cold destination would need to
		// fall, or refusals and nothing else for a while, is taken for an outage.
		if wait > c.OverloadDuration || r.consecutiveRejections >= unhealthyAfterRejections {
			c.markUnhealthy(r)
		}
	case api.NotSent:
	case api.ConnectionLimited:
		// It runs, so that nothing is cold; only where nothing else comes for long may this be how it is shut.
		e.connectionLimit = float64(max(e.inFlight-1, 1))
		r.tokens = min(r.tokens, 0)
		if r.consecutiveRejections++; r.consecutiveRejections >= unhealthyAfterRejections && c.now-r.lastSuccessAt > c.OverloadDuration {
			c.markUnhealthy(r)
		}
	default:
		// A cap on connections is no outage: calls succeed beside it. It grows with them: it may start one. Where
		// caps are told this is none, and counts as the failure that it is.
		if what == api.ConnectFailed && c.now-e.lastSuccessAt < 2*c.ConnectTimeout {
			if e.connectionLimit = float64(max(e.inFlight-1, 1)); !c.ConnectionLimitsReported {
				return
			}
		}
		alone := c.now-e.lastFailureAt > api.Micros(r.meanLatency)
		if e.lastFailureAt = c.now; what == api.ConnectionReset && alone && c.now-e.lastSuccessAt < c.OverloadDuration {
			c.host.CloseIdleConnections(e.id) // one that breaks alone beside deliveries: others there may have ended unseen
			return
		}
		if what == api.TimedOut || what == api.Cancelled {
			r.window = backoff.Halve(r.window)
			r.timeoutRate += smoothing * (1 - r.timeoutRate)
			if e.consecutiveFailures == 0 { // strays alone: a hang's many time-outs say nothing of the other destinations
				c.timeoutRate += smoothing / 4 * (1 - c.timeoutRate)
			}
		}
		// What an endpoint left out fails says nothing more of the route, nor a connection that breaks by itself.
		if e.consecutiveFailures++; e.consecutiveFailures <= unhealthyAfterFailures && (what != api.ConnectionReset || c.now-e.lastSuccessAt > c.OverloadDuration) {
			r.failureRate += smoothing * (1 - r.failureRate)
		}
		if e.consecutiveFailures >= unhealthyAfterFailures {
			e.nextCanaryAt = c.now + c.canaryInterval(r)
		}
		// One endpoint that fails among well ones is left out by itself: the route is sick when none is well. Where
		// calls are too few to tell, a failure where nothing came back well of late is taken for an outage.
		well := func(o *endpoint) bool { return o.route == r && o.consecutiveFailures < unhealthyAfterFailures }
		stray := r.failureRate <= smoothing && what != api.ConnectFailed // a lone one, by something that answers
		// Of many dispatchers hardly one sees two in a short outage: where caps are told and no endpoint
		// answers, one connect that fails will do.
		answers := func(o *endpoint) bool { return o.route == r && o.consecutiveFailures == 0 }
		gone := c.ConnectionLimitsReported && what == api.ConnectFailed && !slices.ContainsFunc(e.destination.endpoints, answers)
		if !slices.ContainsFunc(e.destination.endpoints, well) {
			c.markUnhealthy(r)
		} else if !r.unhealthy && (r.failureRate > unhealthyFailureRate || gone || !stray && c.now-r.lastSuccessAt > c.OverloadDuration) {
			c.startSlowStart(r)
		}
	}
}

// startSlowStart lets a route have a returning destination's rate. The first call comes by chance, not by the clock.
func (c *Policy) startSlowStart(r *route) {
	r.slowStartSince, r.tokens, r.tokensAt = c.now, c.random.Float64(), c.now
}

// markUnhealthy closes a route but for canaries. It covers whatever makes calls fail in a row: destinations crashed,
// shut, hung or failing. It could do harm where failures cluster by chance; a canary's success ends it.
func (c *Policy) markUnhealthy(r *route) {
	r.window = 1
	// From the end of a told wait, which comes for all dispatchers at once.
	r.nextCanaryAt = max(r.nextCanaryAt, max(c.now, r.retryAfterUntil)+c.canaryInterval(r))
	if !r.unhealthy {
		r.unhealthy = true
		c.log("endpoint %d: destination sick", r.logName)
	}
}

// updateRecovery lets a sick route out into the cold: it grows from a canary to its full pace as a returning
// destination warms, and is well when that time has passed.
func (c *Policy) updateRecovery(r *route) {
	if r.unhealthy {
		r.unhealthy, r.slowStartSince, r.tokens = false, c.now, 0
		r.failureRate = min(r.failureRate, unhealthyFailureRate/2)
		r.rate = max(r.rate, r.listedRate) // refusals while it was shut said nothing of its limit
		c.log("endpoint %d: destination cold", r.logName)
	}
	if r.slowStartSince != never && c.now-r.slowStartSince > c.SlowStartDuration {
		r.slowStartSince = never
		c.log("endpoint %d: destination well", r.logName)
	}
}

// smoothed smooths a measured time; the first one stands for itself.
func smoothed(mean float64, took api.Micros) float64 {
	mean = cmp.Or(mean, float64(took))
	return mean + smoothing*(float64(took)-mean)
}
