package member

import (
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
)

// Counters count what a session did since the process started.
type Counters struct {
	Sessions, Losses, Unanswered, Gained, Lost, News atomic.Int64
	Changes                                          atomic.Int64 // of parts, that came in place of the whole
	Forwarded, Doubts, HandedOn, TakenOver           atomic.Int64 // webhooks
	standing                                         atomic.Int64
}

// stands notes whether the session stands and says each change.
func (s *Session) stands(now bool) {
	if now {
		s.standing.Store(1)
		return
	}
	if s.standing.Swap(0) == 1 {
		s.Losses.Add(1)
		slog.Warn("session over: no task is held until a keeper answers", "member", s.Self)
	}
}

// Print writes the counters, one a line, in the text form that monitoring systems read.
func (s *Session) Print(to io.Writer) {
	c := &s.Counters
	for _, row := range []struct {
		name string
		n    int64
	}{
		{"member_sessions_total", c.Sessions.Load()}, {"member_sessions_lost_total", c.Losses.Load()},
		{"member_session_stands", c.standing.Load()}, {"member_unanswered_total", c.Unanswered.Load()},
		{"member_tasks_gained_total", c.Gained.Load()}, {"member_tasks_lost_total", c.Lost.Load()},
		{"member_news_total", c.News.Load()}, {"member_changes_total", c.Changes.Load()},
		{"member_forwarded_total", c.Forwarded.Load()}, {"member_doubts_total", c.Doubts.Load()},
		{"member_handed_on_total", c.HandedOn.Load()}, {"member_taken_over_total", c.TakenOver.Load()},
	} {
		fmt.Fprintf(to, "rowanlink_%s %d\n", row.name, row.n)
	}
}
