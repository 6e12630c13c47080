// Package placement chooses the endpoint of each request. It does no I/O: the caller tells what the system knows
// (Update), asks for a choice (Choose) and reports what came of it (ReportProgress, Finished), each with the time of the
// steady clock.
//
// An endpoint is eligible where the operator's configuration, its own state and the bounds on cold endpoints allow
// it, its window of calls in flight has room and no told wait holds it. Among those, requests of language models go
// where the first token is expected soonest, which favors endpoints that hold the prompt's parts; others go to the
// least loaded, of a few drawn where there are many. Proxies share nothing for that: equal prefixes meet by
// rendezvous hashing, short ones at one endpoint of each region, long ones at one of the whole system until the ways
// there have cost as much as reading them in the own region.
//
// Sources: windows and waits, the users' design (package backoff); rendezvous hashing, Thaler and Ravishankar 1998;
// the bound on load, Mirrokni et al. 2018; few random choices, Mitzenmacher 2001;
// the limit on ways (ski rental), Karlin et al. 1988.
package placement

import (
	"time"

	"rowanlink/serving/routing"
	"rowanlink/serving/settings"
	"rowanlink/serving/state"
	"rowanlink/serving/subscription"
)

// Options are what a placer knows from its process's settings.
type Options struct {
	Name      string // of this proxy's machine; decides which cold endpoints it may send to where the share is small
	Zone      string
	Region    string
	Regions   map[string]string // region by zone
	Bounds    settings.Bounds
	Seed      uint64
	StartedAt time.Time // of the process; nothing goes to cold endpoints in the first second after it
}

// Snapshot is what the system knows now, whole.
type Snapshot struct {
	Routing   *routing.Table
	Endpoints []state.Endpoint
	Loads     []state.Load
	Record    *state.Record
	Proxies   subscription.ProxyCounts
}

// PrefixBlock is a part of a prompt. Equal IDs after equal parts stand for equal tokens.
type PrefixBlock struct {
	ID     string
	Tokens int
}

// Request describes what is to be placed.
type Request struct {
	Route *routing.Route
	// Service, where not empty, is the one that an earlier choice for the same request has drawn from a split.
	Service         string
	Model           string        // empty: any
	PromptTokens    int           // of all parts together
	MaxOutputTokens int           // the most
	Blocks          []PrefixBlock // in order; the last one is the request's own or its session's
	TimeLeft        time.Duration
	// QueuedFor is the time since the request was taken in. It bounds how long Choose asks to wait.
	QueuedFor      time.Duration
	TriedEndpoints []string // IDs of endpoints that were tried for this request
	Resumed        bool     // a stream is taken up again
}

// DecisionKind is what to do with a request.
type DecisionKind uint8

// The verdicts.
const (
	Picked DecisionKind = iota // send it to the choice
	Wait                       // ask again after Verdict.Delay
	Reject                     // refuse it and tell the client to come back after Verdict.Delay
)

// Decision is the answer to a request for a choice.
type Decision struct {
	Kind  DecisionKind
	Delay time.Duration
}

// Choice is the endpoint that a request goes to.
type Choice struct {
	Endpoint    state.Endpoint
	Reservation Reservation
	// ExpectedFirstByte is the estimated time until the first byte of the answer.
	ExpectedFirstByte time.Duration
	// Quick: the prompt is read in a moment and should go first in the endpoint's queue, whatever its route's rank.
	ShortPrefill bool
}

// Reservation stands for a call that was chosen. Each must end in Finished. The zero value is ignored.
type Reservation struct{ call *call }

// call is one request at one endpoint, from the choice to its end.
type call struct {
	endpoint          *endpoint
	sentAt            time.Time
	priority          int  // level of urgency
	gotFirstByte      bool // a first byte came
	finished          bool
	uncachedTokens    int           // prompt tokens that the endpoint is believed to read
	reservedTokens    int           // memory that the call may take
	tokensAhead       int           // tokens of own calls that were unread when it was sent
	modeledFirstByte  time.Duration // until the first byte, without the waiting that was seen of late
	expectedFirstByte time.Duration // the same with it
	pathLatency       time.Duration
}
