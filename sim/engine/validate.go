package engine

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// InvalidValue is an error about one value of a scenario. Key is its path in the file, such as kind.1.batch.
type InvalidValue struct{ Key, Text string }

// Error returns the key and the text.
func (v InvalidValue) Error() string { return v.Key + ": " + v.Text }

// The limits of what a scenario may ask for.
const (
	maxDispatchers  = 5000
	maxAttempts     = 1000
	maxRate         = 1e6 // webhooks per second
	maxDestinations = 1 << 20
	maxRanges       = 1000
	maxHopFactor    = 1000
	maxEventTypes   = 254
	maxEndpoints    = 64
)

// validator collects invalid values.
type validator struct{ errs []error }

// require adds an error for the key unless the condition holds.
func (v *validator) require(condition bool, key, text string, args ...any) {
	if !condition {
		v.errs = append(v.errs, InvalidValue{key, fmt.Sprintf(text, args...)})
	}
}

// Validate checks a scenario on which ApplyDefaults was called. The error joins an InvalidValue for each value that is
// wrong.
func (s *Scenario) Validate() error {
	v := &validator{}
	v.require(s.Duration > 0, "length", "must be over 0")
	s.validateDispatchers(v)
	s.validateClients(v)
	s.validateDestinations(v)
	s.validateOwnership(v)
	s.validateEventTypes(v)
	for i := range s.Tenants {
		t := &s.Tenants[i]
		key := fmt.Sprintf("tenant.%d.share", i)
		v.require(t.Share >= 0 && t.Rate >= 0, key, "share and allowed must not be negative")
	}
	v.require(len(s.DestinationKinds) > 0, "kind", "there must be one at the least")
	for i := range s.DestinationKinds {
		s.DestinationKinds[i].validate(v, fmt.Sprintf("kind.%d.", i))
	}
	for i := range s.Faults {
		s.validateFault(v, &s.Faults[i], fmt.Sprintf("trouble.%d.", i))
	}
	return errors.Join(v.errs...)
}

func (s *Scenario) validateDispatchers(v *validator) {
	d := &s.Dispatchers
	v.require(d.Count >= 1 && d.Count <= maxDispatchers, "dispatchers.count", "%d is not from 1 to %d", d.Count,
		maxDispatchers)
	v.require(d.MaxConcurrentCalls >= 1, "dispatchers.slots", "must be 1 or more")
	v.require(d.BufferSize >= 1, "dispatchers.buffer", "must be 1 or more")
	v.require(d.MaxAttempts >= 1 && d.MaxAttempts <= maxAttempts, "dispatchers.attempts", "must be from 1 to %d",
		maxAttempts)
	v.require(d.LoadSkew >= 0 && d.LoadSkew < 1, "dispatchers.front_skew", "must be from 0 to under 1")
	validateRange(v, "dispatchers.rate_error", d.RateError)
	v.require(d.RateError[0] > 0, "dispatchers.rate_error", "must be over 0")
	validateRange(v, "dispatchers.list_delay", d.EndpointUpdateDelay)
}

func (s *Scenario) validateClients(v *validator) {
	c := &s.Clients
	v.require(c.Rate > 0 && c.Rate <= maxRate, "clients.rate", "must be over 0 and at most 1e6 webhooks a second")
	v.require(isOneOf(c.Shape, shapeSteady, shapeWave, shapeRamp, shapeBursty), "clients.curve",
		"%q is none of steady, wave, ramp, bursty", c.Shape)
	v.require(c.Amplitude >= 0 && c.Amplitude < 1, "clients.swing", "must be from 0 to under 1")
	v.require(c.DestinationSkew >= 0 && c.DestinationSkew <= 5, "clients.skew", "must be from 0 to 5")
	v.require(isShare(c.BurstShare), "clients.clumps", "must be a share from 0 to 1")
	v.require(c.BurstSize >= 1, "clients.clump", "must be 1 or more")
	v.require(c.MaxResubmissions >= 0, "clients.retries", "must not be negative")
	v.require(isShare(c.HonorRetryAfter), "clients.heed", "must be a share from 0 to 1")
	validateRange(v, "clients.again", c.ResubmitDelay)
}

