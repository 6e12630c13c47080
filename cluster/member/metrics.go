package member

import (
	"fmt"
	"io"
)

// WriteMetrics writes the member's counters in the Prometheus text format, one per line. It writes nothing before
// Start.
func (m *Member) WriteMetrics(w io.Writer) {
	if m.session == nil {
		return
	}
	m.session.WriteMetrics(w)
	m.metrics.Write(w)
	m.sites.WriteMetrics(w)
	if m.raft != nil {
		m.raft.WriteMetrics(w)
		m.writePlanMetrics(w)
	}
}

// writePlanMetrics writes the metrics of the running plan. Those of its impact on webhooks are collected by the
// coordinator and are 0 at the other members.
func (m *Member) writePlanMetrics(w io.Writer) {
	progress := m.progress.Load()
	if progress == nil {
		return
	}
	stopped := uint64(0)
	if progress.StopReason != "" {
		stopped = 1
	}
	impact := m.collector.Impact(progress.Number)
	for _, row := range []struct {
		name  string
		value uint64
	}{
		{"number", progress.Number},
		{"steps", uint64(len(progress.Steps))},
		{"steps_through", uint64(progress.DoneSteps())},
		{"stopped", stopped},
		{"harm_ended", impact.During.Total},
		{"harm_rejected", impact.During.Rejected},
		{"harm_dead_lettered", impact.During.DeadLettered},
		{"harm_late", impact.During.Late},
		{"harm_sick", uint64(len(impact.Unhealthy))},
		{"usual_ended", impact.Baseline.Total},
		{"usual_rejected", impact.Baseline.Rejected},
		{"usual_dead_lettered", impact.Baseline.DeadLettered},
		{"usual_late", impact.Baseline.Late},
	} {
		_, _ = fmt.Fprintf(w, "rowanlink_plan_%s %d\n", row.name, row.value) // fails only if the scraper has disconnected
	}
}
