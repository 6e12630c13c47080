// Package engine is a discrete-event simulator of what the webhook dispatcher balances: destinations with limits, queues
// and outages, the dispatchers that call them, and the clients that submit webhooks. It runs one Scenario in simulated
// time, in whole microseconds, with the unchanged decision policies as api.Policy, and is their api.Host.
//
// A run is one goroutine and depends on nothing but the scenario, its seed and the policy: the same input gives the same
// events in the same order. docs/simulator.md tells what the simulator leaves out.
package engine

import (
	"fmt"
	"time"

	"rowanlink/webhook/api"
)

// Duration is a time span of a scenario in microseconds, written like "250ms" in a file.
type Duration api.Micros

const maxDuration = 24 * time.Hour

// UnmarshalText reads a Go duration. One that is negative, over 24 hours or not of whole microseconds is an error.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no time: write it like \"250ms\" or \"1.5s\"", text)
	}
	if parsed < 0 || parsed%time.Microsecond != 0 || parsed > maxDuration {
		return fmt.Errorf("%q is not a time of whole microseconds from 0 to 24h", text)
	}
	*d = Duration(parsed / time.Microsecond)
	return nil
}

// MarshalText writes the form that UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte((time.Duration(d) * time.Microsecond).String()), nil
}

func (d Duration) micros() api.Micros { return api.Micros(d) }

// Scenario is the input of a run: the dispatchers, clients and destinations, and the faults. The toml tags are the keys
// of a scenario file.
type Scenario struct {
	Name     string   `toml:"name"`
	About    string   `toml:"about,omitempty"`
	Seed     uint64   `toml:"seed"`
	Duration Duration `toml:"length"` // of the arrivals; the run goes on until all webhooks are finished

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

// Ownership makes the dispatchers a cluster in which only the owner of a destination's range calls it. Without it, each
// dispatcher calls all destinations with an even share of their rates.
type Ownership struct {
	LeaseTTL        Duration `toml:"term"`   // of a session; ranges of a lost owner fail over after it. 0: no ownership
	RangesPerMember int      `toml:"ranges"` // of key hashes
	HopFactor       float64  `toml:"hop"`    // delay of a message between dispatchers over that to an endpoint
	LossRate        float64  `toml:"lost"`   // share of the messages between dispatchers that are lost
	ClockDrift      float64  `toml:"apart"`  // greatest difference between the rates of two clocks, as a share
}

// Dispatchers describes the dispatchers, which are all alike.
type Dispatchers struct {
	Count                int        `toml:"count"`
	MaxConcurrentCalls   int        `toml:"slots"`    // of each dispatcher
	BufferSize           int        `toml:"buffer"`   // webhooks at once, of each dispatcher
	MaxAttempts          int        `toml:"attempts"` // of one webhook
	CanCancel            bool       `toml:"cancel"`   // attempts in flight can be cancelled
	MinIterationInterval Duration   `toml:"tick"`     // between two iterations of a dispatcher's event loop
	ConnectTimeout       Duration   `toml:"connect_timeout"`
	IdleTimeout          Duration   `toml:"idle_limit"`   // of connections
	MaxRetryAfter        Duration   `toml:"max_advice"`   // that a rejected client is given
	RatesListed          bool       `toml:"rates_stated"` // the endpoint list states the rate of each destination
	RateError            []Ratio    `toml:"rate_error"`   // [from, to]: stated over true rate, random for each destination
	EndpointUpdateDelay  []Duration `toml:"list_delay"`   // [from, to]: from a change to its notification
	StartupListAge       Duration   `toml:"start_stale"`  // of the endpoint list with which a dispatcher starts
	LoadSkew             float64    `toml:"front_skew"`   // 0: even; 0.9: the first gets 19 times the load of the last
}

// Ratio is a number without a unit.
type Ratio = float64

// Clients submit webhooks through a load balancer that distributes them over the dispatchers.
type Clients struct {
	Rate                  float64    `toml:"rate"`    // webhooks per second, in all
	Shape                 string     `toml:"curve"`   // of the rate over time: steady, wave, ramp or bursty
	Amplitude             float64    `toml:"swing"`   // of the rate, up and down, as a share
	Period                Duration   `toml:"period"`  // of the wave
	DestinationSkew       float64    `toml:"skew"`    // exponent of Zipf's law of traffic by destination
	BurstShare            float64    `toml:"clumps"`  // share of arrivals that are a burst for one destination
	BurstSize             int        `toml:"clump"`   // webhooks in a burst
	BurstDuration         Duration   `toml:"within"`  // a burst arrives within this time
	MaxResubmissions      int        `toml:"retries"` // of a rejected webhook
	ResubmitDelay         []Duration `toml:"again"`   // [from, to] before the first; doubled for each further one
	HonorRetryAfter       float64    `toml:"heed"`    // share of clients that wait as long as the rejection asks them to
	FailureDetectionDelay Duration   `toml:"notice"`  // the load balancer sends to a dead dispatcher for so long
}

// The shapes of the arrival rate.
const (
	shapeSteady = "steady"
	shapeWave   = "wave"
	shapeRamp   = "ramp"
	shapeBursty = "bursty"
)

// Destinations are numbered by traffic, that with the most first.
type Destinations struct {
	Count  int `toml:"count"`
	Active int `toml:"busy"` // so many have traffic; 0: all
}

// Network gives the one-way delays between a dispatcher and an endpoint.
type Network struct {
	Zones          []string `toml:"zones"`
	SameZoneDelay  Duration `toml:"same"`
	CrossZoneDelay Duration `toml:"cross"`
	Jitter         float64  `toml:"jitter"` // random part of a delay, up and down, as a share
}

// Thresholds are given to the dispatchers as settings, and the invariants are checked against them.
type Thresholds struct {
	SlowStartCapacity float64  `toml:"start_capacity"` // share of its capacity that a destination has right after an outage
	SlowStartDuration Duration `toml:"warm_after"`
	OverloadFactor    float64  `toml:"fall_multiple"` // load over capacity at which a destination that warms up collapses,
	OverloadDuration  Duration `toml:"tip_after"`     // when it lasts so long
	DrainGrace        Duration `toml:"drain_grace"`
	OrderingGap       Duration `toml:"turn_gap"`
}

// EventType describes a type of webhooks.
type EventType struct {
	Name          string   `toml:"name"`
	Share         float64  `toml:"share"`
	LatencyTarget Duration `toml:"target"`
	TTL           Duration `toml:"ttl"`
	Value         float64  `toml:"value"`
	LateValue     float64  `toml:"late_value"`
	Semantics     string   `toml:"repeat"` // idempotent, tokened (deduplicated by the endpoint) or at-most-once
	DedupWindow   Duration `toml:"window,omitempty"`
	DedupByZone   bool     `toml:"by_zone,omitempty"`
	Ordered       bool     `toml:"ordered,omitempty"`
	OrderingKeys  int      `toml:"keys,omitempty"` // distinct keys
}

// The delivery semantics of an event type.
const (
	semanticsIdempotent   = "idempotent"
	semanticsDeduplicated = "tokened"
	semanticsAtMostOnce   = "at-most-once"
)

// Tenant submits a share of all webhooks and has a rate of its own.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
	Rate  float64 `toml:"allowed"` // webhooks per second within its quota
}