func (s *Scenario) validateDestinations(v *validator) {
	d := &s.Destinations
	v.require(d.Count >= 1 && d.Count <= maxDestinations, "destinations.count", "%d is not from 1 to %d", d.Count,
		maxDestinations)
	v.require(d.Active >= 1 && d.Active <= d.Count, "destinations.busy", "must be from 1 to destinations.count")
	v.require(isShare(s.Network.Jitter), "net.jitter", "must be a share from 0 to 1")
	t := &s.Thresholds
	v.require(t.SlowStartCapacity > 0 && t.SlowStartCapacity <= 1, "rules.start_capacity",
		"must be over 0 and at most 1")
	v.require(t.OverloadFactor > 0, "rules.fall_multiple", "must be over 0")
}

func (s *Scenario) validateOwnership(v *validator) {
	o := &s.Ownership
	v.require(o.LeaseTTL > 0 || *o == Ownership{}, "homes.term", "must be over 0 where there are homes")
	for i := range s.EventTypes { // the model has no handoff of ordering keys, so no dispatcher would keep the order
		key := fmt.Sprintf("event.%d.ordered", i)
		v.require(o.LeaseTTL == 0 || !s.EventTypes[i].Ordered, key, "not with homes: left out there")
	}
	v.require(o.RangesPerMember >= 0 && o.RangesPerMember <= maxRanges, "homes.ranges", "%d is not from 1 to %d",
		o.RangesPerMember, maxRanges)
	v.require(o.HopFactor >= 0 && o.HopFactor <= maxHopFactor, "homes.hop",
		"must be from 0 to %d ways to an endpoint", maxHopFactor)
	v.require(o.LossRate >= 0 && o.LossRate < 1, "homes.lost", "must be a share from 0 to under 1")
	v.require(o.ClockDrift >= 0 && o.ClockDrift < 1, "homes.apart", "must be a share from 0 to under 1")
}

func (s *Scenario) validateEventTypes(v *validator) {
	v.require(len(s.EventTypes) > 0 && len(s.EventTypes) <= maxEventTypes, "event", "there must be from 1 to %d",
		maxEventTypes)
	for i := range s.EventTypes {
		e := &s.EventTypes[i]
		prefix := fmt.Sprintf("event.%d.", i)
		v.require(e.Share >= 0, prefix+"share", "must not be negative")
		v.require(e.TTL > 0 && e.LatencyTarget > 0 && e.LatencyTarget <= e.TTL, prefix+"target",
			"target and ttl must be over 0, target the less")
		v.require(isShare(e.LateValue), prefix+"late_value", "must be a share from 0 to 1")
		v.require(isOneOf(e.Semantics, semanticsIdempotent, semanticsDeduplicated, semanticsAtMostOnce),
			prefix+"repeat", "%q is none of idempotent, tokened, at-most-once", e.Semantics)
		v.require(!e.Ordered || e.OrderingKeys > 0, prefix+"keys", "an ordered event type needs 1 or more")
	}
}

