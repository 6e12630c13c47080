package core

import (
	"rowanlink/serving/endpoints"
	"rowanlink/serving/introspect"
	"rowanlink/serving/member"
	"rowanlink/serving/register"
)

// introspector reports this process's view of the members, the record and the endpoints to operators.
type introspector struct {
	members   *member.Service
	node      *register.Node
	endpoints *endpoints.SharedTable
}

func (i *introspector) report(request introspect.Request) introspect.Report {
	report := introspect.Report{
		Self:    i.members.Self(),
		Learner: i.node.IsLearner(),
	}
	if record, known := i.node.Latest(); known {
		report.SetRecord(&record)
	}
	if !request.IncludeTables {
		return report
	}
	report.SetMembers(i.members.Members(), i.members.DownMembers())
	report.SingletonClaims = i.members.RoleClaims()
	if delta, ok := i.endpoints.ChangesSince(0); ok {
		report.Endpoints = delta.Changed
	}
	return report
}
