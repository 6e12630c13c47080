package engine

import "rowanlink/webhook/api"

// Complete fills in what was left out.
func (s *Scenario) Complete() {
	d, c, n, r := &s.Dispatchers, &s.Clients, &s.Net, &s.Rules
	or(&s.Seed, 1)
	or(&d.Attempts, 6)
	or(&d.Tick, 5000)
	or(&d.ConnectTimeout, 1_000_000)
	or(&d.IdleLimit, 6_000_000)
	or(&c.Curve, "steady")
	or(&c.Period, 20_000_000)
	or(&c.Clump, 5)
	or(&c.Within, 200_000)
	or(&c.Notice, 1_000_000)
	or(&n.Same, 1000)
	or(&n.Cross, n.Same)
	or(&r.StartCapacity, 0.2)
	or(&r.WarmAfter, 10_000_000)
	or(&r.FallMultiple, 2)
	or(&r.TipAfter, 2_000_000)
	or(&r.DrainGrace, 400_000)
	or(&r.TurnGap, 1_000_000)
	d.RateError, d.ListDelay = span(d.RateError, 1), span(d.ListDelay, 500_000)
	c.Again = span(c.Again, 500_000)
	if len(n.Zones) == 0 {
		n.Zones = []string{"here"}
	}
	if s.Destinations.Busy == 0 {
		s.Destinations.Busy = s.Destinations.Count
	}
	if s.Homes.Term > 0 {
		or(&s.Homes.Ranges, 8)
		or(&s.Homes.Hop, 1)
	}
	for i := range s.Events {
		e := &s.Events[i]
		or(&e.Share, 1)
		or(&e.Value, 1)
		or(&e.Repeat, "idempotent")
		if e.Repeat == "tokened" {
			or(&e.Window, e.TTL)
		}
	}
	for i := range s.Kinds {
		k := &s.Kinds[i]
		or(&k.Share, 1)
		or(&k.Limit, "none")
		or(&k.Window, 1_000_000)
		or(&k.Headroom, 1.5)
		or(&k.Least, 2)
		or(&k.Spare, 1.3)
		or(&k.Queue, 500_000)
		or(&k.Batch, 1)
		k.Endpoints, k.Wait = span(k.Endpoints, 1), span(k.Wait, 1_000_000)
	}
	for i := range s.Troubles {
		t := &s.Troubles[i]
		if t.Kind == "replace" || t.Kind == "restart" {
			or(&t.Drain, 3_000_000)
		}
		if t.Kind == "replace" {
			or(&t.Address, "new")
		}
	}
}

func or[T comparable](v *T, otherwise T) {
	var zero T
	if *v == zero {
		*v = otherwise
	}
}

// span makes a range of one value or none a range of two.
func span[T any](of []T, otherwise T) []T {
	switch len(of) {
	case 0:
		return []T{otherwise, otherwise}
	case 1:
		return []T{of[0], of[0]}
	}
	return of
}

// Facts is what dispatcher number i is told at its start.
func (s *Scenario) Facts(i int, seed uint64) api.Settings {
	d, r := &s.Dispatchers, &s.Rules
	f := api.Settings{Seed: seed, Dispatchers: d.Count, Zone: api.ZoneID(i % len(s.Net.Zones)), OverQuotaValue: 0.1,
		MaxInFlight: d.Slots, BufferSize: d.Buffer, MaxAttempts: d.Attempts, CanCancel: d.Cancel, MaxRetryAfter: d.MaxAdvice.us(),
		RatesListed: d.RatesStated, ConnectTimeout: d.ConnectTimeout.us(), MinTurnInterval: d.Tick.us(),
		OrderingGap: r.TurnGap.us(), SlowStartCapacity: r.StartCapacity, SlowStartDuration: r.WarmAfter.us(),
		OverloadFactor: r.FallMultiple, OverloadDuration: r.TipAfter.us()}
	for _, e := range s.Events {
		repeat := map[string]api.Semantics{"idempotent": api.Idempotent, "tokened": api.Deduplicated,
			"at-most-once": api.AtMostOnce}[e.Repeat]
		f.EventTypes = append(
			f.EventTypes,
			api.EventType{LatencyTarget: e.Target.us(), TTL: e.TTL.us(), Value: e.Value,
				LateValue: e.LateValue, Semantics: repeat, DedupWindow: e.Window.us(), DedupByZone: e.ByZone,
				Ordered: e.Ordered},
		)
	}
	for _, k := range s.Kinds {
		f.DestinationKinds = append(f.DestinationKinds, api.DestinationKind{BatchSize: k.Batch, SeparateRoutes: k.Apart})
		f.ConnectionLimitsReported = f.ConnectionLimitsReported || k.PlacesTold
	}
	for _, t := range s.Tenants {
		f.TenantRates = append(f.TenantRates, t.Allowed)
	}
	return f
}