func (k *DestinationKind) validate(v *validator, prefix string) {
	v.require(k.Share >= 0, prefix+"share", "must not be negative")
	validateRange(v, prefix+"endpoints", k.Endpoints)
	v.require(k.Endpoints[0] >= 1 && k.Endpoints[len(k.Endpoints)-1] <= maxEndpoints, prefix+"endpoints",
		"must be from 1 to %d", maxEndpoints)
	v.require(k.ServiceTime > 0, prefix+"answer", "must be over 0")
	v.require(k.ServiceTimeCV >= 0 && k.ServiceTimeCV <= 10, prefix+"spread", "must be from 0 to 10")
	v.require(isOneOf(k.Limit, limitRate, limitWindow, limitNone), prefix+"limit",
		"%q is none of rate, window, none", k.Limit)
	v.require(k.Headroom > 0, prefix+"headroom", "must be over 0")
	v.require(k.MinRate > 0, prefix+"least", "must be over 0")
	v.require(k.SpareCapacity >= 1, prefix+"spare", "must be 1 or more")
	v.require(isShare(k.RetryAfterShare), prefix+"tells_wait", "must be a share from 0 to 1")
	validateRange(v, prefix+"wait", k.RetryAfter)
	v.require(k.BatchSize >= 1, prefix+"batch", "must be 1 or more")
	v.require(k.BatchItemCost >= 0, prefix+"item_cost", "must not be negative")
	v.require(k.MaxConnections >= 0, prefix+"places", "must not be negative")
}

func (s *Scenario) validateFault(v *validator, f *Fault, prefix string) {
	needs, known := faultNeeds[f.Kind]
	v.require(known, prefix+"kind", "%q is no kind of trouble", f.Kind)
	if !known {
		return
	}
	v.require(f.At <= s.Duration, prefix+"at", "begins after the scenario's length")
	v.require(!needs.Endpoints || f.selectsEndpoints(), prefix+"kind",
		"%s strikes nobody: give destinations, busiest, share, zone or of_kind", f.Kind)
	v.require(!needs.Dispatchers || len(f.Dispatchers) > 0, prefix+"kind", "%s strikes nobody: give dispatchers",
		f.Kind)
	v.require(!needs.Magnitude || f.Magnitude > 0, prefix+"size", "%s needs a size over 0", f.Kind)
	v.require(!needs.Share || f.Magnitude <= 1, prefix+"size", "must be a share of at most 1")
	v.require(!f.DuringIteration || f.Kind == FaultKill, prefix+"in_turn",
		"goes with kill only: who restarts by plan takes nothing on")
	v.require(f.Kind != FaultFlap || f.Period > 0, prefix+"every", "flap needs a time over 0")
	v.require(f.Kind != FaultReplace || isOneOf(f.Address, addressNew, addressSame), prefix+"address",
		"%q is neither new nor same", f.Address)
	s.validateFaultTargets(v, f, prefix)
}

func (f *Fault) selectsEndpoints() bool {
	return len(f.Destinations) > 0 || f.Busiest > 0 || f.Share > 0 || f.Zone != "" || f.DestinationKind != ""
}

func (s *Scenario) validateFaultTargets(v *validator, f *Fault, prefix string) {
	v.require(isShare(f.Share), prefix+"share", "must be a share from 0 to 1")
	for _, n := range f.Destinations {
		v.require(n >= 0 && n < s.Destinations.Count, prefix+"destinations", "%d is not under destinations.count", n)
	}
	for _, n := range f.Dispatchers {
		v.require(n >= 0 && n < s.Dispatchers.Count, prefix+"dispatchers", "%d is not under dispatchers.count", n)
	}
	v.require(f.Zone == "" || isOneOf(f.Zone, s.Network.Zones...), prefix+"zone", "%q is none of net.zones", f.Zone)
	hasKind := slices.ContainsFunc(s.DestinationKinds, func(k DestinationKind) bool { return k.Name == f.DestinationKind })
	v.require(f.DestinationKind == "" || hasKind, prefix+"of_kind", "no kind is called %q", f.DestinationKind)
}

func isOneOf(value string, allowed ...string) bool { return slices.Contains(allowed, value) }

func isShare(value float64) bool { return value >= 0 && value <= 1 && !math.IsNaN(value) }

// validateRange requires [from, to] with 0 <= from <= to.
func validateRange[T ~int | ~int64 | ~float64](v *validator, key string, bounds []T) {
	v.require(len(bounds) == 2 && bounds[0] >= 0 && bounds[0] <= bounds[1], key, "must be [from, to], neither negative")
}
