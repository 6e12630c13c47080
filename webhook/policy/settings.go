package policy

import (
	"cmp"
	"slices"

	"rowanlink/webhook/api"
)

// Defaults where the settings have no usable value.
const (
	defaultSlowStartCapacity = 0.1
	defaultOverloadFactor    = 1
)

// UpdateSettings takes settings at the start and while the policy runs; missing values are replaced by safe defaults.
// Webhooks accepted before keep their terms, learned state is kept, and webhooks beyond a lower limit drain.
func (p *Policy) UpdateSettings(settings api.Settings) {
	p.now = p.host.Now()
	settings = withDefaults(settings)
	p.rescaleRates(float64(p.settings.Dispatchers) / float64(settings.Dispatchers))
	p.settings = settings
	p.grandfathered = p.unanswered
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

// rescaleRates follows a changed number of dispatchers: listed rates are shared evenly among all.
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
		if i == len(p.kinds)-1 { // the last one serves unknown kinds
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