// DestinationKind describes a kind of destinations.
type DestinationKind struct {
	Name                   string     `toml:"name"`
	Share                  float64    `toml:"share"`     // of the destinations
	Endpoints              []int      `toml:"endpoints"` // [from, to] of each destination
	ServiceTime            Duration   `toml:"answer"`    // mean
	ServiceTimeCV          float64    `toml:"spread"`    // coefficient of variation
	Limit                  string     `toml:"limit"`     // rate, window or none
	LimitWindow            Duration   `toml:"window,omitempty"`
	Headroom               float64    `toml:"headroom"`       // limit over the expected traffic
	MinRate                float64    `toml:"least"`          // the limit is at least this, calls per second
	SpareCapacity          float64    `toml:"spare"`          // what it could serve over its limit
	QueueTime              Duration   `toml:"queue"`          // capacity of the queue, as time at the limit's rate
	MaxConnections         int        `toml:"places"`         // of an endpoint, with idle ones; 0: unlimited
	ReportsConnectionLimit bool       `toml:"places_told"`    // a connection too many is answered so, not refused
	CountsRejected         bool       `toml:"counts_refused"` // rejected calls count for the limit
	RetryAfterShare        float64    `toml:"tells_wait"`     // share of the rejections that carry a Retry-After time
	RetryAfter             []Duration `toml:"wait"`           // [from, to]
	BatchSize              int        `toml:"batch"`          // webhooks in a call, at most
	BatchItemCost          float64    `toml:"item_cost"`      // service time of each further webhook over that of the first
	SeparateRoutes         bool       `toml:"apart"`          // each endpoint has its own limit and outages
}

// The kinds of limits of a destination.
const (
	limitRate   = "rate"   // token bucket
	limitWindow = "window" // calls in a fixed window
	limitNone   = "none"
)
