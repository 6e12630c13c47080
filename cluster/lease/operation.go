package lease

import (
	"errors"
	"fmt"

	"rowanlink/cluster"
	"rowanlink/internal/strictcbor"
)

// Incarnation identifies one process of a member. Each process picks a random one when it starts and never stores it:
// two processes that run from the same data folder must not share a session.
type Incarnation uint64

// LeaderEpoch identifies a period in which one raft node leads. It is the log index of the entry that began the
// period, or a higher number (see Table); 0 means that none has begun yet.
type LeaderEpoch uint64

// ExpiredSession is a session whose TTL has run out, and the leader epoch in which the expiry was found.
type ExpiredSession struct {
	Session     cluster.SessionID
	LeaderEpoch LeaderEpoch
}

// Operation is the body of a log entry for the lease component.
type Operation struct {
	Kind        OperationKind      `cbor:"1,keyasint"`
	Member      cluster.MemberID   `cbor:"2,keyasint,omitempty"`
	Incarnation Incarnation        `cbor:"3,keyasint,omitempty"`
	Session     cluster.SessionID  `cbor:"4,keyasint,omitempty"`
	Resources   []cluster.Resource `cbor:"5,keyasint,omitempty"`
	Epoch       cluster.Epoch      `cbor:"6,keyasint,omitempty"`
	LeaderEpoch LeaderEpoch        `cbor:"7,keyasint,omitempty"`
}

// OperationKind selects what an Operation does.
type OperationKind uint8

// The kinds of operations. Their numbers are stored in the log.
const (
	OpOpenSession OperationKind = iota + 1
	OpEndSession
	OpAcquire
	OpRelease
	OpBeginLeaderEpoch
	OpExpireSession
)

// Grant is the outcome of acquiring the lease on one resource. Epoch 0 means that another session holds the lease.
type Grant struct {
	Resource cluster.Resource `cbor:"1,keyasint"`
	Epoch    cluster.Epoch    `cbor:"2,keyasint,omitempty"`
}

// Err returns cluster.ErrAlreadyHeld if another session holds the lease.
func (g Grant) Err() error {
	if g.Epoch == 0 {
		return cluster.ErrAlreadyHeld
	}
	return nil
}

// Result is the outcome of an operation, which its proposer receives.
type Result struct {
	Session     cluster.SessionID `cbor:"1,keyasint"`           // opened, or the one that the operation is about
	Grants      []Grant           `cbor:"2,keyasint,omitempty"` // of OpAcquire
	LeaderEpoch LeaderEpoch       `cbor:"3,keyasint,omitempty"` // of OpBeginLeaderEpoch
}

// ErrUnreadable means that an operation, result or snapshot can't be decoded or is invalid; nothing was changed.
var ErrUnreadable = errors.New("unreadable or invalid")

// The limits of one operation, so that no single entry can exhaust the raft nodes' memory.
const (
	maxNameLength = 256 // bytes
	maxResources  = 4096
)

// maxArrayElements bounds what is allocated for the arrays of a damaged or forged entry.
const maxArrayElements = 1 << 20

// codec encodes and decodes operations, results and snapshots.
var codec = strictcbor.New(strictcbor.Options{RejectUnknownFields: true, MaxArrayElements: maxArrayElements})

// DecodeResult decodes the result of Table.Apply. It returns ErrUnreadable if that is malformed.
func DecodeResult(b []byte) (r Result, err error) {
	if err = codec.Unmarshal(b, &r); err != nil {
		return Result{}, fmt.Errorf("result of a lease operation: %w: %w", ErrUnreadable, err)
	}
	return r, nil
}

func decodeOperation(body []byte) (op Operation, err error) {
	if err = codec.Unmarshal(body, &op); err != nil {
		return Operation{}, fmt.Errorf("lease operation: %w: %w", ErrUnreadable, err)
	}
	if err := op.validate(); err != nil {
		return Operation{}, err
	}
	return op, nil
}

// validate returns ErrUnreadable if the operation lacks a field that its kind requires, or has one that its kind does
// not use, so that all raft nodes reject the same entries.
func (op *Operation) validate() error {
	resources, ok := op.expectedResources()
	if !ok {
		return fmt.Errorf("lease operation of kind %d: %w", op.Kind, ErrUnreadable)
	}
	opensSession := op.Kind == OpOpenSession
	needsSession := !opensSession && op.Kind != OpBeginLeaderEpoch
	valid := len(op.Resources) == resources &&
		(op.Member != "") == opensSession &&
		(op.Session != 0) == needsSession &&
		(opensSession || op.Incarnation == 0) &&
		(op.Epoch != 0) == (op.Kind == OpRelease) &&
		(op.LeaderEpoch != 0) == (op.Kind == OpExpireSession) &&
		len(op.Member) <= maxNameLength
	if !valid {
		return fmt.Errorf("lease operation of kind %d has a missing or an unexpected field: %w", op.Kind, ErrUnreadable)
	}
	for _, resource := range op.Resources {
		if resource == "" || len(resource) > maxNameLength {
			return fmt.Errorf("lease operation: the name of a resource is empty or too long: %w", ErrUnreadable)
		}
	}
	return nil
}

// expectedResources returns how many resources an operation of its kind must name; for OpAcquire that is their actual
// number, if it is within the limits. It returns false for an unknown kind.
func (op *Operation) expectedResources() (count int, ok bool) {
	switch op.Kind {
	case OpOpenSession, OpEndSession, OpBeginLeaderEpoch, OpExpireSession:
		return 0, true
	case OpAcquire:
		return min(max(len(op.Resources), 1), maxResources), true
	case OpRelease:
		return 1, true
	default:
		return 0, false
	}
}
