// Package emulator is a model of what rowanlink balances: destinations with limits, queues and outages, the
// dispatchers that call them, and the clients that hand webhooks in. It plays one scenario in simulated whole
// microseconds round unchanged decision modules, which it hosts through gateway.Module and gateway.Host.
//
// One run is one goroutine and depends on nothing but the scenario, its seed and the module: the same events
// in the same order, to the bit. docs/emulator.md says what the model leaves out.
package emulator

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"rowanlink/gateway"
)

// Span is a time in a scenario, written like "250ms".
type Span gateway.Micros

// UnmarshalText reads a Go duration; what is finer than a microsecond or negative is an error.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no time: write it like \"250ms\" or \"1.5s\"", text)
	}
	if d < 0 || d%time.Microsecond != 0 || d > 24*time.Hour {
		return fmt.Errorf("%q is not a time of whole microseconds from 0 to 24h", text)
	}
	*s = Span(d / time.Microsecond)
	return nil
}

// MarshalText writes it in the form that is read.
func (s Span) MarshalText() ([]byte, error) {
	return []byte((time.Duration(s) * time.Microsecond).String()), nil
}

func (s Span) us() gateway.Micros { return gateway.Micros(s) }

// Scenario is one situation: who is there, what they do, and what goes wrong when.
type Scenario struct {
	Name   string `toml:"name"`
	About  string `toml:"about,omitempty"`
	Seed   uint64 `toml:"seed"`
	Length Span   `toml:"length"` // arrivals come for so long; the run goes on until all have their end

	Dispatchers  Dispatchers  `toml:"dispatchers"`
	Clients      Clients      `toml:"clients"`
	Destinations Destinations `toml:"destinations"`
	Net          Net          `toml:"net"`
	Rules        Rules        `toml:"rules"`
	Events       []EventType  `toml:"event"`
	Tenants      []Tenant     `toml:"tenant,omitempty"`
	Kinds        []Kind       `toml:"kind"`
	Troubles     []Trouble    `toml:"trouble,omitempty"`
}

// Dispatchers are all alike.
type Dispatchers struct {
	Count          int     `toml:"count"`
	Slots          int     `toml:"slots"`           // calls out at once, each
	Buffer         int     `toml:"buffer"`          // webhooks held at once, each
	Attempts       int     `toml:"attempts"`        // of one webhook, at most
	Cancel         bool    `toml:"cancel"`          // they may call off what is out
	Tick           Span    `toml:"tick"`            // least time between two turns
	ConnectTimeout Span    `toml:"connect_timeout"` //
	IdleLimit      Span    `toml:"idle_limit"`      // idle connections are closed after it
	MaxAdvice      Span    `toml:"max_advice"`      // longest time to come back that a client is told
	RatesStated    bool    `toml:"rates_stated"`    // the list states the rate of each destination
	RateError      []Of    `toml:"rate_error"`      // stated over true rate, drawn for each destination
	ListDelay      []Span  `toml:"list_delay"`      // from a change to when a dispatcher hears of it
	StartStale     Span    `toml:"start_stale"`     // a list at start is so old
	FrontSkew      float64 `toml:"front_skew"`      // 0: even; 0.9: the first gets 19 times what the last gets
}

// Of is a plain number in a range.
type Of = float64

// Clients hand webhooks in through a front that deals them out over dispatchers.
type Clients struct {
	Rate    float64 `toml:"rate"`  // webhooks a second, over all
	Curve   string  `toml:"curve"` // steady, wave, ramp or bursty
	Swing   float64 `toml:"swing"` // of the rate, to both sides
	Period  Span    `toml:"period"`
	Skew    float64 `toml:"skew"`    // the i-th busiest destination gets traffic in proportion to i^-skew
	Clumps  float64 `toml:"clumps"`  // share of webhooks that begin a clump for one destination
	Clump   int     `toml:"clump"`   // webhooks in a clump
	Within  Span    `toml:"within"`  // a clump comes within this time
	Retries int     `toml:"retries"` // how often a rejected webhook is handed in again
	Again   []Span  `toml:"again"`   // first pause before that; each further one is twice as long
	Heed    float64 `toml:"heed"`    // share of clients that wait as long as they are told to
	Notice  Span    `toml:"notice"`  // the front goes on dealing to a dead dispatcher for so long
}

