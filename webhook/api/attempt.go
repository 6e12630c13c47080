package api

// Outcome is how a delivery attempt ended.
type Outcome uint8

// Outcomes. The numbers are stored and sent: they never change.
const (
	Delivered         Outcome = iota
	ErrorResponse             // answered with an error; it may have taken effect
	Rejected                  // turned down unprocessed, for a limit
	TimedOut                  // no answer in time; it may still take effect
	ConnectFailed             // no connection in time
	ConnectionReset           // the connection broke while the attempt was in flight
	Cancelled                 // cancelled by this dispatcher
	NotSent                   // not made: no slot, too late, or too many attempts
	ConnectionLimited         // the endpoint answered that it accepts no further connection
)

// NeverRan reports whether the outcome proves that the attempt took no effect.
func (o Outcome) NeverRan() bool {
	return o == Rejected || o == ConnectFailed || o == NotSent || o == ConnectionLimited
}

// MayStillRun reports whether the destination may go on working on the attempt after the outcome.
func (o Outcome) MayStillRun() bool { return o == TimedOut || o == ConnectionReset || o == Cancelled }

// AttemptResult is the end of one delivery attempt.
type AttemptResult struct {
	Webhook  WebhookID
	Endpoint EndpointID
	Outcome  Outcome
	Latency  Micros // from the start of the attempt
	// Final is set where the webhook has its final answer and needs no further attempt.
	Final bool
	// RetryAfter is the delay before the next call that the destination asked for; 0: none.
	RetryAfter Micros
}
