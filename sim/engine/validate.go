package engine

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// InvalidValue is one impossible value: Key is its place, such as kind.1.batch.
type InvalidValue struct{ Key, Text string }

func (f InvalidValue) Error() string { return f.Key + ": " + f.Text }

// Validate names every impossible value at once; its error joins Faults. It expects a completed scenario.
func (s *Scenario) Validate() error {
	var all []error
	must := func(ok bool, key, text string, args ...any) {
		if !ok {
			all = append(all, InvalidValue{key, fmt.Sprintf(text, args...)})
		}
	}
	d, c := &s.Dispatchers, &s.Clients
	must(s.Duration > 0, "length", "must be over 0")
	must(d.Count >= 1 && d.Count <= 5000, "dispatchers.count", "%d is not from 1 to 5000", d.Count)
	must(d.MaxConcurrentCalls >= 1, "dispatchers.slots", "must be 1 or more")
	must(d.BufferSize >= 1, "dispatchers.buffer", "must be 1 or more")
	must(d.MaxAttempts >= 1 && d.MaxAttempts <= 1000, "dispatchers.attempts", "must be from 1 to 1000")
	must(d.LoadSkew >= 0 && d.LoadSkew < 1, "dispatchers.front_skew", "must be from 0 to under 1")
	validateRange(must, "dispatchers.rate_error", d.RateError)
	must(d.RateError[0] > 0, "dispatchers.rate_error", "must be over 0")
	validateRange(must, "dispatchers.list_delay", d.EndpointUpdateDelay)
	must(c.Rate > 0 && c.Rate <= 1e6, "clients.rate", "must be over 0 and at most 1e6 webhooks a second")
	must(oneOf(c.Shape, "steady", "wave", "ramp", "bursty"), "clients.curve",
		"%q is none of steady, wave, ramp, bursty", c.Shape)
	must(c.Amplitude >= 0 && c.Amplitude < 1, "clients.swing", "must be from 0 to under 1")
	must(c.DestinationSkew >= 0 && c.DestinationSkew <= 5, "clients.skew", "must be from 0 to 5")
	must(isShare(c.BurstShare), "clients.clumps", "must be a share from 0 to 1")
	must(c.BurstSize >= 1, "clients.clump", "must be 1 or more")
	must(c.MaxResubmissions >= 0, "clients.retries", "must not be negative")
	must(isShare(c.HonorRetryAfter), "clients.heed", "must be a share from 0 to 1")
	validateRange(must, "clients.again", c.ResubmitDelay)
	dest := s.Destinations
	must(dest.Count >= 1 && dest.Count <= 1<<20, "destinations.count", "%d is not from 1 to 1048576", dest.Count)
	must(dest.Active >= 1 && dest.Active <= dest.Count, "destinations.busy", "must be from 1 to destinations.count")
	must(isShare(s.Network.Jitter), "net.jitter", "must be a share from 0 to 1")
	r := &s.Thresholds
	must(r.SlowStartCapacity > 0 && r.SlowStartCapacity <= 1, "rules.start_capacity", "must be over 0 and at most 1")
	must(r.OverloadFactor > 0, "rules.fall_multiple", "must be over 0")
	h := &s.Ownership
	must(h.LeaseTTL > 0 || *h == Ownership{}, "homes.term", "must be over 0 where there are homes")
	for i := range s.EventTypes { // guards against a run in which order by key is nobody's: it is left out here
		at := fmt.Sprintf("event.%d.ordered", i)
		must(h.LeaseTTL == 0 || !s.EventTypes[i].Ordered, at, "not with homes: left out there")
	}
	must(h.RangesPerMember >= 0 && h.RangesPerMember <= 1000, "homes.ranges", "%d is not from 1 to 1000", h.RangesPerMember)
	must(h.HopFactor >= 0 && h.HopFactor <= 1000, "homes.hop", "must be from 0 to 1000 ways to an endpoint")
	must(h.LossRate >= 0 && h.LossRate < 1, "homes.lost", "must be a share from 0 to under 1")
	must(h.ClockDrift >= 0 && h.ClockDrift < 1, "homes.apart", "must be a share from 0 to under 1")
	must(len(s.EventTypes) > 0 && len(s.EventTypes) < 255, "event", "there must be from 1 to 254")
	for i := range s.EventTypes {
		e, at := &s.EventTypes[i], fmt.Sprintf("event.%d.", i)
		must(e.Share >= 0, at+"share", "must not be negative")
		must(
			e.TTL > 0 && e.LatencyTarget > 0 && e.LatencyTarget <= e.TTL,
			at+"target",
			"target and ttl must be over 0, target the less",
		)
		must(isShare(e.LateValue), at+"late_value", "must be a share from 0 to 1")
		must(oneOf(e.Semantics, "idempotent", "tokened", "at-most-once"), at+"repeat",
			"%q is none of idempotent, tokened, at-most-once", e.Semantics)
		must(!e.Ordered || e.OrderingKeys > 0, at+"keys", "an ordered event type needs 1 or more")
	}
	for i := range s.Tenants {
		must(s.Tenants[i].Share >= 0 && s.Tenants[i].Rate >= 0, fmt.Sprintf("tenant.%d.share", i),
			"share and allowed must not be negative")
	}
	must(len(s.DestinationKinds) > 0, "kind", "there must be one at the least")
	for i := range s.DestinationKinds {
		k, at := &s.DestinationKinds[i], fmt.Sprintf("kind.%d.", i)
		must(k.Share >= 0, at+"share", "must not be negative")
		validateRange(must, at+"endpoints", k.Endpoints)
		must(k.Endpoints[0] >= 1 && k.Endpoints[len(k.Endpoints)-1] <= 64, at+"endpoints", "must be from 1 to 64")
		must(k.ServiceTime > 0, at+"answer", "must be over 0")
		must(k.ServiceTimeCV >= 0 && k.ServiceTimeCV <= 10, at+"spread", "must be from 0 to 10")
		must(oneOf(k.Limit, "rate", "window", "none"), at+"limit", "%q is none of rate, window, none", k.Limit)
		must(k.Headroom > 0, at+"headroom", "must be over 0")
		must(k.MinRate > 0, at+"least", "must be over 0")
		must(k.SpareCapacity >= 1, at+"spare", "must be 1 or more")
		must(isShare(k.RetryAfterShare), at+"tells_wait", "must be a share from 0 to 1")
		validateRange(must, at+"wait", k.RetryAfter)
		must(k.BatchSize >= 1, at+"batch", "must be 1 or more")
		must(k.BatchItemCost >= 0, at+"item_cost", "must not be negative")
		must(k.MaxConnections >= 0, at+"places", "must not be negative")
	}
	for i := range s.Faults {
		s.checkFault(must, &s.Faults[i], fmt.Sprintf("trouble.%d.", i))
	}
	return errors.Join(all...)
}

