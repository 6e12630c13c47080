package cluster

import "errors"

// ComponentID identifies a component of the replicated state in log entries, snapshots and messages between members.
type ComponentID byte

// The ids of the components.
const (
	LeaseComponent     ComponentID = 'L'
	ShardMapComponent  ComponentID = 'R'
	RebalanceComponent ComponentID = 'P'
	StreamComponent    ComponentID = 'S'
)

// Command is one entry of the raft log, addressed to a component. If FencedBy is set, the command is applied
// only while the lease on that resource is held and its last grant had this Epoch, so that a late proposal of
// an earlier lease holder changes nothing.
type Command struct {
	Component ComponentID `cbor:"1,keyasint"`
	FencedBy  Resource    `cbor:"2,keyasint,omitempty"`
	Epoch     Epoch       `cbor:"3,keyasint,omitempty"`
	Body      []byte      `cbor:"4,keyasint"`
}

// The errors with which a command is rejected. A rejected command has changed nothing.
var (
	ErrFenced      = errors.New("a later epoch of the lease was granted, or it is not held")
	ErrNotFound    = errors.New("no such session, range, step or site")
	ErrAlreadyHeld = errors.New("another member holds the lease")
	ErrStale       = errors.New("the shard map or the move has changed since")
)

// Component is one deterministic part of the replicated state machine.
type Component interface {
	// Apply executes a command; index is that of its log entry and increases from call to call. It must have
	// the same effect on each raft node, so it must not depend on a clock, on random numbers or on the iteration
	// order of a map. The result is returned to the proposer. If it returns an error, nothing was changed.
	Apply(index uint64, body []byte) (result []byte, err error)
	// Snapshot returns the encoded state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by that of a snapshot. If it returns an error, the state is unchanged.
	Restore(snapshot []byte) error
}
