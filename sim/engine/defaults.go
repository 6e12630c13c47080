package engine

import "rowanlink/webhook/api"

// ApplyDefaults fills in what was left out.
func (s *Scenario) ApplyDefaults() {
	d, c, n, r := &s.Dispatchers, &s.Clients, &s.Network, &s.Thresholds
	setDefault(&s.Seed, 1)
	setDefault(&d.MaxAttempts, 6)
	setDefault(&d.MinIterationInterval, 5000)
	setDefault(&d.ConnectTimeout, 1_000_000)
	setDefault(&d.IdleTimeout, 6_000_000)
	setDefault(&c.Shape, "steady")
	setDefault(&c.Period, 20_000_000)
	setDefault(&c.BurstSize, 5)
	setDefault(&c.BurstDuration, 200_000)
	setDefault(&c.FailureDetectionDelay, 1_000_000)
	setDefault(&n.SameZoneDelay, 1000)
	setDefault(&n.CrossZoneDelay, n.SameZoneDelay)
	setDefault(&r.SlowStartCapacity, 0.2)
	setDefault(&r.SlowStartDuration, 10_000_000)
	setDefault(&r.OverloadFactor, 2)
	setDefault(&r.OverloadDuration, 2_000_000)
	setDefault(&r.DrainGrace, 400_000)
	setDefault(&r.OrderingGap, 1_000_000)
	d.RateError, d.EndpointUpdateDelay = asRange(d.RateError, 1), asRange(d.EndpointUpdateDelay, 500_000)
	c.ResubmitDelay = asRange(c.ResubmitDelay, 500_000)
	if len(n.Zones) == 0 {
		n.Zones = []string{"here"}
	}
	if s.Destinations.Active == 0 {
		s.Destinations.Active = s.Destinations.Count
	}
	if s.Ownership.LeaseTTL > 0 {
		setDefault(&s.Ownership.RangesPerMember, 8)
		setDefault(&s.Ownership.HopFactor, 1)
	}
	for i := range s.EventTypes {
		e := &s.EventTypes[i]
		setDefault(&e.Share, 1)
		setDefault(&e.Value, 1)
		setDefault(&e.Semantics, "idempotent")
		if e.Semantics == "tokened" {
			setDefault(&e.DedupWindow, e.TTL)
		}
	}
	for i := range s.DestinationKinds {
		k := &s.DestinationKinds[i]
		setDefault(&k.Share, 1)
		setDefault(&k.Limit, "none")
		setDefault(&k.LimitWindow, 1_000_000)
		setDefault(&k.Headroom, 1.5)
		setDefault(&k.MinRate, 2)
		setDefault(&k.SpareCapacity, 1.3)
		setDefault(&k.QueueTime, 500_000)
		setDefault(&k.BatchSize, 1)
		k.Endpoints, k.RetryAfter = asRange(k.Endpoints, 1), asRange(k.RetryAfter, 1_000_000)
	}
	for i := range s.Faults {
		t := &s.Faults[i]
		if t.Kind == "replace" || t.Kind == "restart" {
			setDefault(&t.DrainTime, 3_000_000)
		}
		if t.Kind == "replace" {
			setDefault(&t.Address, "new")
		}
	}
}

func setDefault[T comparable](v *T, otherwise T) {
	var zero T
	if *v == zero {
		*v = otherwise
	}
}

// asRange makes a range of one value or none a range of two.
func asRange[T any](of []T, otherwise T) []T {
	switch len(of) {
	case 0:
		return []T{otherwise, otherwise}
	case 1:
		return []T{of[0], of[0]}
	}
	return of
}

// DispatcherSettings is what dispatcher number i is told at its start.
func (s *Scenario) DispatcherSettings(i int, seed uint64) api.Settings {
	d, r := &s.Dispatchers, &s.Thresholds
	f := api.Settings{Seed: seed, Dispatchers: d.Count, Zone: api.ZoneID(i % len(s.Network.Zones)), OverQuotaValue: 0.1,
		MaxInFlight: d.MaxConcurrentCalls, BufferSize: d.BufferSize, MaxAttempts: d.MaxAttempts, CanCancel: d.CanCancel, MaxRetryAfter: d.MaxRetryAfter.micros(),
		RatesListed: d.RatesListed, ConnectTimeout: d.ConnectTimeout.micros(), MinTurnInterval: d.MinIterationInterval.micros(),
		OrderingGap: r.OrderingGap.micros(), SlowStartCapacity: r.SlowStartCapacity, SlowStartDuration: r.SlowStartDuration.micros(),
		OverloadFactor: r.OverloadFactor, OverloadDuration: r.OverloadDuration.micros()}
	for _, e := range s.EventTypes {
		repeat := map[string]api.Semantics{"idempotent": api.Idempotent, "tokened": api.Deduplicated,
			"at-most-once": api.AtMostOnce}[e.Semantics]
		f.EventTypes = append(
			f.EventTypes,
			api.EventType{LatencyTarget: e.LatencyTarget.micros(), TTL: e.TTL.micros(), Value: e.Value,
				LateValue: e.LateValue, Semantics: repeat, DedupWindow: e.DedupWindow.micros(), DedupByZone: e.DedupByZone,
				Ordered: e.Ordered},
		)
	}
	for _, k := range s.DestinationKinds {
		f.DestinationKinds = append(f.DestinationKinds, api.DestinationKind{BatchSize: k.BatchSize, SeparateRoutes: k.SeparateRoutes})
		f.ConnectionLimitsReported = f.ConnectionLimitsReported || k.ReportsConnectionLimit
	}
	for _, t := range s.Tenants {
		f.TenantRates = append(f.TenantRates, t.Rate)
	}
	return f
}
