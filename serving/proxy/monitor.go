package proxy

import (
	"context"
	"time"

	"rowanlink/serving/event"
)

const (
	// monitorInterval is the time between two checks for endpoints that don't acknowledge what is sent.
	monitorInterval = 250 * time.Millisecond
	// minReportInterval is the least time between two reports of failed calls alone.
	minReportInterval = time.Second
)

// monitorEndpoints reports observations of endpoints until the context ends.
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

// checkEndpoints reports observations if there are any to report, and returns when they were last reported.
func (p *proxy) checkEndpoints(now, reportedAt time.Time) time.Time {
	if ids := p.pool.UnacknowledgedEndpoints(now); len(ids) > 0 {
		p.picker.ReportUnacknowledged(now, ids)
	}
	p.picker.SetRoundTrips(p.pool.RoundTrips())
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
