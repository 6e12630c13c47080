package harness

import (
	"strings"
	"time"

	"github.com/stretchr/testify/require"
)

// Time-outs of waits: generous, for a machine with other work. No test asserts them.
const (
	readyTimeout = 30 * time.Second
	logTimeout   = 30 * time.Second
	exitTimeout  = 10 * time.Second

	pollInterval = 2 * time.Millisecond
)

// Eventually waits until a condition holds, and fails the test if it doesn't in readyTimeout.
func (c *Cluster) Eventually(what string, condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(readyTimeout)
	for !condition() {
		require.True(c.t, time.Now().Before(deadline), "never: %s", what)
		time.Sleep(pollInterval)
	}
}

// AwaitLeader waits until exactly one raft node reports that it leads, and returns it.
func (c *Cluster) AwaitLeader() (leader *Member) {
	c.t.Helper()
	c.Eventually("one raft node leads", func() bool {
		leader = c.Leader()
		return leader != nil
	})
	return leader
}

// Leader returns the raft node that reports that it leads, or nil if there is none or more than one.
func (c *Cluster) Leader() (leader *Member) {
	for _, m := range c.RaftNodes() {
		if !m.IsRunning() || m.paused || !m.reportsLeading() {
			continue
		}
		if leader != nil {
			return nil
		}
		leader = m
	}
	return leader
}

// reportsLeading reports whether a raft node leads, by its metrics.
func (m *Member) reportsLeading() bool {
	value, ok := m.Metric("keeper_leading")
	return ok && value == "1"
}

// LogOffsets returns each member's log offset, for FindLog and AwaitLog.
func (c *Cluster) LogOffsets() map[*Member]int {
	offsets := map[*Member]int{}
	for _, m := range c.Members {
		offsets[m] = m.Log.Offset()
	}
	return offsets
}

// FindLog returns a member that has logged a line with all the parts since the offsets, or nil.
func (c *Cluster) FindLog(offsets map[*Member]int, parts ...string) *Member {
	for _, m := range c.Members {
		if _, ok := m.Log.Find(offsets[m], parts...); ok {
			return m
		}
	}
	return nil
}

// AwaitLog waits until any member logs a line with all the parts, and returns it.
func (c *Cluster) AwaitLog(offsets map[*Member]int, parts ...string) (found *Member) {
	c.t.Helper()
	c.Eventually("a member logs "+strings.Join(parts, " "), func() bool {
		found = c.FindLog(offsets, parts...)
		return found != nil
	})
	return found
}
