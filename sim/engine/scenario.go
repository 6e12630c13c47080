// Package engine is a model of what rowanlink balances: destinations with limits, queues and outages, the
// dispatchers that call them, and the clients that hand webhooks in. It plays one scenario in simulated whole
// microseconds round unchanged decision modules, which it hosts through gateway.Module and gateway.Host.
//
// One run is one goroutine and depends on nothing but the scenario, its seed and the module: the same events
// in the same order, to the bit. docs/simulator.md says what the model leaves out.
package engine

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"rowanlink/webhook/api"
)

// Duration is a time in a scenario, written like "250ms".
type Duration api.Micros

// UnmarshalText reads a Go duration; what is finer than a microsecond or negative is an error.
func (s *Duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no time: write it like \"250ms\" or \"1.5s\"", text)
	}
	if d < 0 || d%time.Microsecond != 0 || d > 24*time.Hour {
		return fmt.Errorf("%q is not a time of whole microseconds from 0 to 24h", text)
	}
	*s = Duration(d / time.Microsecond)
	return nil
}

// MarshalText writes it in the form that is read.
func (s Duration) MarshalText() ([]byte, error) {
	return []byte((time.Duration(s) * time.Microsecond).String()), nil
}

func (s Duration) micros() api.Micros { return api.Micros(s) }

// Scenario is one situation: who is there, what they do, and what goes wrong when.
type Scenario struct {
	Name     string   `toml:"name"`
	About    string   `toml:"about,omitempty"`
	Seed     uint64   `toml:"seed"`
	Duration Duration `toml:"length"` // arrivals come for so long; the run goes on until all have their end

	Dispatchers      Dispatchers       `toml:"dispatchers"`
	Clients          Clients           `toml:"clients"`
	Destinations     Destinations      `toml:"destinations"`
	Network          Network           `toml:"net"`
	Thresholds       Thresholds        `toml:"rules"`
	EventTypes       []EventType       `toml:"event"`
	Tenants          []Tenant          `toml:"tenant,omitempty"`
	DestinationKinds []DestinationKind `toml:"kind"`
	Faults           []Fault           `toml:"trouble,omitempty"`
	Ownership        Ownership         `toml:"homes,omitempty"`
}

// Ownership has each destination called by one dispatcher only, its home. Left out, each dispatcher has an even
// part of each rate.
type Ownership struct {
	LeaseTTL        Duration `toml:"term"`   // of a session: what a lost home had goes to another after it; 0: no homes
	RangesPerMember int      `toml:"ranges"` // of key hashes, for each dispatcher
	HopFactor       float64  `toml:"hop"`    // a message between dispatchers takes so many ways as one to an endpoint
	LossRate        float64  `toml:"lost"`   // share of these messages that are lost
	ClockDrift      float64  `toml:"apart"`  // by how much clocks may run apart, as a share
}

// Dispatchers are all alike.
type Dispatchers struct {
	Count                int        `toml:"count"`
	MaxConcurrentCalls   int        `toml:"slots"`           // calls out at once, each
	BufferSize           int        `toml:"buffer"`          // webhooks held at once, each
	MaxAttempts          int        `toml:"attempts"`        // of one webhook, at most
	CanCancel            bool       `toml:"cancel"`          // they may call off what is out
	MinIterationInterval Duration   `toml:"tick"`            // least time between two turns
	ConnectTimeout       Duration   `toml:"connect_timeout"` //
	IdleTimeout          Duration   `toml:"idle_limit"`      // idle connections are closed after it
	MaxRetryAfter        Duration   `toml:"max_advice"`      // longest time to come back that a client is told
	RatesListed          bool       `toml:"rates_stated"`    // the list states the rate of each destination
	RateError            []Ratio    `toml:"rate_error"`      // stated over true rate, drawn for each destination
	EndpointUpdateDelay  []Duration `toml:"list_delay"`      // from a change to when a dispatcher hears of it
	StartupListAge       Duration   `toml:"start_stale"`     // a list at start is so old
	LoadSkew             float64    `toml:"front_skew"`      // 0: even; 0.9: the first gets 19 times what the last gets
}

