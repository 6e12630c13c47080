package fsm

import (
	"errors"

	"rowanlink/cluster"
	"rowanlink/cluster/lease"
)

// ErrUnreadable means that a command or snapshot can't be decoded or is invalid; nothing was changed.
var ErrUnreadable = lease.ErrUnreadable

// codedErrors lists the errors by their code, from 1. Members exchange the codes: none ever gets another meaning.
var codedErrors = []error{
	cluster.ErrFenced,
	cluster.ErrNotFound,
	cluster.ErrAlreadyHeld,
	cluster.ErrStale,
	ErrUnreadable,
}

const unreadableCode = 5

// ErrorCode returns the code of an error for other members; 0: no error. Errors without a code of their own get
// that of ErrUnreadable.
func ErrorCode(err error) uint16 {
	if err == nil {
		return 0
	}
	for i, coded := range codedErrors {
		if errors.Is(err, coded) {
			return uint16(i + 1)
		}
	}
	return unreadableCode
}

// ErrorFromCode returns the error of a code; ErrUnreadable for a code of a newer program.
func ErrorFromCode(code uint16) error {
	if code == 0 {
		return nil
	}
	if int(code) > len(codedErrors) {
		code = unreadableCode
	}
	return codedErrors[code-1]
}
