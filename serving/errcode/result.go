// Package errcode numbers the errors that the system's programs give to callers. docs/result-codes.md lists every
// number with its meaning and what to do; a test holds the two together. Each part of the system has a block of
// a hundred numbers in a file of its own.
package errcode

import (
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Code is the number of a kind of error.
type Code uint16

// Kind is one line of the table.
type Kind struct {
	Code    Code
	Status  int // HTTP status under which callers get it
	Message string
}

// kinds holds all kinds by number.
var kinds = map[Code]Kind{}

// define adds a kind to the table. A number used twice is a programming error.
func define(code Code, status int, message string) Kind {
	if _, taken := kinds[code]; taken {
		panic("result code defined twice")
	}
	kind := Kind{Code: code, Status: status, Message: message}
	kinds[code] = kind
	return kind
}

// All returns the table.
func All() map[Code]Kind { return kinds }

// Error is an error of a numbered kind.
type Error struct {
	Kind   Kind
	Detail string
}

// Error is the text for people.
func (e *Error) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("R%04d %s", e.Kind.Code, e.Kind.Message)
	}
	return fmt.Sprintf("R%04d %s: %s", e.Kind.Code, e.Kind.Message, e.Detail)
}

// With makes an error of the kind with a detail.
func (k Kind) With(format string, of ...any) error {
	return &Error{Kind: k, Detail: fmt.Sprintf(format, of...)}
}

// Is tells whether an error is of the kind.
func (k Kind) Is(err error) bool {
	var numbered *Error
	return errors.As(err, &numbered) && numbered.Kind.Code == k.Code
}

// Of returns the numbered error in a chain, or Internal round one that has none.
func Of(err error) *Error {
	var numbered *Error
	if errors.As(err, &numbered) {
		return numbered
	}
	return &Error{Kind: Internal, Detail: err.Error()}
}

// Internal stands for an error that no kind describes.
var Internal = define(1, http.StatusInternalServerError, "internal error")