// Ratio is a plain number in a range.
type Ratio = float64

// Clients hand webhooks in through a front that deals them out over dispatchers.
type Clients struct {
	Rate                  float64    `toml:"rate"`  // webhooks a second, over all
	Shape                 string     `toml:"curve"` // steady, wave, ramp or bursty
	Amplitude             float64    `toml:"swing"` // of the rate, to both sides
	Period                Duration   `toml:"period"`
	DestinationSkew       float64    `toml:"skew"`    // the i-th busiest destination gets traffic in proportion to i^-skew
	BurstShare            float64    `toml:"clumps"`  // share of webhooks that begin a clump for one destination
	BurstSize             int        `toml:"clump"`   // webhooks in a clump
	BurstDuration         Duration   `toml:"within"`  // a clump comes within this time
	MaxResubmissions      int        `toml:"retries"` // how often a rejected webhook is handed in again
	ResubmitDelay         []Duration `toml:"again"`   // first pause before that; each further one is twice as long
	HonorRetryAfter       float64    `toml:"heed"`    // share of clients that wait as long as they are told to
	FailureDetectionDelay Duration   `toml:"notice"`  // the front goes on dealing to a dead dispatcher for so long
}

// Destinations are numbered by traffic, the busiest first.
type Destinations struct {
	Count  int `toml:"count"`
	Active int `toml:"busy"` // so many get traffic; 0: all
}

// Network is one way, between a dispatcher and an endpoint.
type Network struct {
	Zones          []string `toml:"zones"`
	SameZoneDelay  Duration `toml:"same"`
	CrossZoneDelay Duration `toml:"cross"`
	Jitter         float64  `toml:"jitter"` // share of the way that varies by chance
}

// Thresholds are the figures that dispatchers are told and observers hold them to.
type Thresholds struct {
	SlowStartCapacity float64  `toml:"start_capacity"` // share that a destination back from an outage has at once
	SlowStartDuration Duration `toml:"warm_after"`
	OverloadFactor    float64  `toml:"fall_multiple"` // sent more than this times what it can take
	OverloadDuration  Duration `toml:"tip_after"`     // for so long, it falls over
	DrainGrace        Duration `toml:"drain_grace"`
	OrderingGap       Duration `toml:"turn_gap"`
}

// EventType is a row of the table in which event types differ.
type EventType struct {
	Name          string   `toml:"name"`
	Share         float64  `toml:"share"`
	LatencyTarget Duration `toml:"target"`
	TTL           Duration `toml:"ttl"`
	Value         float64  `toml:"value"`
	LateValue     float64  `toml:"late_value"`
	Semantics     string   `toml:"repeat"` // idempotent, tokened or at-most-once
	DedupWindow   Duration `toml:"window,omitempty"`
	DedupByZone   bool     `toml:"by_zone,omitempty"`
	Ordered       bool     `toml:"ordered,omitempty"`
	OrderingKeys  int      `toml:"keys,omitempty"` // distinct order keys
}

// Tenant hands in a share of all webhooks and is allowed so many a second.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
	Rate  float64 `toml:"allowed"`
}

