package placement

import (
	"time"

	"rowanlink/serving/routing"
	"rowanlink/serving/state"
)

// PrefixBlock is a block of a prompt. Two blocks with the same ID stand for the same tokens if all blocks before them
// are the same too.
type PrefixBlock struct {
	ID     string
	Tokens int
}

// Request describes a request that needs an endpoint.
type Request struct {
	Route *routing.Route
	// Service is the service that an earlier call of Pick for this request chose from a split route; empty: none.
	Service         string
	Model           string        // empty: any model
	PromptTokens    int           // of all blocks together; zero: the sum of Blocks
	MaxOutputTokens int           // of the response, or of the part of it that the client has not received yet
	Blocks          []PrefixBlock // in order; all but the last may be shared with requests of other sessions
	TimeLeft        time.Duration // until the request's deadline
	// QueuedFor is the time since the request arrived. Together with TimeLeft it is the time that the client gave the
	// request.
	QueuedFor      time.Duration
	TriedEndpoints []string // IDs of the endpoints that earlier attempts went to
	Resumed        bool     // the request continues a stream whose first part the client has received
	// Version is the software version of the endpoint that has sent that first part. If there has been a roll-out of the
	// service, the stream is resumed on the same version only.
	Version string
	// Waited: the last call of Pick for this request has decided to wait.
	Waited bool
	// Ticket is the one of the last decision to wait; nil: none.
	Ticket *Ticket
}

// DecisionKind is how a request proceeds after Pick.
type DecisionKind uint8

// The kinds of decisions.
const (
	Picked DecisionKind = iota // send the request to the chosen endpoint
	Wait                       // call Pick again after Decision.Delay, or once Decision.Ticket is ready
	Reject                     // reject the request with Decision.Delay as its Retry-After
)

// Decision is the result of Pick.
type Decision struct {
	Kind  DecisionKind
	Delay time.Duration
	// Ticket is the request's place in the queue for a free slot; nil: it waits for something else.
	Ticket *Ticket
	// Service is the one that a request waits for, see Request.Service.
	Service string
}

// Choice is the endpoint that a request goes to.
type Choice struct {
	Endpoint    state.Endpoint
	Reservation Reservation
	// ExpectedFirstByte is the estimated time until the first byte of the response.
	ExpectedFirstByte time.Duration
	// FirstByteDeviation is the mean deviation from that time of the service's recent responses.
	FirstByteDeviation time.Duration
	// ExpectedCallTime is the estimated time until the end of the response.
	ExpectedCallTime time.Duration
}

// Reservation stands for a call's share of its endpoint's capacity. Each must end in Picker.ReportOutcome. The zero
// value is ignored.
type Reservation struct{ call *call }

// call is one request at one endpoint, from Pick to its end.
type call struct {
	endpoint     *endpoint
	route        string // name
	isLoadProbe  bool   // it was sent to put load on an endpoint in a roll-out's load step
	sentAt       time.Time
	priority     int  // 0 is the highest
	gotFirstByte bool // the response has begun
	firstByteAt  time.Time
	finished     bool

	uncachedTokens int // prompt tokens that the endpoint is expected to prefill
	outputTokens   int // the most tokens of the response
	reservedTokens int // KV cache that the call may fill
	tokensAhead    int // prompt tokens of this proxy's earlier calls that were not prefilled when the call was sent

	modeledFirstByte  time.Duration // estimated time to first byte without the recent queueing delay
	expectedFirstByte time.Duration // estimated time to first byte including it
	pathLatency       time.Duration // round trip and connection handling
}
