package endpoint

import (
	"fmt"
	"time"
)

// RequestPhase is what has become of a request at an endpoint.
type RequestPhase uint8

// The phases.
const (
	Rejected    RequestPhase = iota // the endpoint is full or the deadline passed in the queue; the request has not run
	Misdirected                     // meant for another endpoint; the request has not run
	Started                         // runs now
	Completed                       // has run, and the response was sent completely
	Abandoned                       // the caller disconnected, or the deadline passed, while it ran
)

var phaseNames = map[RequestPhase]string{
	Rejected:    "refused",
	Misdirected: "misdirected",
	Started:     "began",
	Completed:   "done",
	Abandoned:   "abandoned",
}

// String returns the phase's name.
func (p RequestPhase) String() string { return phaseNames[p] }

// RequestEvent reports a phase of a request.
type RequestEvent struct {
	At             time.Time
	Endpoint       string // ID of the incarnation
	Attempt        string // the client's attempt ID
	Path           string
	Phase          RequestPhase
	UncachedTokens int // if Started: prompt tokens that were not cached
}

// String returns the event as a line of text.
func (e RequestEvent) String() string {
	return fmt.Sprintf("%s %s %s at %s", e.Attempt, e.Path, e.Phase, e.Endpoint)
}
