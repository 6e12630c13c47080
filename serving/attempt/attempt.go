// Package attempt names the outcomes of sending a request to an endpoint once.
package attempt

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes.
const (
	// Succeeded: a complete response with a status below 500.
	Succeeded Outcome = iota
	// Failed: a 5xx status without the header that marks the request as not delivered. The endpoint ran the request and
	// reports an error of its own.
	Failed
	// Rejected: 503, 429 or 400 with that header. The endpoint is full, or the deadline passed in its queue.
	Rejected
	// Misdirected: 421. The address belongs to another incarnation of the endpoint or serves other model weights. The
	// outcome says nothing about the endpoint's health.
	Misdirected
	// ConnectFailed: no connection was established, so nothing was sent.
	ConnectFailed
	// Broken: the connection broke after something was sent, or the response was invalid.
	Broken
	// TimedOut: no response, or no further part of it, arrived in time.
	TimedOut
	// Canceled: the client disconnected.
	Canceled
	// AtConnectionLimit: this process has reached its own limit on connections. Nothing was sent, and the outcome says
	// nothing about the endpoint's health.
	AtConnectionLimit
	// OutcomeCount is the number of outcomes.
	OutcomeCount
)

// outcomeNames are the names in logs, by Outcome.
var outcomeNames = [...]string{
	Succeeded:         "succeeded",
	Failed:            "failed",
	Rejected:          "refused",
	Misdirected:       "misdirected",
	ConnectFailed:     "connect_failed",
	Broken:            "broken",
	TimedOut:          "timed_out",
	Canceled:          "canceled",
	AtConnectionLimit: "at_limit",
}

// NeverRan reports whether the outcome proves that the endpoint has not run the request and never will.
func (o Outcome) NeverRan() bool {
	return o == Rejected || o == Misdirected || o == ConnectFailed || o == AtConnectionLimit
}

// String returns the outcome's name in logs.
func (o Outcome) String() string { return outcomeNames[o] }
