package harness

import (
	"strings"
	"time"

	"github.com/stretchr/testify/require"
)

// Leader waits until one keeper alone says that it leads, and returns it.
func (f *Fleet) Leader() (leader *Member) {
	f.t.Helper()
	f.Soon("one keeper leads", func() bool { leader = f.LeaderNow(); return leader != nil })
	return leader
}

// LeaderNow is the one keeper that says so now, or nil.
func (f *Fleet) LeaderNow() (leader *Member) {
	for _, m := range f.Keepers() {
		if m.Running() && !m.stopped && leads(m) {
			if leader != nil {
				return nil
			}
			leader = m
		}
	}
	return leader
}

// leads asks a keeper whether it leads: the one place that knows how it says so.
func leads(m *Member) bool {
	value, ok := m.Metric("keeper_leading")
	return ok && value == "1"
}

// Soon waits for something, for long.
func (f *Fleet) Soon(what string, is func() bool) {
	f.t.Helper()
	for until := time.Now().Add(readyWithin); !is(); time.Sleep(2 * time.Millisecond) {
		require.True(f.t, time.Now().Before(until), "never: %s", what)
	}
}

// Marks are where each member's log stands now.
func (f *Fleet) Marks() map[*Member]int {
	marks := map[*Member]int{}
	for _, m := range f.Members {
		marks[m] = m.Log.Mark()
	}
	return marks
}

// Said is a member that has said all parts in one line since the marks, or nil.
func (f *Fleet) Said(marks map[*Member]int, parts ...string) *Member {
	for _, m := range f.Members {
		if _, ok := m.Log.Find(marks[m], parts...); ok {
			return m
		}
	}
	return nil
}

// AwaitAny waits for a member that says so: whichever a task falls to.
func (f *Fleet) AwaitAny(marks map[*Member]int, parts ...string) (who *Member) {
	f.t.Helper()
	f.Soon("a member says "+strings.Join(parts, " "), func() bool {
		who = f.Said(marks,
			parts...)
		return who != nil
	})
	return who
}
