package proxy

import (
	"context"
	"time"

	"rowanlink/serving/event"
)

const (
	// monitorInterval is the time between two checks, for instance for endpoints that don't acknowledge sent data.
	monitorInterval = 250 * time.Millisecond
	// minReportInterval is the shortest time between two reports of observations, unless an observation is urgent.
	// Failed calls alone are not urgent.
	minReportInterval = time.Second
)

// monitorEndpoints checks the endpoints and reports observations of them until the context ends.
func (p *proxy) monitorEndpoints(ctx context.Context) {
	ticks := time.NewTicker(monitorInterval)
	defer ticks.Stop()
	var reportedAt time.Time
	for {
		select {
		case now := <-ticks.C:
			reportedAt = p.checkEndpoints(now, reportedAt)
		case <-ctx.Done():
			return
		}
	}
}

// checkEndpoints passes the pool's measurements to the picker, logs circuit breakers that have opened, and reports
// pending observations to the agent if a report is due. It returns the time of the last report.
func (p *proxy) checkEndpoints(now, reportedAt time.Time) time.Time {
	if ids := p.pool.UnacknowledgedEndpoints(now); len(ids) > 0 {
		p.picker.ReportUnacknowledged(now, ids)
	}
	p.picker.SetRoundTrips(p.pool.MinRoundTrips())
	for _, opening := range p.picker.TakeBreakerOpenings() {
		event.RolloutBreakerOpened.Log(p.log).
			Str("service", opening.Service).
			Str("target", opening.Target).
			Int("step", int(opening.Step)).
			Dur("open_ms", opening.OpenFor).
			Send()
	}
	pending, urgent := p.picker.PendingObservations()
	due := urgent || now.Sub(reportedAt) >= minReportInterval
	if !pending || !due {
		return reportedAt
	}
	p.agent.reportNow()
	return now
}
