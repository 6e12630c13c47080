package subprocess

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"time"
)

// Line is a line that a program wrote.
type Line struct {
	At   time.Time // when it was read
	Text string
}

// ContainsAll reports whether the line contains all the parts.
func (l Line) ContainsAll(parts ...string) bool {
	for _, p := range parts {
		if !strings.Contains(l.Text, p) {
			return false
		}
	}
	return l.Text != ""
}

// Log is the output of a program, over all its runs. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	partial []byte // of a line that isn't complete yet
	lines   []Line
	changed chan struct{} // closed at the next line
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{changed: make(chan struct{})} }

// Write adds what a process writes.
func (l *Log) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partial = append(l.partial, b...)
	for {
		end := bytes.IndexByte(l.partial, '\n')
		if end < 0 {
			return len(b), nil
		}
		l.add(string(l.partial[:end]))
		l.partial = l.partial[end+1:]
	}
}

// Annotate adds a line of the test's own, so that faults appear beside what they cause.
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

// Offset returns the offset of the next line, for Find, FindAll and Await.
func (l *Log) Offset() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.lines)
}

// Find returns the first line from an offset on that contains all the parts.
func (l *Log) Find(from int, parts ...string) (Line, bool) {
	line, _, _ := l.find(from, parts)
	return line, line.Text != ""
}

// find also returns the offset of the next line, and a channel that is closed once there is one.
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

// FindAll returns the lines from an offset on that contain all the parts.
func (l *Log) FindAll(from int, parts ...string) (found []Line) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range l.lines[min(from, len(l.lines)):] {
		if line.ContainsAll(parts...) {
			found = append(found, line)
		}
	}
	return found
}

// Await waits for a line from an offset on that contains all the parts, and returns false if there is none within a
// time.
func (l *Log) Await(from int, timeout time.Duration, parts []string) (Line, bool) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		line, next, changed := l.find(from, parts)
		if line.Text != "" {
			return line, true
		}
		from = max(from, next)
		select {
		case <-changed:
		case <-timer.C:
			return Line{}, false
		}
	}
}

// Tail returns the last lines, for a reader of a failure.
func (l *Log) Tail(limit int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := &strings.Builder{}
	for _, line := range l.lines[max(0, len(l.lines)-limit):] {
		fmt.Fprintf(out, "  %s %s\n", line.At.Format("05.000"), line.Text)
	}
	return out.String()
}
