package member

import (
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
)

// Counters count what a session did since the process started.
type Counters struct {
	SessionsOpened, SessionsLost, RenewalsUnanswered, ResourcesAcquired, ResourcesLost, SnapshotsDelivered atomic.Int64
	DeltasApplied                                                                                          atomic.Int64 // of parts, that came in place of the whole
	Forwarded, InDoubt, HandedOff, Received                                                                atomic.Int64 // webhooks
	active                                                                                                 atomic.Int64
}

// setActive notes whether the session stands and says each change.
func (s *Session) setActive(now bool) {
	if now {
		s.active.Store(1)
		return
	}
	if s.active.Swap(0) == 1 {
		s.SessionsLost.Add(1)
		slog.Warn("session over: no task is held until a keeper answers", "member", s.Self)
	}
}

// WriteMetrics writes the counters, one a line, in the text form that monitoring systems read.
func (s *Session) WriteMetrics(to io.Writer) {
	c := &s.Counters
	for _, row := range []struct {
		name string
		n    int64
	}{
		{"member_sessions_total", c.SessionsOpened.Load()}, {"member_sessions_lost_total", c.SessionsLost.Load()},
		{"member_session_stands", c.active.Load()}, {"member_unanswered_total", c.RenewalsUnanswered.Load()},
		{"member_tasks_gained_total", c.ResourcesAcquired.Load()}, {"member_tasks_lost_total", c.ResourcesLost.Load()},
		{"member_news_total", c.SnapshotsDelivered.Load()}, {"member_changes_total", c.DeltasApplied.Load()},
		{"member_forwarded_total", c.Forwarded.Load()}, {"member_doubts_total", c.InDoubt.Load()},
		{"member_handed_on_total", c.HandedOff.Load()}, {"member_taken_over_total", c.Received.Load()},
	} {
		fmt.Fprintf(to, "rowanlink_%s %d\n", row.name, row.n)
	}
}
