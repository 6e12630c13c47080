package policy

import "rowanlink/webhook/api"

// ExportState tells what is known of a destination that must hold for whoever calls it next; false: nothing is,
// or its endpoints are separate routes, which are known here by numbers that mean nothing elsewhere.
func (c *Policy) ExportState(id api.DestinationID) (api.DestinationState, bool) {
	d := c.destinations[id]
	if d == nil || d.sharedRoute == nil || d.kind.SeparateRoutes {
		return api.DestinationState{}, false
	}
	r := d.sharedRoute
	return api.DestinationState{Destination: id, ObservedAt: c.host.Now(), Window: r.window, WaitUntil: r.retryAfterUntil,
		Unhealthy: r.unhealthy, NextCanaryAt: r.nextCanaryAt, SlowStartSince: r.slowStartSince, MeanLatency: r.meanLatency, FailureRate: r.failureRate,
		TimeoutRate: r.timeoutRate}, true
}

// ImportState takes it over from another dispatcher; times are of this one's clock. What is known here is kept
// where it is the more careful.
func (c *Policy) ImportState(l api.DestinationState) {
	c.now = c.host.Now()
	d := c.ensureRoute(c.destination(l.Destination))
	r := d.sharedRoute
	if r.retryAfterUntil = max(r.retryAfterUntil, l.WaitUntil); l.Unhealthy && !r.unhealthy {
		r.unhealthy, r.nextCanaryAt = true, max(r.nextCanaryAt, l.NextCanaryAt)
	}
	if r.slowStartSince = max(r.slowStartSince, l.SlowStartSince); r.meanLatency == 0 {
		r.window, r.meanLatency, r.failureRate, r.timeoutRate = max(l.Window, 1), l.MeanLatency, l.FailureRate, l.TimeoutRate
	}
}
