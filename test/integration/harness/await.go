package harness

import (
	"strings"
	"time"

	"github.com/stretchr/testify/require"
)

// AwaitLeader waits until one keeper alone says that it leads, and returns it.
func (f *Cluster) AwaitLeader() (leader *Member) {
	f.t.Helper()
	f.Eventually("one keeper leads", func() bool { leader = f.Leader(); return leader != nil })
	return leader
}

// Leader is the one keeper that says so now, or nil.
func (f *Cluster) Leader() (leader *Member) {
	for _, m := range f.RaftNodes() {
		if m.Running() && !m.paused && reportsLeading(m) {
			if leader != nil {
				return nil
			}
			leader = m
		}
	}
	return leader
}

// reportsLeading asks a keeper whether it leads: the one place that knows how it says so.
func reportsLeading(m *Member) bool {
	value, ok := m.Metric("keeper_leading")
	return ok && value == "1"
}

// Eventually waits for something, for long.
func (f *Cluster) Eventually(what string, is func() bool) {
	f.t.Helper()
	for until := time.Now().Add(readyTimeout); !is(); time.Sleep(2 * time.Millisecond) {
		require.True(f.t, time.Now().Before(until), "never: %s", what)
	}
}

// LogOffsets are where each member's log stands now.
func (f *Cluster) LogOffsets() map[*Member]int {
	marks := map[*Member]int{}
	for _, m := range f.Members {
		marks[m] = m.Log.Offset()
	}
	return marks
}

// FindLog is a member that has said all parts in one line since the marks, or nil.
func (f *Cluster) FindLog(marks map[*Member]int, parts ...string) *Member {
	for _, m := range f.Members {
		if _, ok := m.Log.Find(marks[m], parts...); ok {
			return m
		}
	}
	return nil
}

// AwaitLog waits for a member that says so: whichever a task falls to.
func (f *Cluster) AwaitLog(marks map[*Member]int, parts ...string) (who *Member) {
	f.t.Helper()
	f.Eventually("a member says "+strings.Join(parts, " "), func() bool {
		who = f.FindLog(marks,
			parts...)
		return who != nil
	})
	return who
}
