package agent

import (
	"time"

	"rowanlink/serving/actor"
	"rowanlink/serving/endpoints"
	"rowanlink/serving/introspect"
	"rowanlink/serving/state"
)

// endpoints returns all endpoints that are known.
func (a *agent) endpoints() []state.Endpoint {
	all, _ := actor.Ask(a.board, func(b *board) []state.Endpoint {
		list, _, _, _ := b.news.endpoints.Changes(time.Now(), 0)
		return list
	})
	return all
}

// known is what the board holds for a report.
type known struct {
	record    *state.Record
	endpoints []state.Endpoint
}

// report answers operators.
func (a *agent) report(request introspect.Request) introspect.Report {
	report := introspect.Report{Self: a.mesh.Self()}
	seen, _ := actor.Ask(a.board, func(b *board) (seen known) {
		seen.record = b.news.record
		if request.WithTables {
			seen.endpoints, _, _, _ = b.news.endpoints.Changes(time.Now(), 0)
		}
		return seen
	})
	report.TakeRecord(seen.record)
	if !request.WithTables {
		return report
	}
	report.Endpoints = seen.endpoints
	report.TakeMembers(a.mesh.Members(), a.mesh.DownMembers())
	report.Duties = a.mesh.RoleClaims()
	return report
}

var _ endpointTable = (*endpoints.Table)(nil)
