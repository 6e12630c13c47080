package agent

import (
	"time"

	"rowanlink/serving/actor"
	"rowanlink/serving/endpoints"
	"rowanlink/serving/introspect"
	"rowanlink/serving/state"
)

var _ endpointTable = (*endpoints.Table)(nil)

// knownEndpoints returns all endpoints in the agent's table.
func (a *agent) knownEndpoints() []state.Endpoint {
	endpoints, _ := actor.Call(a.stateActor, listEndpoints)
	return endpoints
}

// listEndpoints returns all endpoints in the state's table.
func listEndpoints(s *agentState) []state.Endpoint {
	return s.publisher.endpoints.ChangesSince(time.Now(), 0).Changed
}

// reportData is the part of a report that comes from the agent's state.
type reportData struct {
	record    *state.Record
	endpoints []state.Endpoint
}

// report returns the agent's report for operators, with its tables only if the request includes them.
func (a *agent) report(request introspect.Request) introspect.Report {
	report := introspect.Report{Self: a.members.Self()}
	data, _ := actor.Call(a.stateActor, func(s *agentState) (data reportData) {
		data.record = s.publisher.record
		if request.IncludeTables {
			data.endpoints = listEndpoints(s)
		}
		return data
	})
	report.SetRecord(data.record)
	if !request.IncludeTables {
		return report
	}
	report.Endpoints = data.endpoints
	report.SetMembers(a.members.Members(), a.members.DownMembers())
	report.SingletonClaims = a.members.RoleClaims()
	return report
}
