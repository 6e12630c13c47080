package policy

import "rowanlink/webhook/api"

// ExportState tells what is known of a destination that must hold for whoever calls it next; false: nothing is,
// or its endpoints are separate routes, which are known here by numbers that mean nothing elsewhere.
func (c *Control) ExportState(id api.DestinationID) (api.DestinationState, bool) {
	d := c.dests[id]
	if d == nil || d.shared == nil || d.kind.SeparateRoutes {
		return api.DestinationState{}, false
	}
	r := d.shared
	return api.DestinationState{Destination: id, ObservedAt: c.host.Now(), Window: r.window, WaitUntil: r.waitUntil,
		Unhealthy: r.sick, NextCanaryAt: r.tryAt, SlowStartSince: r.coldSince, MeanLatency: r.mean, FailureRate: r.failing,
		TimeoutRate: r.lost}, true
}

// ImportState takes it over from another dispatcher; times are of this one's clock. What is known here is kept
// where it is the more careful.
func (c *Control) ImportState(l api.DestinationState) {
	c.now = c.host.Now()
	d := c.awake(c.destination(l.Destination))
	r := d.shared
	if r.waitUntil = max(r.waitUntil, l.WaitUntil); l.Unhealthy && !r.sick {
		r.sick, r.tryAt = true, max(r.tryAt, l.NextCanaryAt)
	}
	if r.coldSince = max(r.coldSince, l.SlowStartSince); r.mean == 0 {
		r.window, r.mean, r.failing, r.lost = max(l.Window, 1), l.MeanLatency, l.FailureRate, l.TimeoutRate
	}
}
