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

// logs hands raft's own lines to slog. What raft calls an error is an outage as it goes on, said each time a
// call fails: one line of a kind in each span is enough, with how many were left out.
type logs struct {
	hclog.Logger // for what raft does not use
	every        time.Duration

	mu   sync.Mutex
	said map[string]*line
}

type line struct {
	last time.Time
	left int
}

func newLogs(every time.Duration) *logs {
	return &logs{Logger: hclog.NewNullLogger(), every: every, said: map[string]*line{}}
}

func (l *logs) Trace(string, ...any)           {}
func (l *logs) Debug(string, ...any)           {}
func (l *logs) Info(msg string, with ...any)   { l.say(slog.LevelDebug, msg, with) }
func (l *logs) Warn(msg string, with ...any)   { l.say(slog.LevelInfo, msg, with) }
func (l *logs) Error(msg string, with ...any)  { l.say(slog.LevelWarn, msg, with) }
func (l *logs) Named(string) hclog.Logger      { return l }
func (l *logs) ResetNamed(string) hclog.Logger { return l }
func (l *logs) With(...any) hclog.Logger       { return l }
func (l *logs) IsInfo() bool                   { return true }
func (l *logs) IsWarn() bool                   { return true }
func (l *logs) IsError() bool                  { return true }

func (l *logs) Log(level hclog.Level, msg string, with ...any) {
	switch level {
	case hclog.Info:
		l.Info(msg, with...)
	case hclog.Warn:
		l.Warn(msg, with...)
	case hclog.Error:
		l.Error(msg, with...)
	}
}

func (l *logs) say(level slog.Level, msg string, with []any) {
	if !slog.Default().Enabled(context.Background(), level) {
		return
	}
	l.mu.Lock()
	s := l.said[msg]
	if s == nil {
		s = &line{}
		l.said[msg] = s
	}
	if time.Since(s.last) < l.every {
		s.left++
		l.mu.Unlock()
		return
	}
	left := s.left
	s.last, s.left = time.Now(), 0
	l.mu.Unlock()
	attrs := []any{"raft", msg, "left_out", left}
	for i := 0; i+1 < len(with); i += 2 {
		attrs = append(attrs, fmt.Sprint(with[i]), fmt.Sprint(with[i+1]))
	}
	slog.Log(context.Background(), level, "keeper's log", attrs...)
}

func (l *logs) StandardLogger(*hclog.StandardLoggerOptions) *log.Logger {
	return log.New(io.Discard, "", 0)
}

func (l *logs) StandardWriter(*hclog.StandardLoggerOptions) io.Writer { return io.Discard }
