package proxy

import (
	"context"
	"time"
)

const (
	// monitorInterval is the time between two looks for endpoints that don't acknowledge what is sent.
	monitorInterval = 250 * time.Millisecond
	// minReportInterval is the least time between two words on failed calls alone.
	minReportInterval = time.Second
)

// monitorEndpoints has what was seen of endpoints told until the context ends.
func (p *proxy) monitorEndpoints(ctx context.Context) {
	ticks := time.NewTicker(monitorInterval)
	defer ticks.Stop()
	var told time.Time
	for {
		select {
		case now := <-ticks.C:
			told = p.checkEndpoints(now, told)
		case <-ctx.Done():
			return
		}
	}
}

// checkEndpoints has the agent told where there is something to tell, and returns when it was told last.
func (p *proxy) checkEndpoints(now, told time.Time) time.Time {
	if stuck := p.pool.UnacknowledgedEndpoints(now); len(stuck) > 0 {
		p.picker.ReportUnacknowledged(now, stuck)
	}
	p.picker.SetRoundTrips(p.pool.RoundTrips())
	some, urgent := p.picker.PendingObservations()
	if !some || !urgent && now.Sub(told) < minReportInterval {
		return told
	}
	p.watcher.reportNow()
	return now
}
