package fsm

import (
	"errors"

	"rowanlink/cluster"
	"rowanlink/cluster/lease"
)

// ErrUnreadable means that a command or snapshot can't be decoded or is invalid; nothing was changed.
var ErrUnreadable = lease.ErrUnreadable

// codedErrors lists the errors in the order of their codes, which begin at 1. Members exchange the codes, so the
// meaning of a code must never change.
var codedErrors = []error{
	cluster.ErrFenced,
	cluster.ErrNotFound,
	cluster.ErrAlreadyHeld,
	cluster.ErrStale,
	ErrUnreadable,
}

const unreadableCode = 5

// ErrorCode returns the code by which an error is sent to other members; 0 means no error. An error without a code of
// its own gets that of ErrUnreadable.
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

// ErrorFromCode returns the error of a code. It returns ErrUnreadable for a code that only a newer program knows.
func ErrorFromCode(code uint16) error {
	if code == 0 {
		return nil
	}
	if int(code) > len(codedErrors) {
		code = unreadableCode
	}
	return codedErrors[code-1]
}
