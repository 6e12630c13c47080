package introspect

import (
	"fmt"
	"io"

	"rowanlink/serving/metrics"
	"rowanlink/serving/state"
)

// endpointStates are the states of endpoints with their names in metrics.
var endpointStates = []struct {
	state state.EndpointState
	name  string
}{
	{state.EndpointAccepting, "accepting"},
	{state.EndpointDraining, "draining"},
	{state.EndpointDeparted, "departed"},
}

// WriteMetrics writes the figures of a report: revision and version of the record, members, endpoints and voters. The
// report has to include the tables.
func (r *Report) WriteMetrics(w io.Writer) {
	down := uint64(0)
	for _, member := range r.Members {
		if member.Down {
			down++
		}
	}
	metrics.WriteGauge(w, "rowan_record_revision", r.Revision)
	metrics.WriteGauge(w, "rowan_configuration_version", r.Version)
	metrics.WriteGauge(w, "rowan_evacuated_zones", uint64(len(r.Evacuated)))
	metrics.WriteGauge(w, "rowan_voters", uint64(len(r.Voters.Replicas)))
	metrics.WriteGauge(w, `rowan_members{state="live"}`, uint64(len(r.Members))-down)
	metrics.WriteGauge(w, `rowan_members{state="down"}`, down)
	for _, each := range r.Rollouts {
		labels := fmt.Sprintf("service=%q,target=%q", each.Service, each.Target)
		metrics.WriteGauge(w, "rowan_rollout_state{"+labels+"}", uint64(each.State))
		metrics.WriteGauge(w, "rowan_rollout_step{"+labels+"}", uint64(each.Step))
	}
	for _, each := range endpointStates {
		count := uint64(0)
		for _, endpoint := range r.Endpoints {
			if endpoint.State == each.state {
				count++
			}
		}
		metrics.WriteGauge(w, fmt.Sprintf("rowan_endpoints{state=%q}", each.name), count)
	}
}

// MetricsWriter returns a writer of the figures of the report that a process makes when it is asked.
func MetricsWriter(report func(Request) Report) metrics.Writer {
	return func(w io.Writer) {
		current := report(Request{IncludeTables: true})
		current.WriteMetrics(w)
	}
}
