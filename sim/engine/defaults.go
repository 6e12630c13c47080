package engine

// ApplyDefaults fills in the values that a scenario leaves out. Durations are microseconds.
func (s *Scenario) ApplyDefaults() {
	setDefault(&s.Seed, 1)
	s.Dispatchers.applyDefaults()
	s.Clients.applyDefaults()
	s.Network.applyDefaults()
	s.Thresholds.applyDefaults()
	setDefault(&s.Destinations.Active, s.Destinations.Count)
	if s.Ownership.LeaseTTL > 0 {
		setDefault(&s.Ownership.RangesPerMember, 8)
		setDefault(&s.Ownership.HopFactor, 1)
	}
	for i := range s.EventTypes {
		s.EventTypes[i].applyDefaults()
	}
	for i := range s.DestinationKinds {
		s.DestinationKinds[i].applyDefaults()
	}
	for i := range s.Faults {
		s.Faults[i].applyDefaults()
	}
}

func (d *Dispatchers) applyDefaults() {
	setDefault(&d.MaxAttempts, 6)
	setDefault(&d.MinIterationInterval, 5000)
	setDefault(&d.ConnectTimeout, 1_000_000)
	setDefault(&d.IdleTimeout, 6_000_000)
	d.RateError = asRange(d.RateError, 1)
	d.EndpointUpdateDelay = asRange(d.EndpointUpdateDelay, 500_000)
}

func (c *Clients) applyDefaults() {
	setDefault(&c.Shape, shapeSteady)
	setDefault(&c.Period, 20_000_000)
	setDefault(&c.BurstSize, 5)
	setDefault(&c.BurstDuration, 200_000)
	setDefault(&c.FailureDetectionDelay, 1_000_000)
	c.ResubmitDelay = asRange(c.ResubmitDelay, 500_000)
}

func (n *Network) applyDefaults() {
	setDefault(&n.SameZoneDelay, 1000)
	setDefault(&n.CrossZoneDelay, n.SameZoneDelay)
	if len(n.Zones) == 0 {
		n.Zones = []string{"here"}
	}
}

func (t *Thresholds) applyDefaults() {
	setDefault(&t.SlowStartCapacity, 0.2)
	setDefault(&t.SlowStartDuration, 10_000_000)
	setDefault(&t.OverloadFactor, 2)
	setDefault(&t.OverloadDuration, 2_000_000)
	setDefault(&t.DrainGrace, 400_000)
	setDefault(&t.OrderingGap, 1_000_000)
}

func (e *EventType) applyDefaults() {
	setDefault(&e.Share, 1)
	setDefault(&e.Value, 1)
	setDefault(&e.Semantics, semanticsIdempotent)
	if e.Semantics == semanticsDeduplicated {
		setDefault(&e.DedupWindow, e.TTL)
	}
}

func (k *DestinationKind) applyDefaults() {
	setDefault(&k.Share, 1)
	setDefault(&k.Limit, limitNone)
	setDefault(&k.LimitWindow, 1_000_000)
	setDefault(&k.Headroom, 1.5)
	setDefault(&k.MinRate, 2)
	setDefault(&k.SpareCapacity, 1.3)
	setDefault(&k.QueueTime, 500_000)
	setDefault(&k.BatchSize, 1)
	k.Endpoints = asRange(k.Endpoints, 1)
	k.RetryAfter = asRange(k.RetryAfter, 1_000_000)
}

func (f *Fault) applyDefaults() {
	if f.Kind == FaultReplace || f.Kind == FaultRestart {
		setDefault(&f.DrainTime, 3_000_000)
	}
	if f.Kind == FaultReplace {
		setDefault(&f.Address, addressNew)
	}
}

// setDefault sets a value that is zero.
func setDefault[T comparable](value *T, to T) {
	var zero T
	if *value == zero {
		*value = to
	}
}

// asRange makes a range of two bounds from one value, or from none and the default.
func asRange[T any](bounds []T, otherwise T) []T {
	switch len(bounds) {
	case 0:
		return []T{otherwise, otherwise}
	case 1:
		return []T{bounds[0], bounds[0]}
	}
	return bounds
}
