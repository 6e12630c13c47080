package engine

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// Fault is one impossible value: Key is its place, such as kind.1.batch.
type Fault struct{ Key, Text string }

func (f Fault) Error() string { return f.Key + ": " + f.Text }

// Check names every impossible value at once; its error joins Faults. It expects a completed scenario.
func (s *Scenario) Check() error {
	var all []error
	must := func(ok bool, key, text string, args ...any) {
		if !ok {
			all = append(all, Fault{key, fmt.Sprintf(text, args...)})
		}
	}
	d, c := &s.Dispatchers, &s.Clients
	must(s.Length > 0, "length", "must be over 0")
	must(d.Count >= 1 && d.Count <= 5000, "dispatchers.count", "%d is not from 1 to 5000", d.Count)
	must(d.Slots >= 1, "dispatchers.slots", "must be 1 or more")
	must(d.Buffer >= 1, "dispatchers.buffer", "must be 1 or more")
	must(d.Attempts >= 1 && d.Attempts <= 1000, "dispatchers.attempts", "must be from 1 to 1000")
	must(d.FrontSkew >= 0 && d.FrontSkew < 1, "dispatchers.front_skew", "must be from 0 to under 1")
	ordered(must, "dispatchers.rate_error", d.RateError)
	must(d.RateError[0] > 0, "dispatchers.rate_error", "must be over 0")
	ordered(must, "dispatchers.list_delay", d.ListDelay)
	must(c.Rate > 0 && c.Rate <= 1e6, "clients.rate", "must be over 0 and at most 1e6 webhooks a second")
	must(member(c.Curve, "steady", "wave", "ramp", "bursty"), "clients.curve",
		"%q is none of steady, wave, ramp, bursty", c.Curve)
	must(c.Swing >= 0 && c.Swing < 1, "clients.swing", "must be from 0 to under 1")
	must(c.Skew >= 0 && c.Skew <= 5, "clients.skew", "must be from 0 to 5")
	must(share(c.Clumps), "clients.clumps", "must be a share from 0 to 1")
	must(c.Clump >= 1, "clients.clump", "must be 1 or more")
	must(c.Retries >= 0, "clients.retries", "must not be negative")
	must(share(c.Heed), "clients.heed", "must be a share from 0 to 1")
	ordered(must, "clients.again", c.Again)
	dest := s.Destinations
	must(dest.Count >= 1 && dest.Count <= 1<<20, "destinations.count", "%d is not from 1 to 1048576", dest.Count)
	must(dest.Busy >= 1 && dest.Busy <= dest.Count, "destinations.busy", "must be from 1 to destinations.count")
	must(share(s.Net.Jitter), "net.jitter", "must be a share from 0 to 1")
	r := &s.Rules
	must(r.StartCapacity > 0 && r.StartCapacity <= 1, "rules.start_capacity", "must be over 0 and at most 1")
	must(r.FallMultiple > 0, "rules.fall_multiple", "must be over 0")
	h := &s.Homes
	must(h.Term > 0 || *h == Homes{}, "homes.term", "must be over 0 where there are homes")
	for i := range s.Events { // guards against a run in which order by key is nobody's: it is left out here
		at := fmt.Sprintf("event.%d.ordered", i)
		must(h.Term == 0 || !s.Events[i].Ordered, at, "not with homes: left out there")
	}
	must(h.Ranges >= 0 && h.Ranges <= 1000, "homes.ranges", "%d is not from 1 to 1000", h.Ranges)
	must(h.Hop >= 0 && h.Hop <= 1000, "homes.hop", "must be from 0 to 1000 ways to an endpoint")
	must(h.Lost >= 0 && h.Lost < 1, "homes.lost", "must be a share from 0 to under 1")
	must(h.Apart >= 0 && h.Apart < 1, "homes.apart", "must be a share from 0 to under 1")
	must(len(s.Events) > 0 && len(s.Events) < 255, "event", "there must be from 1 to 254")
	for i := range s.Events {
		e, at := &s.Events[i], fmt.Sprintf("event.%d.", i)
		must(e.Share >= 0, at+"share", "must not be negative")
		must(
			e.TTL > 0 && e.Target > 0 && e.Target <= e.TTL,
			at+"target",
			"target and ttl must be over 0, target the less",
		)
		must(share(e.LateValue), at+"late_value", "must be a share from 0 to 1")
		must(member(e.Repeat, "idempotent", "tokened", "at-most-once"), at+"repeat",
			"%q is none of idempotent, tokened, at-most-once", e.Repeat)
		must(!e.Ordered || e.Keys > 0, at+"keys", "an ordered event type needs 1 or more")
	}
	for i := range s.Tenants {
		must(s.Tenants[i].Share >= 0 && s.Tenants[i].Allowed >= 0, fmt.Sprintf("tenant.%d.share", i),
			"share and allowed must not be negative")
	}
	must(len(s.Kinds) > 0, "kind", "there must be one at the least")
	for i := range s.Kinds {
		k, at := &s.Kinds[i], fmt.Sprintf("kind.%d.", i)
		must(k.Share >= 0, at+"share", "must not be negative")
		ordered(must, at+"endpoints", k.Endpoints)
		must(k.Endpoints[0] >= 1 && k.Endpoints[len(k.Endpoints)-1] <= 64, at+"endpoints", "must be from 1 to 64")
		must(k.Answer > 0, at+"answer", "must be over 0")
		must(k.Spread >= 0 && k.Spread <= 10, at+"spread", "must be from 0 to 10")
		must(member(k.Limit, "rate", "window", "none"), at+"limit", "%q is none of rate, window, none", k.Limit)
		must(k.Headroom > 0, at+"headroom", "must be over 0")
		must(k.Least > 0, at+"least", "must be over 0")
		must(k.Spare >= 1, at+"spare", "must be 1 or more")
		must(share(k.TellsWait), at+"tells_wait", "must be a share from 0 to 1")
		ordered(must, at+"wait", k.Wait)
		must(k.Batch >= 1, at+"batch", "must be 1 or more")
		must(k.ItemCost >= 0, at+"item_cost", "must not be negative")
		must(k.Places >= 0, at+"places", "must not be negative")
	}
	for i := range s.Troubles {
		s.checkTrouble(must, &s.Troubles[i], fmt.Sprintf("trouble.%d.", i))
	}
	return errors.Join(all...)
}

func (s *Scenario) checkTrouble(must func(bool, string, string, ...any), t *Trouble, at string) {
	needs, known := troubles[t.Kind]
	must(known, at+"kind", "%q is no kind of trouble", t.Kind)
	if !known {
		return
	}
	must(t.At <= s.Length, at+"at", "begins after the scenario's length")
	named := len(t.Destinations) > 0 || t.Busiest > 0 || t.Share > 0 || t.Zone != "" || t.OfKind != ""
	must(!needs.Endpoints || named, at+"kind",
		"%s strikes nobody: give destinations, busiest, share, zone or of_kind", t.Kind)
	must(!needs.Dispatchers || len(t.Dispatchers) > 0, at+"kind", "%s strikes nobody: give dispatchers", t.Kind)
	must(!needs.Size || t.Size > 0, at+"size", "%s needs a size over 0", t.Kind)
	must(!needs.Share || t.Size <= 1, at+"size", "must be a share of at most 1")
	must(
		!t.InTurn || t.Kind == "kill",
		at+"in_turn",
		"goes with kill only: who restarts by plan takes nothing on",
	)
	must(t.Kind != "flap" || t.Every > 0, at+"every", "flap needs a time over 0")
	must(
		t.Kind != "replace" || member(t.Address, "new", "same"),
		at+"address",
		"%q is neither new nor same",
		t.Address,
	)
	must(share(t.Share), at+"share", "must be a share from 0 to 1")
	for _, n := range t.Destinations {
		must(n >= 0 && n < s.Destinations.Count, at+"destinations", "%d is not under destinations.count", n)
	}
	for _, n := range t.Dispatchers {
		must(n >= 0 && n < s.Dispatchers.Count, at+"dispatchers", "%d is not under dispatchers.count", n)
	}
	must(t.Zone == "" || member(t.Zone, s.Net.Zones...), at+"zone", "%q is none of net.zones", t.Zone)
	ofKind := t.OfKind == ""
	for i := range s.Kinds {
		ofKind = ofKind || s.Kinds[i].Name == t.OfKind
	}
	must(ofKind, at+"of_kind", "no kind is called %q", t.OfKind)
}

func member(v string, of ...string) bool { return slices.Contains(of, v) }

func share(v float64) bool { return v >= 0 && v <= 1 && !math.IsNaN(v) }

func ordered[T ~int | ~int64 | ~float64](must func(bool, string, string, ...any), key string, of []T) {
	must(len(of) == 2 && of[0] >= 0 && of[0] <= of[1], key, "must be [from, to], neither negative")
}
