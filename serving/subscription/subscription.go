// Package subscription defines the call by which a proxy subscribes to the agent on its machine: a long poll that
// reports the proxy's state and returns what has changed.
package subscription

import (
	"rowanlink/serving/rpc"
	"rowanlink/serving/state"
)

// Watch is the proxy's call, over loopback. The agent responds at once if something has changed since the cursor, and
// otherwise when something changes or the wait is over.
var Watch = rpc.Method[Request, Response]{Procedure: "/rowanlink.feed.v1/Watch"}

// Cursor is a position in an agent's changes. The zero value requests a snapshot.
type Cursor struct {
	Incarnation uint64 `cbor:"1,keyasint"` // of the agent's process
	Position    uint64 `cbor:"2,keyasint"`
}

// Request is a poll with a report of the proxy's state.
type Request struct {
	Since       Cursor            `cbor:"1,keyasint"`
	WaitMillis  int64             `cbor:"2,keyasint"`
	Incarnation uint64            `cbor:"3,keyasint"` // of the proxy's process
	State       state.MemberState `cbor:"4,keyasint"`
	// Observations are the proxy's observations of endpoints since its last request that was answered.
	Observations []state.Observation `cbor:"5,keyasint,omitempty"`
	// ClientAddress is where the proxy accepts clients' requests, host:port. The agent's settings don't have it.
	ClientAddress string `cbor:"6,keyasint,omitempty"`
	// RolloutReports are what the proxy has observed of the roll-outs in progress.
	RolloutReports []state.RolloutReport `cbor:"7,keyasint,omitempty"`
	// SupportsRollouts means that the proxy carries out roll-outs. Those of earlier releases send to all endpoints alike.
	SupportsRollouts bool `cbor:"8,keyasint,omitempty"`
}

// Response is a delta since the cursor, or a snapshot.
type Response struct {
	Cursor Cursor `cbor:"1,keyasint"`
	// Complete is set for a snapshot: the proxy drops what isn't in it.
	Complete  bool             `cbor:"2,keyasint,omitempty"`
	Record    *state.Record    `cbor:"3,keyasint,omitempty"` // nil: unchanged, or none known yet
	Endpoints []state.Endpoint `cbor:"4,keyasint,omitempty"`
	Removed   []string         `cbor:"5,keyasint,omitempty"` // endpoints by ID
	Loads     []state.Load     `cbor:"6,keyasint,omitempty"`
	Proxies   ProxyCounts      `cbor:"7,keyasint"`
	// RolloutLeases are the present leases of the roll-outs in progress.
	RolloutLeases []state.RolloutLease `cbor:"8,keyasint,omitempty"`
}

// ProxyCounts counts the proxies of the system, for the proxy's share of common limits.
type ProxyCounts struct {
	Live       int `cbor:"1,keyasint"` // known to be live now
	MaxRunning int `cbor:"2,keyasint"` // at most as many run: all that were live at some time of the last minute
	// LiveInRegion counts the live ones in this proxy's region.
	LiveInRegion int `cbor:"3,keyasint"`
}
