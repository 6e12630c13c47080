package cluster

import "errors"

// ComponentID names a component of the replicated state in log entries, snapshots and messages between members.
type ComponentID byte

// The components.
const (
	LeaseComponent     ComponentID = 'L'
	ShardMapComponent  ComponentID = 'R'
	RebalanceComponent ComponentID = 'P'
	StreamComponent    ComponentID = 'S'
)

// Command is one entry of the log, addressed to a component. If FencedBy is set, the command is applied only
// while the lease on that resource is held and its last grant had this Epoch: a late proposal of an earlier
// lease holder changes nothing.
type Command struct {
	Component ComponentID `cbor:"1,keyasint"`
	FencedBy  Resource    `cbor:"2,keyasint,omitempty"`
	Epoch     Epoch       `cbor:"3,keyasint,omitempty"`
	Body      []byte      `cbor:"4,keyasint"`
}

// The errors with which a command is rejected. Each means that nothing was changed.
var (
	ErrFenced      = errors.New("a later epoch of the lease was granted, or it is not held")
	ErrNotFound    = errors.New("no such session, range, step or site")
	ErrAlreadyHeld = errors.New("another member holds the lease")
	ErrStale       = errors.New("the shard map or the move has changed since")
)

// Component is one deterministic part of the replicated state machine.
type Component interface {
	// Apply executes a command. The index of its log entry only rises. It must have the same effect on each
	// raft node: it may depend neither on a clock nor on random numbers nor on the iteration order of a map.
	// The result goes to the proposer. With an error nothing was changed.
	Apply(index uint64, body []byte) (result []byte, err error)
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot. With an error the state is as it was.
	Restore(snapshot []byte) error
}
