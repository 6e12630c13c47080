// Package introspect lets operators inspect a running agent or core: the members, endpoints, record and singleton roles
// that it knows. It is read-only.
package introspect

import (
	"context"
	"net/http"

	"rowanlink/serving/rpc"
	"rowanlink/serving/singleton"
	"rowanlink/serving/state"
)

// inspectMethod is served by agents and cores at their internal address, which is for calls between the system's
// processes.
var inspectMethod = rpc.Method[Request, Report]{Procedure: "/rowanlink.inspect.v1/Inspect"}

// Request asks a process for a report.
type Request struct {
	// IncludeTables requests that the report includes the members, endpoints and singleton roles.
	IncludeTables bool `cbor:"1,keyasint,omitempty"`
}

// Report describes a process and the state of the system as the process knows it.
type Report struct {
	Self            state.Member      `cbor:"1,keyasint"`
	Revision        uint64            `cbor:"2,keyasint"`           // of the newest committed record; 0 if none is known
	Version         uint64            `cbor:"3,keyasint"`           // of its configuration
	Digest          state.Digest      `cbor:"4,keyasint"`           // of its configuration
	Evacuated       []string          `cbor:"5,keyasint,omitempty"` // zones
	Voters          state.ReplicaSet  `cbor:"6,keyasint"`
	Members         []Member          `cbor:"7,keyasint,omitempty"`
	Endpoints       []state.Endpoint  `cbor:"8,keyasint,omitempty"`
	SingletonClaims []singleton.Claim `cbor:"9,keyasint,omitempty"`
	// Learner means that the process's replica is a learner that has caught up and may become a voter.
	Learner bool `cbor:"10,keyasint,omitempty"`
	// Rollouts are the newest roll-outs of the services, according to the record.
	Rollouts []state.Rollout `cbor:"11,keyasint,omitempty"`
}

// Member is a member as the reporting process knows it.
type Member struct {
	Member state.Member `cbor:"1,keyasint"`
	Down   bool         `cbor:"2,keyasint,omitempty"`
}

// SetRecord fills in the fields that are taken from the record. A nil record leaves them empty.
func (r *Report) SetRecord(record *state.Record) {
	if record == nil {
		return
	}
	r.Revision = record.Revision
	r.Version = record.Configuration.Version
	r.Digest = record.Configuration.Digest
	r.Voters = record.Voters
	r.Rollouts = record.Rollouts
	for _, evacuation := range record.Evacuations {
		if evacuation.Active {
			r.Evacuated = append(r.Evacuated, evacuation.Zone)
		}
	}
}

// SetMembers fills in the members.
func (r *Report) SetMembers(live, down []state.Member) {
	for _, member := range live {
		r.Members = append(r.Members, Member{Member: member})
	}
	for _, member := range down {
		r.Members = append(r.Members, Member{Member: member, Down: true})
	}
}

// Serve registers the handler of the call, which responds with the result of report.
func Serve(mux *http.ServeMux, report func(Request) Report) {
	inspectMethod.Serve(mux, func(_ context.Context, request *Request) (*Report, error) {
		result := report(*request)
		return &result, nil
	})
}

// Fetch returns the report of the process at an address (host:port). The context bounds the call.
func Fetch(ctx context.Context, client *rpc.Client, address string, request Request) (*Report, error) {
	return inspectMethod.Call(ctx, client, address, &request)
}
