package proxy

import (
	"context"
	"time"
)

const (
	// lookInterval is the time between two looks for endpoints that don't acknowledge what is sent.
	lookInterval = 250 * time.Millisecond
	// tellInterval is the least time between two words on failed calls alone.
	tellInterval = time.Second
)

// lookOut has what was seen of endpoints told until the context ends.
func (p *proxy) lookOut(ctx context.Context) {
	ticks := time.NewTicker(lookInterval)
	defer ticks.Stop()
	var told time.Time
	for {
		select {
		case now := <-ticks.C:
			told = p.look(now, told)
		case <-ctx.Done():
			return
		}
	}
}

// look has the agent told where there is something to tell, and returns when it was told last.
func (p *proxy) look(now, told time.Time) time.Time {
	if stuck := p.pool.Unacknowledged(now); len(stuck) > 0 {
		p.placer.ReportUnacknowledged(now, stuck)
	}
	p.placer.SetRoundTrips(p.pool.RoundTrips())
	some, urgent := p.placer.PendingObservations()
	if !some || !urgent && now.Sub(told) < tellInterval {
		return told
	}
	p.watcher.tell()
	return now
}
