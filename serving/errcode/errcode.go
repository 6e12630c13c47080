// Package errcode numbers the errors that the programs of the serving system return to callers or report when they
// start. docs/result-codes.md lists every number with its message and what to do; a test of serving/catalogue compares
// the two. Each part of the system has a range of a hundred numbers; each file of this package defines one range or a
// part of one.
package errcode

import (
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Code is the number of a kind of error. Numbers are part of the API and never change.
type Code uint16

// Kind is a numbered kind of error.
type Kind struct {
	Code    Code
	Status  int    // HTTP status of responses with this error
	Message string // what went wrong, in a few words; an Error's detail follows it
}

// kinds holds all kinds by number.
var kinds = map[Code]Kind{}

// define registers a kind. It panics if the number is in use already.
func define(code Code, status int, message string) Kind {
	if _, exists := kinds[code]; exists {
		panic("error code defined twice")
	}
	kind := Kind{Code: code, Status: status, Message: message}
	kinds[code] = kind
	return kind
}

// All returns all kinds by number. The caller must not change the map.
func All() map[Code]Kind { return kinds }

// Error is an error of a numbered kind.
type Error struct {
	Kind   Kind
	Detail string // may be empty
}

// Error implements error: the number, the kind's message and the detail.
func (e *Error) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("R%04d %s", e.Kind.Code, e.Kind.Message)
	}
	return fmt.Sprintf("R%04d %s: %s", e.Kind.Code, e.Kind.Message, e.Detail)
}

// With returns an *Error of the kind with a formatted detail.
func (k Kind) With(format string, args ...any) error {
	return &Error{Kind: k, Detail: fmt.Sprintf(format, args...)}
}

// Is reports whether the error chain of err has an *Error of the kind.
func (k Kind) Is(err error) bool {
	var numbered *Error
	return errors.As(err, &numbered) && numbered.Kind.Code == k.Code
}

// Of returns the *Error in the error chain of err. If there is none, it returns one of kind Internal with err's text as
// its detail.
func Of(err error) *Error {
	var numbered *Error
	if errors.As(err, &numbered) {
		return numbered
	}
	return &Error{Kind: Internal, Detail: err.Error()}
}

// Internal is the kind of errors that have no kind of their own.
var Internal = define(1, http.StatusInternalServerError, "internal error")
