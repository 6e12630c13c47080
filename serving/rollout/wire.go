package rollout

import (
	"rowanlink/serving/rpc"
	"rowanlink/serving/state"
)

// JudgeRole is the singleton role of the core member that decides on the roll-outs in progress.
const JudgeRole = "judge-rollouts"

// ReportMethod is the call by which an agent passes its proxy's reports on roll-outs to the core member that decides on
// them. The response renews the proxy's leases; a proxy without a lease sends no requests to the target.
var ReportMethod = rpc.Method[ReportRequest, ReportResponse]{Procedure: "/rowanlink.rollout.v1/Report"}

// SupportMethod is the call by which a core member asks whether the programs on another member's machine support
// roll-outs. Programs of releases without roll-outs don't serve it.
var SupportMethod = rpc.Method[SupportRequest, SupportResponse]{Procedure: "/rowanlink.rollout.v1/Support"}

// SupportRequest has no fields.
type SupportRequest struct{}

// SupportResponse tells whether all programs on the machine support roll-outs.
type SupportResponse struct {
	Supported bool `cbor:"1,keyasint,omitempty"`
}

// ReportRequest has the proxy's newest report on each roll-out in progress that the agent knows of.
type ReportRequest struct {
	Observer string                `cbor:"1,keyasint"` // name of the member on the proxy's machine
	Reports  []state.RolloutReport `cbor:"2,keyasint"`
}

// ReportResponse has the leases of the roll-outs that are in progress as far as the core member knows. A member that
// doesn't decide on roll-outs, or has no contact with a majority of the voters, grants no leases.
type ReportResponse struct {
	Leases []state.RolloutLease `cbor:"1,keyasint,omitempty"`
}
