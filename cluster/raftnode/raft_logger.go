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

// raftLogger writes raft's log messages to slog, one level lower, since raft logs an error for each failed request while
// another node is down. It writes each message at most once per interval, with the number of those it suppressed since.
type raftLogger struct {
	hclog.Logger // a null logger, for the methods that raft does not call
	interval     time.Duration

	mu     sync.Mutex
	recent map[string]*recentMessage
}

type recentMessage struct {
	loggedAt   time.Time
	suppressed int
}

func newRaftLogger(interval time.Duration) *raftLogger {
	return &raftLogger{
		Logger:   hclog.NewNullLogger(),
		interval: interval,
		recent:   map[string]*recentMessage{},
	}
}

// Trace drops a message.
func (l *raftLogger) Trace(string, ...any) {}

// Debug drops a message.
func (l *raftLogger) Debug(string, ...any) {}

// Info writes a message at debug level.
func (l *raftLogger) Info(message string, args ...any) { l.write(slog.LevelDebug, message, args) }

// Warn writes a message at info level.
func (l *raftLogger) Warn(message string, args ...any) { l.write(slog.LevelInfo, message, args) }

// Error writes a message at warning level.
func (l *raftLogger) Error(message string, args ...any) { l.write(slog.LevelWarn, message, args) }

// Named returns the same logger.
func (l *raftLogger) Named(string) hclog.Logger { return l }

// ResetNamed returns the same logger.
func (l *raftLogger) ResetNamed(string) hclog.Logger { return l }

// With returns the same logger.
func (l *raftLogger) With(...any) hclog.Logger { return l }

// IsInfo reports that messages of that level are written.
func (l *raftLogger) IsInfo() bool { return true }

// IsWarn reports that messages of that level are written.
func (l *raftLogger) IsWarn() bool { return true }

// IsError reports that messages of that level are written.
func (l *raftLogger) IsError() bool { return true }

// Log writes a message of a level.
func (l *raftLogger) Log(level hclog.Level, message string, args ...any) {
	switch level {
	case hclog.Info:
		l.Info(message, args...)
	case hclog.Warn:
		l.Warn(message, args...)
	case hclog.Error:
		l.Error(message, args...)
	}
}

// write writes a message with its key-value pairs, unless it is suppressed.
func (l *raftLogger) write(level slog.Level, message string, pairs []any) {
	if !slog.Default().Enabled(context.Background(), level) {
		return
	}
	suppressed, isSuppressed := l.suppress(message)
	if isSuppressed {
		return
	}
	attrs := []any{"raft", message, "suppressed", suppressed}
	for i := 0; i+1 < len(pairs); i += 2 {
		attrs = append(attrs, fmt.Sprint(pairs[i]), fmt.Sprint(pairs[i+1]))
	}
	slog.Log(context.Background(), level, "raft message", attrs...)
}

// suppress reports whether to suppress a message because it was written less than an interval ago. If not, it returns how
// many were suppressed since it was last written.
func (l *raftLogger) suppress(message string) (suppressed int, isSuppressed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	recent := l.recent[message]
	if recent == nil {
		recent = &recentMessage{}
		l.recent[message] = recent
	}
	if time.Since(recent.loggedAt) < l.interval {
		recent.suppressed++
		return 0, true
	}
	suppressed = recent.suppressed
	recent.loggedAt, recent.suppressed = time.Now(), 0
	return suppressed, false
}

// StandardLogger returns a logger that discards everything.
func (l *raftLogger) StandardLogger(*hclog.StandardLoggerOptions) *log.Logger {
	return log.New(io.Discard, "", 0)
}

// StandardWriter returns a writer that discards everything.
func (l *raftLogger) StandardWriter(*hclog.StandardLoggerOptions) io.Writer { return io.Discard }