// Destinations are numbered by traffic, the busiest first.
type Destinations struct {
	Count int `toml:"count"`
	Busy  int `toml:"busy"` // so many get traffic; 0: all
}

// Net is one way, between a dispatcher and an endpoint.
type Net struct {
	Zones  []string `toml:"zones"`
	Same   Span     `toml:"same"`
	Cross  Span     `toml:"cross"`
	Jitter float64  `toml:"jitter"` // share of the way that varies by chance
}

// Rules are the figures that dispatchers are told and observers hold them to.
type Rules struct {
	StartCapacity float64 `toml:"start_capacity"` // share that a destination back from an outage has at once
	WarmAfter     Span    `toml:"warm_after"`
	FallMultiple  float64 `toml:"fall_multiple"` // sent more than this times what it can take
	TipAfter      Span    `toml:"tip_after"`     // for so long, it falls over
	DrainGrace    Span    `toml:"drain_grace"`
	TurnGap       Span    `toml:"turn_gap"`
}

// EventType is a row of the table in which event types differ.
type EventType struct {
	Name      string  `toml:"name"`
	Share     float64 `toml:"share"`
	Target    Span    `toml:"target"`
	TTL       Span    `toml:"ttl"`
	Value     float64 `toml:"value"`
	LateValue float64 `toml:"late_value"`
	Repeat    string  `toml:"repeat"` // idempotent, tokened or at-most-once
	Window    Span    `toml:"window,omitempty"`
	ByZone    bool    `toml:"by_zone,omitempty"`
	Ordered   bool    `toml:"ordered,omitempty"`
	Keys      int     `toml:"keys,omitempty"` // distinct order keys
}

// Tenant hands in a share of all webhooks and is allowed so many a second.
type Tenant struct {
	Name    string  `toml:"name"`
	Share   float64 `toml:"share"`
	Allowed float64 `toml:"allowed"`
}

// Kind is a kind of destination.
type Kind struct {
	Name          string  `toml:"name"`
	Share         float64 `toml:"share"`     // of the destinations
	Endpoints     []int   `toml:"endpoints"` // from, to
	Answer        Span    `toml:"answer"`    // mean time that a call is served for
	Spread        float64 `toml:"spread"`    // its standard deviation over the mean
	Limit         string  `toml:"limit"`     // rate, window or none
	Window        Span    `toml:"window,omitempty"`
	Headroom      float64 `toml:"headroom"`    // limit over the traffic that is meant for it
	Least         float64 `toml:"least"`       // limit at the least, calls a second
	Spare         float64 `toml:"spare"`       // what it could serve over its limit
	Queue         Span    `toml:"queue"`       // places to wait, as time of its limit
	Places        int     `toml:"places"`      // connections that an endpoint takes, idle ones counted; 0: any
	PlacesTold    bool    `toml:"places_told"` // one too many is answered so, not refused
	CountsRefused bool    `toml:"counts_refused"`
	TellsWait     float64 `toml:"tells_wait"` // share of refusals that tell a wait
	Wait          []Span  `toml:"wait"`
	Batch         int     `toml:"batch"`
	ItemCost      float64 `toml:"item_cost"` // each further webhook in a call, over the first one's time
	Apart         bool    `toml:"apart"`     // endpoints are routes apart
}

