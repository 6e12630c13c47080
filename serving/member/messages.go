// Package member makes a process a member of the system. The state machines of packages gossip, membership and singleton
// decide what to do, without I/O. This package combines them in one node, runs the node on a goroutine with a timer, makes
// the calls to other members that the node decides on, and serves the calls of other members.
package member

import (
	"rowanlink/serving/gossip"
	"rowanlink/serving/membership"
	"rowanlink/serving/rpc"
)

// The calls between members. Their names on the wire contain "mesh", the former name of this package.
var (
	heartbeatMethod = rpc.Method[heartbeatRequest, heartbeatResponse]{Procedure: "/rowanlink.mesh.v1/Heartbeat"}
	pushMethod      = rpc.Method[gossip.Message, pushResponse]{Procedure: "/rowanlink.mesh.v1/Push"}
	compareMethod   = rpc.Method[compareRequest, compareResponse]{Procedure: "/rowanlink.mesh.v1/Compare"}
	probeMethod     = rpc.Method[probeRequest, probeResponse]{Procedure: "/rowanlink.mesh.v1/Probe"}
	transferMethod  = rpc.Method[transferRequest, transferResponse]{Procedure: "/rowanlink.mesh.v1/Transfer"}
)

// heartbeatRequest shows the receiver, mostly a watcher of the sender, that the sender is alive. It carries the checksums of
// the sender's tables.
type heartbeatRequest struct {
	Heartbeat membership.Heartbeat `cbor:"1,keyasint"`
	Summary   gossip.Summary       `cbor:"2,keyasint"`
}

// heartbeatResponse acknowledges a heartbeat.
type heartbeatResponse struct {
	Ack             membership.HeartbeatAck `cbor:"1,keyasint"`
	DifferingTables []gossip.TableID        `cbor:"2,keyasint,omitempty"` // whose checksums differ at the receiver
}

// probeRequest requests the receiver to probe a member for the sender: to send it a heartbeat and report whether it has
// responded.
type probeRequest struct {
	Member string `cbor:"1,keyasint"`
}

// probeResponse reports whether the member has responded to the relay. It hasn't if the relay doesn't know it.
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
	// Ack tells the receiver, which has just responded to the first call, whether it has to refute that it is down.
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
