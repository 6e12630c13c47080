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

// Span is a time in a scenario, written like "250ms".
type Span api.Micros

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

func (s Span) us() api.Micros { return api.Micros(s) }

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
	Homes        Homes        `toml:"homes,omitempty"`
}

// Homes has each destination called by one dispatcher only, its home. Left out, each dispatcher has an even
// part of each rate.
type Homes struct {
	Term   Span    `toml:"term"`   // of a session: what a lost home had goes to another after it; 0: no homes
	Ranges int     `toml:"ranges"` // of key hashes, for each dispatcher
	Hop    float64 `toml:"hop"`    // a message between dispatchers takes so many ways as one to an endpoint
	Lost   float64 `toml:"lost"`   // share of these messages that are lost
	Apart  float64 `toml:"apart"`  // by how much clocks may run apart, as a share
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
// docs/experiments.md.
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

// Need says which fields of a trouble its kind asks for.
type Need struct{ Endpoints, Dispatchers, Size, Share bool }

// Needs of a kind of trouble.
func Needs(kind string) Need { return troubles[kind] }

// TroubleKinds are the names of all kinds of trouble, in order.
func TroubleKinds() []string { return slices.Sorted(maps.Keys(troubles)) }