func (s *Scenario) checkFault(must func(bool, string, string, ...any), t *Fault, at string) {
	needs, known := faultNeeds[t.Kind]
	must(known, at+"kind", "%q is no kind of trouble", t.Kind)
	if !known {
		return
	}
	must(t.At <= s.Duration, at+"at", "begins after the scenario's length")
	named := len(t.Destinations) > 0 || t.Busiest > 0 || t.Share > 0 || t.Zone != "" || t.DestinationKind != ""
	must(!needs.Endpoints || named, at+"kind",
		"%s strikes nobody: give destinations, busiest, share, zone or of_kind", t.Kind)
	must(!needs.Dispatchers || len(t.Dispatchers) > 0, at+"kind", "%s strikes nobody: give dispatchers", t.Kind)
	must(!needs.Magnitude || t.Magnitude > 0, at+"size", "%s needs a size over 0", t.Kind)
	must(!needs.Share || t.Magnitude <= 1, at+"size", "must be a share of at most 1")
	must(
		!t.DuringIteration || t.Kind == "kill",
		at+"in_turn",
		"goes with kill only: who restarts by plan takes nothing on",
	)
	must(t.Kind != "flap" || t.Period > 0, at+"every", "flap needs a time over 0")
	must(
		t.Kind != "replace" || oneOf(t.Address, "new", "same"),
		at+"address",
		"%q is neither new nor same",
		t.Address,
	)
	must(isShare(t.Share), at+"share", "must be a share from 0 to 1")
	for _, n := range t.Destinations {
		must(n >= 0 && n < s.Destinations.Count, at+"destinations", "%d is not under destinations.count", n)
	}
	for _, n := range t.Dispatchers {
		must(n >= 0 && n < s.Dispatchers.Count, at+"dispatchers", "%d is not under dispatchers.count", n)
	}
	must(t.Zone == "" || oneOf(t.Zone, s.Network.Zones...), at+"zone", "%q is none of net.zones", t.Zone)
	ofKind := t.DestinationKind == ""
	for i := range s.DestinationKinds {
		ofKind = ofKind || s.DestinationKinds[i].Name == t.DestinationKind
	}
	must(ofKind, at+"of_kind", "no kind is called %q", t.DestinationKind)
}

func oneOf(v string, of ...string) bool { return slices.Contains(of, v) }

func isShare(v float64) bool { return v >= 0 && v <= 1 && !math.IsNaN(v) }

func validateRange[T ~int | ~int64 | ~float64](must func(bool, string, string, ...any), key string, of []T) {
	must(len(of) == 2 && of[0] >= 0 && of[0] <= of[1], key, "must be [from, to], neither negative")
}
