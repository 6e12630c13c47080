package policy

import (
	"cmp"
	"slices"

	"rowanlink/webhook/api"
)

// Defaults for settings that are missing or not positive.
const (
	defaultSlowStartCapacity = 0.1
	defaultOverloadFactor    = 1
)

// UpdateSettings applies settings, at the start and while the policy runs; missing values are replaced by safe
// defaults. Webhooks accepted before keep the settings of their event type, learned state is kept, and webhooks beyond
// a lowered limit aren't dropped.
func (p *Policy) UpdateSettings(settings api.Settings) {
	p.now = p.host.Now()
	settings = withDefaults(settings)
	p.rescaleRates(float64(p.settings.Dispatchers) / float64(settings.Dispatchers))
	p.settings = settings
	p.exemptFromShedding = p.unanswered
	p.updateEventTypes()
	p.updateKinds()
	p.updateQuotas()
}

func withDefaults(s api.Settings) api.Settings {
	s.Dispatchers = max(s.Dispatchers, 1)
	s.MaxInFlight = max(s.MaxInFlight, 1)
	s.BufferSize = max(s.BufferSize, 1)
	s.MaxAttempts = max(s.MaxAttempts, 1)
	s.MinTurnInterval = max(s.MinTurnInterval, 1)
	s.SlowStartDuration = max(s.SlowStartDuration, api.Second)
	s.OverloadDuration = max(s.OverloadDuration, api.Second)
	if s.SlowStartCapacity <= 0 || s.OverloadFactor <= 0 {
		s.SlowStartCapacity = defaultSlowStartCapacity
		s.OverloadFactor = defaultOverloadFactor
	}
	return s
}

// rescaleRates multiplies the rates of all routes and destinations by factor when the number of dispatchers changes:
// each dispatcher has an equal share of a destination's rate.
func (p *Policy) rescaleRates(factor float64) {
	routes := map[*route]bool{}
	for _, e := range p.endpoints {
		routes[cmp.Or(e.route, &route{})] = true
	}
	for r := range routes {
		r.listedRate *= factor
		r.rate *= factor
	}
	for _, d := range p.destinationList {
		d.listedRate *= factor
	}
}

func (p *Policy) updateEventTypes() {
	unknown := api.EventType{
		TTL:           p.settings.SlowStartDuration,
		LatencyTarget: p.settings.OverloadDuration,
		Semantics:     api.AtMostOnce,
	}
	p.eventTypes = nil
	for _, t := range append(slices.Clone(p.settings.EventTypes), unknown) {
		limit := t.TTL
		if t.Semantics == api.Deduplicated {
			limit = min(limit, t.DedupWindow)
		}
		p.eventTypes = append(p.eventTypes, eventTypePolicy{
			EventType:  t,
			maxBackoff: maxBackoffShare * limit.Seconds(),
			maxTimeout: max(api.Micros(attemptTimeoutShare*float64(limit)), 1),
		})
	}
}

func (p *Policy) updateKinds() {
	for i, k := range p.settings.DestinationKinds {
		if i == len(p.kinds)-1 { // the last kind serves unknown kinds
			p.kinds = slices.Insert(p.kinds, i, &destinationKind{})
		}
		p.kinds[i].DestinationKind = k
	}
	for _, k := range p.kinds {
		k.BatchSize = max(k.BatchSize, 1)
		k.fallbackRate = cmp.Or(k.fallbackRate, 1/p.eventTypes[0].LatencyTarget.Seconds())
	}
}

func (p *Policy) updateQuotas() {
	p.quotas = nil
	for _, total := range p.settings.TenantRates {
		rate := total / float64(p.settings.Dispatchers)
		p.quotas = append(p.quotas, tenantQuota{rate: rate, tokens: rate * quotaBurstSeconds, updatedAt: p.now})
	}
}