// DestinationKind is a kind of destination.
type DestinationKind struct {
	Name                   string     `toml:"name"`
	Share                  float64    `toml:"share"`     // of the destinations
	Endpoints              []int      `toml:"endpoints"` // from, to
	ServiceTime            Duration   `toml:"answer"`    // mean time that a call is served for
	ServiceTimeCV          float64    `toml:"spread"`    // its standard deviation over the mean
	Limit                  string     `toml:"limit"`     // rate, window or none
	LimitWindow            Duration   `toml:"window,omitempty"`
	Headroom               float64    `toml:"headroom"`    // limit over the traffic that is meant for it
	MinRate                float64    `toml:"least"`       // limit at the least, calls a second
	SpareCapacity          float64    `toml:"spare"`       // what it could serve over its limit
	QueueTime              Duration   `toml:"queue"`       // places to wait, as time of its limit
	MaxConnections         int        `toml:"places"`      // connections that an endpoint takes, idle ones counted; 0: any
	ReportsConnectionLimit bool       `toml:"places_told"` // one too many is answered so, not refused
	CountsRejected         bool       `toml:"counts_refused"`
	RetryAfterShare        float64    `toml:"tells_wait"` // share of refusals that tell a wait
	RetryAfter             []Duration `toml:"wait"`
	BatchSize              int        `toml:"batch"`
	BatchItemCost          float64    `toml:"item_cost"` // each further webhook in a call, over the first one's time
	SeparateRoutes         bool       `toml:"apart"`     // endpoints are routes apart
}

// Fault is one thing that goes wrong. Which of the fields count is told by its kind; see
// docs/experiments.md.
type Fault struct {
	Kind     string   `toml:"kind"`
	At       Duration `toml:"at"`
	Duration Duration `toml:"for"`

	// Whom it strikes among destinations: the given numbers, the busiest so many, or a share by chance, with
	// one zone or one kind as a further bound. One: a single endpoint of each.
	Destinations    []int   `toml:"destinations,omitempty"`
	Busiest         int     `toml:"busiest,omitempty"`
	Share           float64 `toml:"share,omitempty"`
	Zone            string  `toml:"zone,omitempty"`
	DestinationKind string  `toml:"of_kind,omitempty"`
	SingleEndpoint  bool    `toml:"one,omitempty"`
	// And among dispatchers.
	Dispatchers []int `toml:"dispatchers,omitempty"`

	Magnitude       float64  `toml:"size,omitempty"`    // slow, burst: factor; the others: share; limit: what is left
	Period          Duration `toml:"every,omitempty"`   // flap: down for half of it, up for the other half
	DrainTime       Duration `toml:"drain,omitempty"`   // replace: from draining to gone
	UpdateDelay     Duration `toml:"delay,omitempty"`   // list_late: so much longer until they hear of a change
	StartupListAge  Duration `toml:"stale,omitempty"`   // kill, restart: the list at the next start is so old
	Address         string   `toml:"address,omitempty"` // replace: new or same
	KeepsState      bool     `toml:"journal,omitempty"` // kill: its folder is there at the next start
	DuringIteration bool     `toml:"in_turn,omitempty"` // kill: in the next turn that takes a webhook on
	Unresponsive    bool     `toml:"silent,omitempty"`  // down: connects are not refused but never come up
}

// faultNeeds says what each kind of trouble needs.
var faultNeeds = map[string]FaultNeeds{
	"down": {Endpoints: true}, "hang": {Endpoints: true}, "shut": {Endpoints: true},
	"slow": {Endpoints: true, Magnitude: true}, "errors": {Endpoints: true, Magnitude: true, Share: true},
	"resets": {Endpoints: true, Magnitude: true, Share: true}, "lost": {Endpoints: true, Magnitude: true, Share: true},
	"flap": {Endpoints: true}, "replace": {Endpoints: true},
	"limit": {Endpoints: true, Magnitude: true, Share: true},
	"kill":  {Dispatchers: true}, "restart": {Dispatchers: true}, "freeze": {Dispatchers: true},
	"list_late": {Dispatchers: true}, "burst": {Magnitude: true}, "hot": {Endpoints: true, Magnitude: true, Share: true},
}

// FaultNeeds says which fields of a trouble its kind asks for.
type FaultNeeds struct{ Endpoints, Dispatchers, Magnitude, Share bool }

// NeedsOf of a kind of trouble.
func NeedsOf(kind string) FaultNeeds { return faultNeeds[kind] }

// FaultKinds are the names of all kinds of trouble, in order.
func FaultKinds() []string { return slices.Sorted(maps.Keys(faultNeeds)) }
