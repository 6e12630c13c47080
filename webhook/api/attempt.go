package api

// Outcome is how a delivery attempt ended.
type Outcome uint8

// The outcomes. Their numbers are stored and sent over the network, so they must never change.
const (
	Delivered         Outcome = iota
	ErrorResponse             // the destination answered with an error; the attempt may have taken effect
	Rejected                  // the destination refused the attempt because of a limit, without processing it
	TimedOut                  // no answer in time; the attempt may still take effect
	ConnectFailed             // no connection was established in time
	ConnectionReset           // the connection broke while the attempt was in flight
	Cancelled                 // cancelled by this dispatcher
	NotSent                   // the attempt was not made: no free slot, too late, or too many attempts
	ConnectionLimited         // the endpoint answered that it accepts no further connections
)

// NeverRan reports whether the outcome proves that the attempt took no effect.
func (o Outcome) NeverRan() bool {
	return o == Rejected || o == ConnectFailed || o == NotSent || o == ConnectionLimited
}

// MayStillRun reports whether the destination may still be processing an attempt that has ended with the outcome.
func (o Outcome) MayStillRun() bool { return o == TimedOut || o == ConnectionReset || o == Cancelled }

// AttemptResult is the result of one delivery attempt.
type AttemptResult struct {
	Webhook  WebhookID
	Endpoint EndpointID
	Outcome  Outcome
	Latency  Micros // from the start of the attempt
	// Final is set if the webhook has its final answer with this result, so that it needs no further attempt.
	Final bool
	// RetryAfter is the delay that the destination requested before the next call; 0 if it requested none.
	RetryAfter Micros
}
