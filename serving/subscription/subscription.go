// Package subscription defines the call by which a proxy subscribes to the data that the agent on its machine publishes: a
// long poll that reports the proxy's state to the agent and returns what has changed.
package subscription

import (
	"rowanlink/serving/rpc"
	"rowanlink/serving/state"
)

// WatchMethod is the call that the proxy makes to its agent over loopback. The agent responds at once if its data has changed
// since Request.Since, and otherwise when the data changes or Request.WaitMillis is over.
var WatchMethod = rpc.Method[Request, Response]{Procedure: "/rowanlink.feed.v1/Watch"}

// Cursor identifies a response of an agent, and so the data that a proxy has after it has applied that response. The zero
// value requests a snapshot.
type Cursor struct {
	Incarnation uint64 `cbor:"1,keyasint"` // of the agent's process
	Position    uint64 `cbor:"2,keyasint"` // increases with each response that has data
}

// Request is a poll with a report of the proxy's state.
type Request struct {
	Since       Cursor            `cbor:"1,keyasint"` // of the last response that the proxy has applied
	WaitMillis  int64             `cbor:"2,keyasint"` // how long the agent waits for an update before it responds without one
	Incarnation uint64            `cbor:"3,keyasint"` // of the proxy's process
	State       state.MemberState `cbor:"4,keyasint"`
	// Observations are the proxy's observations of endpoints since its last request that got a response.
	Observations []state.Observation `cbor:"5,keyasint,omitempty"`
	// ClientAddress is the address where the proxy accepts clients' requests, host:port, which isn't in the agent's
	// settings.
	ClientAddress string `cbor:"6,keyasint,omitempty"`
	// RolloutReports hold what the proxy has observed of the roll-outs in progress.
	RolloutReports []state.RolloutReport `cbor:"7,keyasint,omitempty"`
	// SupportsRollouts means that the proxy carries out roll-outs. A proxy of an earlier release doesn't: it distributes calls
	// over all endpoints, whether they belong to a roll-out's target or not.
	SupportsRollouts bool `cbor:"8,keyasint,omitempty"`
}

// Response is a delta since the request's cursor, or a snapshot.
type Response struct {
	Cursor Cursor `cbor:"1,keyasint"` // of this response
	// Complete is set for a snapshot that has all data: the proxy drops what isn't in it. A snapshot without it comes from an
	// agent that may not have received all data yet.
	Complete  bool             `cbor:"2,keyasint,omitempty"`
	Record    *state.Record    `cbor:"3,keyasint,omitempty"` // nil: unchanged, or none known yet
	Endpoints []state.Endpoint `cbor:"4,keyasint,omitempty"`
	Removed   []string         `cbor:"5,keyasint,omitempty"` // IDs of removed endpoints
	Loads     []state.Load     `cbor:"6,keyasint,omitempty"`
	Proxies   ProxyCounts      `cbor:"7,keyasint"`
	// RolloutLeases are the leases of the roll-outs in progress, with their remaining durations.
	RolloutLeases []state.RolloutLease `cbor:"8,keyasint,omitempty"`
}

// ProxyCounts counts the proxies of the system. A proxy computes its share of limits that all proxies have in common from
// them.
type ProxyCounts struct {
	Live int `cbor:"1,keyasint"` // proxies that are known to be live now
	// MaxRunning bounds the number of proxies that may be running now. It counts all that were live at some time within the
	// last minute, since a proxy that isn't known to be live any more may still be running.
	MaxRunning int `cbor:"2,keyasint"`
	// LiveInRegion is the number of live proxies in the region of the proxy that gets the response.
	LiveInRegion int `cbor:"3,keyasint"`
}
