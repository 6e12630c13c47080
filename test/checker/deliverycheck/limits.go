package deliverycheck

import (
	"fmt"
	"math"
	"slices"

	"rowanlink/webhook/api"
)

// checkRetryAfter allows no call to a destination by a member that received a Retry-After from it, until that has passed.
// A process that ends forgets those that it received.
func (c *Checker) checkRetryAfter() (violations []Violation) {
	waits := map[api.DestinationID][]*Call{} // calls that were answered with a Retry-After
	for _, call := range c.calls {
		if call.retryAfter > 0 {
			waits[call.Destination] = append(waits[call.Destination], call)
		}
	}
	for _, call := range c.calls {
		i := slices.IndexFunc(waits[call.Destination], func(rejected *Call) bool { return c.mustWait(rejected, call) })
		if i < 0 {
			continue
		}
		rejected := waits[call.Destination][i]
		violations = append(violations, call.violation(RetryAfter, call.IDs[0],
			fmt.Sprintf("%s received, %.3f s before, a Retry-After of %.3f s", rejected.Member,
				(call.At-rejected.endedAt).Seconds(), c.retryAfter(rejected).Seconds())))
	}
	return violations
}

// retryAfter returns the Retry-After of a rejected call, which the settings limit.
func (c *Checker) retryAfter(rejected *Call) api.Micros {
	if longest := c.Requirements.Settings.MaxRetryAfter; longest > 0 {
		return min(rejected.retryAfter, longest)
	}
	return rejected.retryAfter
}

// mustWait reports whether a call is too early after a Retry-After.
func (c *Checker) mustWait(rejected, call *Call) bool {
	isBound := c.Requirements.WaitsBindAll || rejected.Member == call.Member
	return isBound &&
		call.At > rejected.endedAt+c.Requirements.WaitGrace &&
		call.At < rejected.endedAt+c.retryAfter(rejected) &&
		!c.processEnded(rejected.Member, rejected.endedAt, call.At)
}

// processEnded reports whether a member's process ended, or was not running, between two times.
func (c *Checker) processEnded(member string, from, to api.Micros) bool {
	return slices.ContainsFunc(c.downtimes[member], func(p period) bool {
		return p.processEnded && p.from < to && (p.until == api.Never || p.until > from)
	})
}

// checkDraining allows no new call to an endpoint that drains by a member that was notified of it, or should have been.
func (c *Checker) checkDraining() (violations []Violation) {
	for _, call := range c.calls {
		for _, drain := range c.drains[call.Endpoint] {
			if call.At < drain.from || drain.until != api.Never && call.At > drain.until {
				continue
			}
			notifiedAt := drain.from + c.Requirements.NotifiedWithin
			for _, at := range c.notified[notification{call.Member, call.Endpoint}] {
				if at >= drain.from {
					notifiedAt = min(notifiedAt, at)
				}
			}
			if late := call.At - notifiedAt; late > c.Requirements.DrainGrace {
				violations = append(violations, call.violation(Draining, call.IDs[0],
					fmt.Sprintf("%s is draining, which was notified %.3f s before", call.Endpoint, late.Seconds())))
			}
		}
	}
	return violations
}

// checkSlowStart allows a recovered destination no more calls in OverloadDuration, of all members together, than
// OverloadFactor times what it can take meanwhile. It reports a recovery once: the destination then stays down.
func (c *Checker) checkSlowStart() (violations []Violation) {
	settings := c.Requirements.Settings
	for destination, outages := range c.outages {
		for _, o := range outages {
			if o.until == api.Never || o.rate == 0 || settings.OverloadDuration == 0 {
				continue
			}
			if v, ok := c.overload(destination, o); ok {
				violations = append(violations, v)
			}
		}
	}
	return violations
}

// overload returns the first call that overloads a destination while it warms up after an outage.
func (c *Checker) overload(destination api.DestinationID, o outage) (Violation, bool) {
	settings := c.Requirements.Settings
	var calls []*Call // while it warms up
	for _, call := range c.calls {
		if call.Destination == destination && call.At >= o.until && call.At <= o.until+settings.SlowStartDuration {
			calls = append(calls, call)
		}
	}
	for i, call := range calls {
		from := max(o.until, call.At-settings.OverloadDuration)
		first := slices.IndexFunc(calls, func(c *Call) bool { return c.At >= from })
		limit := settings.OverloadFactor * o.capacity(settings, from, from+settings.OverloadDuration)
		if n := float64(i - first + 1); n > math.Ceil(limit) {
			return call.violation(SlowStart, call.IDs[0],
				fmt.Sprintf("%.0f calls, of %.1f that it can take, %.3f s after its recovery", n, limit,
					(call.At-o.until).Seconds())), true
		}
	}
	return Violation{}, false
}

// capacity returns how many calls a destination that warms up can take between two times: the integral of its rate,
// which rises linearly.
func (o outage) capacity(settings api.Settings, from, to api.Micros) float64 {
	const steps, minDuration = 64, 1e-6
	sum, step := 0.0, (to-from).Seconds()/steps
	duration := max(settings.SlowStartDuration.Seconds(), minDuration)
	for i := range steps {
		warm := ((from - o.until).Seconds() + (float64(i)+0.5)*step) / duration
		sum += step * o.rate * (settings.SlowStartCapacity + (1-settings.SlowStartCapacity)*min(1, warm))
	}
	return sum
}
