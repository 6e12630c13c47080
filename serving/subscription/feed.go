// Package subscription holds what an agent tells the proxy on its machine and what the proxy says of itself, in one
// call that waits at the agent until something has changed.
package subscription

import (
	"rowanlink/serving/rpc"
	"rowanlink/serving/state"
)

// Watch is the proxy's call over loopback. The agent answers at once where it has news since the cursor, else
// when news comes or the wait is over.
var Watch = rpc.Method[Request, Response]{Procedure: "/rowanlink.feed.v1/Watch"}

// Cursor is a place in an agent's changes. The zero value asks for everything.
type Cursor struct {
	Incarnation uint64 `cbor:"1,keyasint"` // of the agent's process
	Position    uint64 `cbor:"2,keyasint"`
}

// Request is what a proxy asks and what it says of itself.
type Request struct {
	Since       Cursor            `cbor:"1,keyasint"`
	WaitMillis  int64             `cbor:"2,keyasint"`
	Incarnation uint64            `cbor:"3,keyasint"` // of the proxy's process
	State       state.MemberState `cbor:"4,keyasint"`
	// Observations are what the proxy has seen of endpoints since its last request that was answered.
	Observations []state.Observation `cbor:"5,keyasint,omitempty"`
	// ClientAddress is where the proxy takes clients' requests, host:port. The agent's own settings don't name it.
	ClientAddress string `cbor:"6,keyasint,omitempty"`
}

// Response is what has changed since the cursor.
type Response struct {
	Cursor Cursor `cbor:"1,keyasint"`
	// Complete: what follows is everything; whatever else the proxy knew is to be forgotten.
	Complete  bool             `cbor:"2,keyasint,omitempty"`
	Record    *state.Record    `cbor:"3,keyasint,omitempty"` // nil: unchanged, or none known yet
	Endpoints []state.Endpoint `cbor:"4,keyasint,omitempty"`
	Removed   []string         `cbor:"5,keyasint,omitempty"` // endpoints by ID
	Loads     []state.Load     `cbor:"6,keyasint,omitempty"`
	Proxies   ProxyCounts      `cbor:"7,keyasint"`
}

// ProxyCounts counts the proxies of the whole system, for shares of common budgets.
type ProxyCounts struct {
	Live       int `cbor:"1,keyasint"` // known to run now
	MaxRunning int `cbor:"2,keyasint"` // the most that may run: live ones and all that were live in the last minute
	// LiveInRegion counts those live in this proxy's region.
	LiveInRegion int `cbor:"3,keyasint"`
}
