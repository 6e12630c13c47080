package engine

import "rowanlink/webhook/api"

// The units of the default durations.
const (
	millisecond = Duration(api.Second / 1000)
	second      = Duration(api.Second)
)

// ApplyDefaults fills in the values that a scenario leaves out.
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
	setDefault(&d.MinIterationInterval, 5*millisecond)
	setDefault(&d.ConnectTimeout, second)
	setDefault(&d.IdleTimeout, 6*second)
	d.RateError = asRange(d.RateError, 1)
	d.EndpointUpdateDelay = asRange(d.EndpointUpdateDelay, second/2)
}

func (c *Clients) applyDefaults() {
	setDefault(&c.Shape, shapeSteady)
	setDefault(&c.Period, 20*second)
	setDefault(&c.BurstSize, 5)
	setDefault(&c.BurstDuration, 200*millisecond)
	setDefault(&c.FailureDetectionDelay, second)
	c.ResubmitDelay = asRange(c.ResubmitDelay, second/2)
}

func (n *Network) applyDefaults() {
	setDefault(&n.SameZoneDelay, millisecond)
	setDefault(&n.CrossZoneDelay, n.SameZoneDelay)
	if len(n.Zones) == 0 {
		n.Zones = []string{"here"}
	}
}

func (t *Thresholds) applyDefaults() {
	setDefault(&t.SlowStartCapacity, 0.2)
	setDefault(&t.SlowStartDuration, 10*second)
	setDefault(&t.OverloadFactor, 2)
	setDefault(&t.OverloadDuration, 2*second)
	setDefault(&t.DrainGrace, 400*millisecond)
	setDefault(&t.OrderingGap, second)
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
	setDefault(&k.LimitWindow, second)
	setDefault(&k.Headroom, 1.5)
	setDefault(&k.MinRate, 2)
	setDefault(&k.SpareCapacity, 1.3)
	setDefault(&k.QueueTime, second/2)
	setDefault(&k.BatchSize, 1)
	k.Endpoints = asRange(k.Endpoints, 1)
	k.RetryAfter = asRange(k.RetryAfter, second)
}

func (f *Fault) applyDefaults() {
	if f.Kind == FaultReplace || f.Kind == FaultRestart {
		setDefault(&f.DrainTime, 3*second)
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
