package session

import (
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
)

// Counters counts the events of a Session since the process started.
type Counters struct {
	SessionsOpened     atomic.Int64
	SessionsLost       atomic.Int64
	RenewalsUnanswered atomic.Int64
	ResourcesAcquired  atomic.Int64
	ResourcesLost      atomic.Int64 // including those released
	SnapshotsDelivered atomic.Int64
	DeltasApplied      atomic.Int64 // updates of components that were received as deltas
	active             atomic.Int64 // 1 while a session is open
}

// setActive records whether the session is open and logs its loss.
func (s *Session) setActive(active bool) {
	if active {
		s.active.Store(1)
		return
	}
	if s.active.Swap(0) == 1 {
		s.SessionsLost.Add(1)
		slog.Warn("session expired: no lease is held until a raft node answers", "member", s.Self)
	}
}

// WriteMetrics writes the counters in the Prometheus text format, one per line.
func (s *Session) WriteMetrics(w io.Writer) {
	c := &s.Counters
	for _, row := range []struct {
		name  string
		value int64
	}{
		{"member_sessions_total", c.SessionsOpened.Load()},
		{"member_sessions_lost_total", c.SessionsLost.Load()},
		{"member_session_stands", c.active.Load()},
		{"member_unanswered_total", c.RenewalsUnanswered.Load()},
		{"member_tasks_gained_total", c.ResourcesAcquired.Load()},
		{"member_tasks_lost_total", c.ResourcesLost.Load()},
		{"member_news_total", c.SnapshotsDelivered.Load()},
		{"member_changes_total", c.DeltasApplied.Load()},
	} {
		_, _ = fmt.Fprintf(w, "rowanlink_%s %d\n", row.name, row.value) // fails only if the scraper has disconnected
	}
}
