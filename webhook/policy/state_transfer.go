package policy

import "rowanlink/webhook/api"

// ExportState returns the learned state that the next dispatcher to call the destination needs. It returns false if
// there is none, or if the destination's endpoints have separate routes, whose identifiers mean nothing to another
// dispatcher.
func (p *Policy) ExportState(id api.DestinationID) (api.DestinationState, bool) {
	d := p.destinations[id]
	if d == nil || d.sharedRoute == nil || d.kind.SeparateRoutes {
		return api.DestinationState{}, false
	}
	r := d.sharedRoute
	return api.DestinationState{
		Destination:    id,
		ObservedAt:     p.host.Now(),
		Window:         r.window,
		WaitUntil:      r.retryAfterUntil,
		Unhealthy:      r.unhealthy,
		NextCanaryAt:   r.nextCanaryAt,
		SlowStartSince: r.slowStartSince,
		MeanLatency:    r.meanLatency,
		FailureRate:    r.failureRate,
		TimeoutRate:    r.timeoutRate,
	}, true
}

// ImportState merges the state that another dispatcher has learned into this dispatcher's. Of delays and health the
// more cautious value is kept; the window and the averages are taken over if this dispatcher has measured no latency.
func (p *Policy) ImportState(state api.DestinationState) {
	p.now = p.host.Now()
	r := p.ensureRoute(p.ensureDestination(state.Destination)).sharedRoute
	r.retryAfterUntil = max(r.retryAfterUntil, state.WaitUntil)
	if state.Unhealthy && !r.unhealthy {
		r.unhealthy = true
		r.nextCanaryAt = max(r.nextCanaryAt, state.NextCanaryAt)
	}
	r.slowStartSince = max(r.slowStartSince, state.SlowStartSince)
	if r.meanLatency == 0 {
		r.window = max(state.Window, 1)
		r.meanLatency = state.MeanLatency
		r.failureRate = state.FailureRate
		r.timeoutRate = state.TimeoutRate
	}
}
