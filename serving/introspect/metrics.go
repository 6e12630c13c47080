package introspect

import (
	"fmt"
	"io"

	"rowanlink/serving/metrics"
	"rowanlink/serving/state"
)

// endpointStates maps the states of endpoints to the values of the metric's label.
var endpointStates = []struct {
	state state.EndpointState
	name  string
}{
	{state.EndpointAccepting, "accepting"},
	{state.EndpointDraining, "draining"},
	{state.EndpointDeparted, "departed"},
}

// WriteMetrics writes a report as gauges: the record's revision and version, and the numbers of members, endpoints and
// voters, among others. The report has to include the tables.
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
	for _, rollout := range r.Rollouts {
		labels := fmt.Sprintf("service=%q,target=%q", rollout.Service, rollout.Target)
		metrics.WriteGauge(w, "rowan_rollout_state{"+labels+"}", uint64(rollout.State))
		metrics.WriteGauge(w, "rowan_rollout_step{"+labels+"}", uint64(rollout.Step))
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

// MetricsWriter returns a writer that obtains a new report at each call and writes it as gauges.
func MetricsWriter(report func(Request) Report) metrics.Writer {
	return func(w io.Writer) {
		current := report(Request{IncludeTables: true})
		current.WriteMetrics(w)
	}
}
