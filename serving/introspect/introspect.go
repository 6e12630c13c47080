// Package introspect lets operators look into a running agent or core: what it knows of members, endpoints, the record
// and singleton duties. It changes nothing.
package introspect

import (
	"context"
	"net/http"

	"rowanlink/serving/rpc"
	"rowanlink/serving/singleton"
	"rowanlink/serving/state"
)

// method is the call. Agents and cores serve it where the system's processes call them.
var method = rpc.Method[Request, Report]{Procedure: "/rowanlink.inspect.v1/Inspect"}

// Request asks for a report.
type Request struct {
	// IncludeTables asks for the members and endpoints too, not only for what the process itself is and has in force.
	IncludeTables bool `cbor:"1,keyasint,omitempty"`
}

// Report is what a process knows.
type Report struct {
	Self            state.Member      `cbor:"1,keyasint"`
	Revision        uint64            `cbor:"2,keyasint"` // of the newest record; 0: none known
	Version         uint64            `cbor:"3,keyasint"` // of its configuration
	Digest          state.Digest      `cbor:"4,keyasint"`
	Evacuated       []string          `cbor:"5,keyasint,omitempty"` // zones
	Voters          state.ReplicaSet  `cbor:"6,keyasint"`
	Members         []Member          `cbor:"7,keyasint,omitempty"`
	Endpoints       []state.Endpoint  `cbor:"8,keyasint,omitempty"`
	SingletonClaims []singleton.Claim `cbor:"9,keyasint,omitempty"`
	// Learner tells that the process keeps the committed record, has caught up and may be given a vote.
	Learner bool `cbor:"10,keyasint,omitempty"`
}

// Member is a member as the reporting process knows it.
type Member struct {
	Member state.Member `cbor:"1,keyasint"`
	Down   bool         `cbor:"2,keyasint,omitempty"`
}

// SetRecord fills in what a report says of the record. A nil record is none.
func (r *Report) SetRecord(record *state.Record) {
	if record == nil {
		return
	}
	r.Revision = record.Revision
	r.Version = record.Configuration.Version
	r.Digest = record.Configuration.Digest
	r.Voters = record.Voters
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

// Serve registers a process's answer.
func Serve(mux *http.ServeMux, report func(Request) Report) {
	method.Serve(mux, func(_ context.Context, request *Request) (*Report, error) {
		answer := report(*request)
		return &answer, nil
	})
}

// Fetch returns the report of the process at host:port. The context bounds the call.
func Fetch(ctx context.Context, client *rpc.Client, address string, request Request) (*Report, error) {
	return method.Call(ctx, client, address, &request)
}
