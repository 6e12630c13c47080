package engine

import "rowanlink/webhook/api"

// overQuotaValue is what a webhook beyond its tenant's rate is worth, relative to one within it.
const overQuotaValue = 0.1

var semanticsByName = map[string]api.Semantics{
	semanticsIdempotent:   api.Idempotent,
	semanticsDeduplicated: api.Deduplicated,
	semanticsAtMostOnce:   api.AtMostOnce,
}

// DispatcherSettings returns the settings with which the policy of dispatcher number i starts.
func (s *Scenario) DispatcherSettings(i int, seed uint64) api.Settings {
	d, t := &s.Dispatchers, &s.Thresholds
	settings := api.Settings{
		Seed:              seed,
		Dispatchers:       d.Count,
		Zone:              api.ZoneID(i % len(s.Network.Zones)),
		OverQuotaValue:    overQuotaValue,
		MaxInFlight:       d.MaxConcurrentCalls,
		BufferSize:        d.BufferSize,
		MaxAttempts:       d.MaxAttempts,
		CanCancel:         d.CanCancel,
		MaxRetryAfter:     d.MaxRetryAfter.micros(),
		RatesListed:       d.RatesListed,
		ConnectTimeout:    d.ConnectTimeout.micros(),
		MinTurnInterval:   d.MinIterationInterval.micros(),
		OrderingGap:       t.OrderingGap.micros(),
		SlowStartCapacity: t.SlowStartCapacity,
		SlowStartDuration: t.SlowStartDuration.micros(),
		OverloadFactor:    t.OverloadFactor,
		OverloadDuration:  t.OverloadDuration.micros(),
	}
	for _, e := range s.EventTypes {
		settings.EventTypes = append(settings.EventTypes, api.EventType{
			LatencyTarget: e.LatencyTarget.micros(),
			TTL:           e.TTL.micros(),
			Value:         e.Value,
			LateValue:     e.LateValue,
			Semantics:     semanticsByName[e.Semantics],
			DedupWindow:   e.DedupWindow.micros(),
			DedupByZone:   e.DedupByZone,
			Ordered:       e.Ordered,
		})
	}
	for _, k := range s.DestinationKinds {
		kind := api.DestinationKind{BatchSize: k.BatchSize, SeparateRoutes: k.SeparateRoutes}
		settings.DestinationKinds = append(settings.DestinationKinds, kind)
		settings.ConnectionLimitsReported = settings.ConnectionLimitsReported || k.ReportsConnectionLimit
	}
	for _, tenant := range s.Tenants {
		settings.TenantRates = append(settings.TenantRates, tenant.Rate)
	}
	return settings
}
