package raftnode

import (
	"context"
	"fmt"
	"io"
	"log"
	"log/slog"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// raftLogger hands raft's own lines to slog. What raft calls an error is an outage as it goes on, said each time a
// call fails: one line of a kind in each span is enough, with how many were left out.
type raftLogger struct {
	hclog.Logger // for what raft does not use
	interval     time.Duration

	mu     sync.Mutex
	recent map[string]*recentMessage
}

type recentMessage struct {
	loggedAt   time.Time
	suppressed int
}

func newRaftLogger(every time.Duration) *raftLogger {
	return &raftLogger{Logger: hclog.NewNullLogger(), interval: every, recent: map[string]*recentMessage{}}
}

func (l *raftLogger) Trace(string, ...any)           {}
func (l *raftLogger) Debug(string, ...any)           {}
func (l *raftLogger) Info(msg string, with ...any)   { l.write(slog.LevelDebug, msg, with) }
func (l *raftLogger) Warn(msg string, with ...any)   { l.write(slog.LevelInfo, msg, with) }
func (l *raftLogger) Error(msg string, with ...any)  { l.write(slog.LevelWarn, msg, with) }
func (l *raftLogger) Named(string) hclog.Logger      { return l }
func (l *raftLogger) ResetNamed(string) hclog.Logger { return l }
func (l *raftLogger) With(...any) hclog.Logger       { return l }
func (l *raftLogger) IsInfo() bool                   { return true }
func (l *raftLogger) IsWarn() bool                   { return true }
func (l *raftLogger) IsError() bool                  { return true }

func (l *raftLogger) Log(level hclog.Level, msg string, with ...any) {
	switch level {
	case hclog.Info:
		l.Info(msg, with...)
	case hclog.Warn:
		l.Warn(msg, with...)
	case hclog.Error:
		l.Error(msg, with...)
	}
}

func (l *raftLogger) write(level slog.Level, msg string, with []any) {
	if !slog.Default().Enabled(context.Background(), level) {
		return
	}
	l.mu.Lock()
	s := l.recent[msg]
	if s == nil {
		s = &recentMessage{}
		l.recent[msg] = s
	}
	if time.Since(s.loggedAt) < l.interval {
		s.suppressed++
		l.mu.Unlock()
		return
	}
	left := s.suppressed
	s.loggedAt, s.suppressed = time.Now(), 0
	l.mu.Unlock()
	attrs := []any{"raft", msg, "left_out", left}
	for i := 0; i+1 < len(with); i += 2 {
		attrs = append(attrs, fmt.Sprint(with[i]), fmt.Sprint(with[i+1]))
	}
	slog.Log(context.Background(), level, "keeper's log", attrs...)
}

func (l *raftLogger) StandardLogger(*hclog.StandardLoggerOptions) *log.Logger {
	return log.New(io.Discard, "", 0)
}

func (l *raftLogger) StandardWriter(*hclog.StandardLoggerOptions) io.Writer { return io.Discard }
