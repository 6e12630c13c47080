package upstream

import (
	"fmt"

	"rowanlink/serving/attempt"
)

// Failure tells why a request got no answer that could be passed on.
type Failure struct {
	Outcome attempt.Outcome
	// Abandoned: the caller's patience ended the attempt before its deadline.
	Abandoned bool
	Cause     error // nil where the endpoint's answer says it all
}

// Error is the text for people.
func (f *Failure) Error() string {
	if f.Cause == nil {
		return f.Outcome.String()
	}
	return fmt.Sprintf("%s: %v", f.Outcome, f.Cause)
}

// Unwrap is the cause.
func (f *Failure) Unwrap() error { return f.Cause }