// Trouble is one thing that goes wrong. Which of the fields count is told by its kind; see
// docs/laboratory.md.
type Trouble struct {
	Kind string `toml:"kind"`
	At   Span   `toml:"at"`
	For  Span   `toml:"for"`

	// Whom it strikes among destinations: the given numbers, the busiest so many, or a share by chance, with
	// one zone or one kind as a further bound. One: a single endpoint of each.
	Destinations []int   `toml:"destinations,omitempty"`
	Busiest      int     `toml:"busiest,omitempty"`
	Share        float64 `toml:"share,omitempty"`
	Zone         string  `toml:"zone,omitempty"`
	OfKind       string  `toml:"of_kind,omitempty"`
	One          bool    `toml:"one,omitempty"`
	// And among dispatchers.
	Dispatchers []int `toml:"dispatchers,omitempty"`

	Size    float64 `toml:"size,omitempty"`    // slow, burst: factor; the others: share; limit: what is left
	Every   Span    `toml:"every,omitempty"`   // flap: down for half of it, up for the other half
	Drain   Span    `toml:"drain,omitempty"`   // replace: from draining to gone
	Delay   Span    `toml:"delay,omitempty"`   // list_late: so much longer until they hear of a change
	Stale   Span    `toml:"stale,omitempty"`   // kill, restart: the list at the next start is so old
	Address string  `toml:"address,omitempty"` // replace: new or same
	Journal bool    `toml:"journal,omitempty"` // kill: its folder is there at the next start
	InTurn  bool    `toml:"in_turn,omitempty"` // kill: in the next turn that takes a webhook on
	Silent  bool    `toml:"silent,omitempty"`  // down: connects are not refused but never come up
}

// troubles says what each kind of trouble needs.
var troubles = map[string]Need{
	"down": {Endpoints: true}, "hang": {Endpoints: true}, "shut": {Endpoints: true},
	"slow": {Endpoints: true, Size: true}, "errors": {Endpoints: true, Size: true, Share: true},
	"resets": {Endpoints: true, Size: true, Share: true}, "lost": {Endpoints: true, Size: true, Share: true},
	"flap": {Endpoints: true}, "replace": {Endpoints: true},
	"limit": {Endpoints: true, Size: true, Share: true},
	"kill":  {Dispatchers: true}, "restart": {Dispatchers: true}, "freeze": {Dispatchers: true},
	"list_late": {Dispatchers: true}, "burst": {Size: true}, "hot": {Endpoints: true, Size: true, Share: true},
}

// Fault is one impossible value: Key is its place, such as kind.1.batch.
type Fault struct{ Key, Text string }

func (f Fault) Error() string { return f.Key + ": " + f.Text }

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

// Facts is what dispatcher number i is told at its start.
func (s *Scenario) Facts(i int, seed uint64) gateway.Facts {
	d, r := &s.Dispatchers, &s.Rules
	f := gateway.Facts{Seed: seed, Fleet: d.Count, Zone: gateway.ZoneID(i % len(s.Net.Zones)), OverShare: 0.1,
		Slots: d.Slots, Buffer: d.Buffer, MaxAttempts: d.Attempts, MayCancel: d.Cancel, MaxAdvice: d.MaxAdvice.us(),
		RatesStated: d.RatesStated, ConnectTimeout: d.ConnectTimeout.us(), Tick: d.Tick.us(),
		TurnGap: r.TurnGap.us(), StartCapacity: r.StartCapacity, WarmAfter: r.WarmAfter.us(),
		FallMultiple: r.FallMultiple, TipAfter: r.TipAfter.us()}
	for _, e := range s.Events {
		repeat := map[string]gateway.Repeat{"idempotent": gateway.Idempotent, "tokened": gateway.Tokened,
			"at-most-once": gateway.AtMostOnce}[e.Repeat]
		f.EventTypes = append(
			f.EventTypes,
			gateway.EventType{Target: e.Target.us(), TTL: e.TTL.us(), Value: e.Value,
				LateValue: e.LateValue, Repeat: repeat, TokenWindow: e.Window.us(), TokenByZone: e.ByZone,
				Ordered: e.Ordered},
		)
	}
	for _, k := range s.Kinds {
		f.Kinds = append(f.Kinds, gateway.Kind{Batch: k.Batch, Apart: k.Apart})
		f.CapsTold = f.CapsTold || k.PlacesTold
	}
	for _, t := range s.Tenants {
		f.Tenants = append(f.Tenants, t.Allowed)
	}
	return f
}

// Need says which fields of a trouble its kind asks for.
type Need struct{ Endpoints, Dispatchers, Size, Share bool }

// Needs of a kind of trouble.
func Needs(kind string) Need { return troubles[kind] }

// TroubleKinds are the names of all kinds of trouble, in order.
func TroubleKinds() []string { return slices.Sorted(maps.Keys(troubles)) }
