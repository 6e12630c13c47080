package engine

import (
	"maps"
	"slices"
)

// Fault is one fault that is injected. Its kind tells which of the other fields apply; see docs/experiments.md.
type Fault struct {
	Kind     string   `toml:"kind"`
	At       Duration `toml:"at"`
	Duration Duration `toml:"for"`

	// The destinations that have the fault: those with the given numbers, the busiest, or a random share; all of them only
	// in one zone or of one kind where these are set.
	Destinations    []int   `toml:"destinations,omitempty"`
	Busiest         int     `toml:"busiest,omitempty"`
	Share           float64 `toml:"share,omitempty"`
	Zone            string  `toml:"zone,omitempty"`
	DestinationKind string  `toml:"of_kind,omitempty"`
	SingleEndpoint  bool    `toml:"one,omitempty"` // only one endpoint of each
	// The dispatchers that have the fault.
	Dispatchers []int `toml:"dispatchers,omitempty"`

	Magnitude       float64  `toml:"size,omitempty"`    // slow, burst: factor; limit: share that is left; others: share
	Period          Duration `toml:"every,omitempty"`   // flap: down for one half of it, up for the other
	DrainTime       Duration `toml:"drain,omitempty"`   // replace, restart: from draining to the end
	UpdateDelay     Duration `toml:"delay,omitempty"`   // list_late: added to the delay of endpoint updates
	StartupListAge  Duration `toml:"stale,omitempty"`   // kill, restart: added to the age of the list at the next start
	Address         string   `toml:"address,omitempty"` // replace: new or same
	KeepsState      bool     `toml:"journal,omitempty"` // kill: the next incarnation has the persisted state
	DuringIteration bool     `toml:"in_turn,omitempty"` // kill: in the next iteration that accepts a webhook
	Unresponsive    bool     `toml:"silent,omitempty"`  // down: connects time out instead of being refused
}

// The kinds of faults.
const (
	FaultDown          = "down"      // the process is gone
	FaultHang          = "hang"      // nothing is answered
	FaultClosed        = "shut"      // all calls are rejected
	FaultSlow          = "slow"      // longer service times
	FaultErrors        = "errors"    // a share of the calls fails
	FaultResets        = "resets"    // a share of the connections breaks
	FaultLostResponses = "lost"      // a share of the calls is served without a response
	FaultLimit         = "limit"     // a lower limit
	FaultFlap          = "flap"      // down and up, again and again
	FaultReplace       = "replace"   // endpoints drain, and new ones take their place
	FaultKill          = "kill"      // dispatchers end at once
	FaultRestart       = "restart"   // dispatchers shut down gracefully and start again
	FaultPause         = "freeze"    // dispatchers stand still
	FaultLateUpdates   = "list_late" // endpoint updates reach dispatchers late
	FaultBurst         = "burst"     // more arrivals
	FaultHotSpot       = "hot"       // a share of all arrivals goes to some destinations
)

// The addresses of the endpoint that takes the place of a replaced one.
const (
	addressNew  = "new"
	addressSame = "same"
)

// FaultNeeds tells which fields a kind of fault requires: targets among endpoints or dispatchers, a magnitude, and
// whether that is a share.
type FaultNeeds struct{ Endpoints, Dispatchers, Magnitude, Share bool }

var (
	needsEndpoints     = FaultNeeds{Endpoints: true}
	needsEndpointShare = FaultNeeds{Endpoints: true, Magnitude: true, Share: true}
	needsDispatchers   = FaultNeeds{Dispatchers: true}
)

var faultNeeds = map[string]FaultNeeds{
	FaultDown:          needsEndpoints,
	FaultHang:          needsEndpoints,
	FaultClosed:        needsEndpoints,
	FaultSlow:          {Endpoints: true, Magnitude: true},
	FaultErrors:        needsEndpointShare,
	FaultResets:        needsEndpointShare,
	FaultLostResponses: needsEndpointShare,
	FaultLimit:         needsEndpointShare,
	FaultFlap:          needsEndpoints,
	FaultReplace:       needsEndpoints,
	FaultKill:          needsDispatchers,
	FaultRestart:       needsDispatchers,
	FaultPause:         needsDispatchers,
	FaultLateUpdates:   needsDispatchers,
	FaultBurst:         {Magnitude: true},
	FaultHotSpot:       needsEndpointShare,
}

// NeedsOf returns what a kind of fault requires.
func NeedsOf(kind string) FaultNeeds { return faultNeeds[kind] }

// FaultKinds returns all kinds of faults, sorted.
func FaultKinds() []string { return slices.Sorted(maps.Keys(faultNeeds)) }
