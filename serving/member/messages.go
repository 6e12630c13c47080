// Package member runs the gossip, the membership and the singleton roles of one process, which makes it a member of the
// system: it makes the calls that these state machines request, serves those of other members and runs the timer.
package member

import (
	"rowanlink/serving/gossip"
	"rowanlink/serving/membership"
	"rowanlink/serving/rpc"
)

// The calls between members. The procedures have the former name of the package.
var (
	heartbeatMethod = rpc.Method[heartbeatRequest, heartbeatResponse]{Procedure: "/rowanlink.mesh.v1/Heartbeat"}
	pushMethod      = rpc.Method[gossip.Message, pushResponse]{Procedure: "/rowanlink.mesh.v1/Push"}
	compareMethod   = rpc.Method[compareRequest, compareResponse]{Procedure: "/rowanlink.mesh.v1/Compare"}
	probeMethod     = rpc.Method[probeRequest, probeResponse]{Procedure: "/rowanlink.mesh.v1/Probe"}
	transferMethod  = rpc.Method[transferRequest, transferResponse]{Procedure: "/rowanlink.mesh.v1/Transfer"}
)

// heartbeatRequest shows a watcher that the sender is alive, and carries the checksums of its tables.
type heartbeatRequest struct {
	Heartbeat membership.Heartbeat `cbor:"1,keyasint"`
	Summary   gossip.Summary       `cbor:"2,keyasint"`
}

// heartbeatResponse acknowledges a heartbeat.
type heartbeatResponse struct {
	Ack             membership.HeartbeatAck `cbor:"1,keyasint"`
	DifferingTables []gossip.TableID        `cbor:"2,keyasint,omitempty"` // with other checksums at the receiver
}

// probeRequest requests the receiver to send a heartbeat to a member that doesn't respond to the sender.
type probeRequest struct {
	Member string `cbor:"1,keyasint"`
}

// probeResponse says whether the member has responded. One that the receiver doesn't know hasn't.
type probeResponse struct {
	Responded bool `cbor:"1,keyasint,omitempty"`
}

// pushResponse acknowledges a message: the receiver has stored its entries or has newer ones.
type pushResponse struct {
	Missing []gossip.Header `cbor:"1,keyasint,omitempty"` // the offered entries that the receiver requests
}

// compareRequest is the first call of a repair.
type compareRequest struct {
	Heartbeat membership.Heartbeat `cbor:"1,keyasint"`
	Digests   []gossip.TableDigest `cbor:"2,keyasint"`
}

// compareResponse lists the receiver's entries in the buckets that differ.
type compareResponse struct {
	Ack     membership.HeartbeatAck `cbor:"1,keyasint"`
	Buckets []gossip.BucketContents `cbor:"2,keyasint,omitempty"`
}

// transferRequest is the second call of a repair. It carries the entries that the receiver lacks and requests those
// that the sender lacks.
type transferRequest struct {
	From    string          `cbor:"1,keyasint"`
	Entries []gossip.Entry  `cbor:"2,keyasint,omitempty"`
	Missing []gossip.Header `cbor:"3,keyasint,omitempty"`
	// Ack notifies the receiver, which has just responded, whether it has to refute that it is down.
	Ack membership.HeartbeatAck `cbor:"4,keyasint"`
	// Expired names the entries that have expired at the sender, but not at the receiver.
	Expired []gossip.Header `cbor:"5,keyasint,omitempty"`
}

// transferResponse carries the requested entries and names those that have expired at the receiver, but not at the
// sender.
type transferResponse struct {
	Entries []gossip.Entry  `cbor:"1,keyasint,omitempty"`
	Expired []gossip.Header `cbor:"2,keyasint,omitempty"`
}
