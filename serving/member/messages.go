// Package member runs the spread of updates, the membership and the singleton duties of one process: it makes the
// calls that their engines ask for, answers those of other members and keeps the timer.
package member

import (
	"rowanlink/serving/gossip"
	"rowanlink/serving/membership"
	"rowanlink/serving/rpc"
)

// The calls between members.
var (
	heartbeatMethod = rpc.Method[heartbeatRequest, heartbeatResponse]{Procedure: "/rowanlink.mesh.v1/Heartbeat"}
	pushMethod      = rpc.Method[gossip.Message, pushResponse]{Procedure: "/rowanlink.mesh.v1/Push"}
	compareMethod   = rpc.Method[compareRequest, compareResponse]{Procedure: "/rowanlink.mesh.v1/Compare"}
	transferMethod  = rpc.Method[transferRequest, transferResponse]{Procedure: "/rowanlink.mesh.v1/Transfer"}
)

// heartbeatRequest tells a watcher that the sender lives, and sums up what it knows.
type heartbeatRequest struct {
	Heartbeat membership.Heartbeat `cbor:"1,keyasint"`
	Summary   gossip.Summary       `cbor:"2,keyasint"`
}

type heartbeatResponse struct {
	Ack             membership.HeartbeatAck `cbor:"1,keyasint"`
	DifferingTables []gossip.TableID        `cbor:"2,keyasint,omitempty"` // tables in which the receiver knows other things
}

// pushResponse acknowledges a message: the receiver has its entries now, or newer ones.
type pushResponse struct {
	Missing []gossip.Header `cbor:"1,keyasint,omitempty"` // of the entries offered
}

// newCompareRequest begins a repair.
type compareRequest struct {
	Heartbeat membership.Heartbeat `cbor:"1,keyasint"`
	Digests   []gossip.TableDigest `cbor:"2,keyasint"`
}

// compareResponse lists what the receiver has in the buckets that differ.
type compareResponse struct {
	Ack     membership.HeartbeatAck `cbor:"1,keyasint"`
	Buckets []gossip.BucketContents `cbor:"2,keyasint,omitempty"`
}

// transferRequest ends a repair: entries that the receiver lacks, and names of those that the sender wants.
type transferRequest struct {
	From    string          `cbor:"1,keyasint"`
	Entries []gossip.Entry  `cbor:"2,keyasint,omitempty"`
	Missing []gossip.Header `cbor:"3,keyasint,omitempty"`
	// Ack tells the receiver, which has just answered, if the sender took it for dead.
	Ack membership.HeartbeatAck `cbor:"4,keyasint"`
	// Expired names what has expired at the sender, but not at the receiver.
	Expired []gossip.Header `cbor:"5,keyasint,omitempty"`
}

// transferResponse carries what was wanted, and names what has expired at the receiver, but not at the sender.
type transferResponse struct {
	Entries []gossip.Entry  `cbor:"1,keyasint,omitempty"`
	Expired []gossip.Header `cbor:"2,keyasint,omitempty"`
}
