// Package attempt names what can come of sending a request to an endpoint once.
package attempt

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes.
const (
	Succeeded     Outcome = iota // an answer below 500, whole
	Failed                       // the endpoint's own error (5xx without the mark "not delivered"): it ran
	Rejected                     // 503, 429 or 400 marked "not delivered": the endpoint is full or the deadline passed in its queue
	Misdirected                  // 421: another incarnation has the address, or other weights; says nothing of its health
	ConnectFailed                // no connection came up; nothing was sent
	Broken                       // the connection broke after something was sent, or the answer was no answer
	TimedOut                     // no answer, or no further part of it, in time
	Canceled                     // the client left
	AtLimit                      // this process may open no connection: the endpoint was not asked, and it says nothing of it
)

// NeverRan tells whether the outcome proves that the endpoint did not and will not run the request.
func (o Outcome) NeverRan() bool {
	return o == Rejected || o == Misdirected || o == ConnectFailed || o == AtLimit
}

// String names the outcome in logs.
func (o Outcome) String() string {
	return [...]string{"succeeded", "failed", "refused", "misdirected", "connect_failed", "broken", "timed_out",
		"canceled", "at_limit"}[o]
}
