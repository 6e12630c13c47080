package subprocess

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"time"
)

// Line is one that a program wrote, and when it came.
type Line struct {
	At   time.Time
	Text string
}

// Log is all that a program wrote, over all its lives.
type Log struct {
	mu      sync.Mutex
	partial []byte
	lines   []Line
	changed chan struct{} // closed at the next line
}

// NewLog returns an empty one.
func NewLog() *Log { return &Log{changed: make(chan struct{})} }

// Write takes what the process writes.
func (l *Log) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partial = append(l.partial, b...)
	for {
		i := bytes.IndexByte(l.partial, '\n')
		if i < 0 {
			return len(b), nil
		}
		l.add(string(l.partial[:i]))
		l.partial = l.partial[i+1:]
	}
}

// Annotate adds a line of the harness's own, so that faults stand among what they cause.
func (l *Log) Annotate(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add("# " + fmt.Sprintf(format, args...))
}

func (l *Log) add(text string) {
	l.lines = append(l.lines, Line{time.Now(), text})
	close(l.changed)
	l.changed = make(chan struct{})
}

// Offset is where the next line will stand: Find and Await can start there.
func (l *Log) Offset() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.lines)
}

// Find is the first line from a mark on that has all parts in it.
func (l *Log) Find(from int, parts ...string) (Line, bool) {
	line, _, _ := l.find(from, parts)
	return line, line.Text != ""
}

func (l *Log) find(from int, parts []string) (Line, int, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := from; i < len(l.lines); i++ {
		if l.lines[i].ContainsAll(parts...) {
			return l.lines[i], len(l.lines), l.changed
		}
	}
	return Line{}, len(l.lines), l.changed
}

// ContainsAll tells whether the line has all parts in it.
func (l Line) ContainsAll(parts ...string) bool {
	for _, p := range parts {
		if !strings.Contains(l.Text, p) {
			return false
		}
	}
	return l.Text != ""
}

// FindAll are the lines from a mark on that have all parts in them.
func (l *Log) FindAll(from int, parts ...string) (all []Line) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range l.lines[min(from, len(l.lines)):] {
		if line.ContainsAll(parts...) {
			all = append(all, line)
		}
	}
	return all
}

// Await waits for a line from a mark on that has all parts in it; false: none came within that time.
func (l *Log) Await(from int, within time.Duration, parts []string) (Line, bool) {
	timer := time.NewTimer(within)
	defer timer.Stop()
	for {
		line, seen, more := l.find(from, parts)
		if line.Text != "" {
			return line, true
		}
		from = max(from, seen)
		select {
		case <-more:
		case <-timer.C:
			return Line{}, false
		}
	}
}

// Tail is the last lines, for whoever reads a failure.
func (l *Log) Tail(most int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := &strings.Builder{}
	for _, line := range l.lines[max(0, len(l.lines)-most):] {
		fmt.Fprintf(out, "  %s %s\n", line.At.Format("05.000"), line.Text)
	}
	return out.String()
}
