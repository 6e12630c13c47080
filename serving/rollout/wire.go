package rollout

import (
	"rowanlink/serving/rpc"
	"rowanlink/serving/state"
)

// JudgeRole is the singleton role of the core member that decides on the roll-outs in progress.
const JudgeRole = "judge-rollouts"

// ReportMethod is the call by which agents pass their proxies' observations of roll-outs to the core member that decides
// on them. Its response renews the leases without which proxies send a target nothing.
var ReportMethod = rpc.Method[ReportRequest, ReportResponse]{Procedure: "/rowanlink.rollout.v1/Report"}

// SupportMethod is the call by which a core member asks whether the programs of another member's machine carry out
// roll-outs. Those of earlier releases don't serve it.
var SupportMethod = rpc.Method[SupportRequest, SupportResponse]{Procedure: "/rowanlink.rollout.v1/Support"}

// SupportRequest has no fields.
type SupportRequest struct{}

// SupportResponse is the answer for all programs of a machine.
type SupportResponse struct {
	Supported bool `cbor:"1,keyasint,omitempty"`
}

// ReportRequest has the newest report on each roll-out in progress that the agent knows of.
type ReportRequest struct {
	Observer string                `cbor:"1,keyasint"` // the member on the proxy's machine
	Reports  []state.RolloutReport `cbor:"2,keyasint"`
}

// ReportResponse has the leases of the roll-outs that are in progress as far as the member knows. One that doesn't decide
// on them, or has no contact with a majority of the voters, grants none.
type ReportResponse struct {
	Leases []state.RolloutLease `cbor:"1,keyasint,omitempty"`
}
