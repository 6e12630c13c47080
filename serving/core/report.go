package core

import (
	"rowanlink/serving/endpoints"
	"rowanlink/serving/introspect"
	"rowanlink/serving/member"
	"rowanlink/serving/register"
)

// reporter answers operators who look into the process.
type reporter struct {
	mesh      *member.Service
	node      *register.Node
	endpoints *endpoints.SharedTable
}

func (r *reporter) report(request introspect.Request) introspect.Report {
	report := introspect.Report{Self: r.mesh.Self(), Learner: r.node.IsLearner()}
	if record, known := r.node.Latest(); known {
		report.SetRecord(&record)
	}
	if !request.IncludeTables {
		return report
	}
	report.SetMembers(r.mesh.Members(), r.mesh.DownMembers())
	report.SingletonClaims = r.mesh.RoleClaims()
	if known, ok := r.endpoints.ChangesSince(0); ok {
		report.Endpoints = known.Changed
	}
	return report
}
