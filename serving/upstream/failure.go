package upstream

import (
	"fmt"

	"rowanlink/serving/attempt"
)

// Failure is the reason why a call has no response that can be relayed, or no complete one.
type Failure struct {
	Outcome   attempt.Outcome
	Abandoned bool  // the progress timeout ended the attempt before its deadline
	Cause     error // nil if the outcome follows from the endpoint's response
}

// Error returns the outcome and its cause.
func (f *Failure) Error() string {
	if f.Cause == nil {
		return f.Outcome.String()
	}
	return fmt.Sprintf("%s: %v", f.Outcome, f.Cause)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }
