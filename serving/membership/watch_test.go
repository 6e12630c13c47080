package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/state"
)

// suspicionBy makes a watcher's first word on a member.
func suspicionBy(watcher, member state.Member) Suspicion {
	return Suspicion{Member: member.Name, Incarnation: member.Incarnation, Sequence: member.Sequence,
		Watcher: watcher.Name, WatcherIncarnation: watcher.Incarnation, Revision: 1}
}

// fixture is a table of m0 in a system of ten members in three zones, and a member that m0 does not watch.
func fixture(t *testing.T) (table *Table, member state.Member, watchers []state.Member) {
	t.Helper()
	table = tableOf(deal(10, "a1", "a2", "b1")...)
	for _, member := range table.LiveMembers() {
		watchers := table.Watchers(member.Name)
		isSelf := func(watcher state.Member) bool { return watcher.Name == "m0" }
		if member.Name != "m0" && !contains(watchers, isSelf) {
			return table, member, watchers
		}
	}
	require.FailNow(t, "all are watched by m0")
	return nil, state.Member{}, nil
}

func contains(members []state.Member, is func(state.Member) bool) bool {
	for _, member := range members {
		if is(member) {
			return true
		}
	}
	return false
}

func TestMajorityOfWatchersMakesDown(t *testing.T) {
	table, member, watchers := fixture(t)
	var changes []Change
	table.OnChange(func(change Change) { changes = append(changes, change) })
	now := begun.Add(100 * time.Millisecond)
	table.MergeSuspicion(suspicionBy(watchers[0], member))
	table.Tick(now)
	assert.False(t, table.IsDown(member.Name), "one of three")
	table.MergeSuspicion(suspicionBy(watchers[1], member))
	table.Tick(now)
	assert.True(t, table.IsDown(member.Name))
	since, _ := table.DownSince(member.Name)
	assert.Equal(t, now, since)
	assert.Equal(t, []Change{{Member: member, Down: true}}, changes)
	assert.Equal(t, 9, table.CountLive(state.RoleAgent, ""))
	assert.Equal(t, 10, table.CountRecentlyLive(now, state.RoleAgent, time.Minute))
}

// TestWhatEndsASuspicion tries each thing that makes a word void, before the second watcher speaks.
func TestWhatEndsASuspicion(t *testing.T) {
	for _, point := range []struct {
		name string
		do   func(table *Table, member, watcher state.Member)
		down bool
	}{
		{"nothing", func(*Table, state.Member, state.Member) {}, true},
		{"withdrawn", func(table *Table, member, watcher state.Member) {
			word := suspicionBy(watcher, member)
			word.Revision, word.Withdrawn = 2, true
			table.MergeSuspicion(word)
		}, false},
		{"a newer word of the member", func(table *Table, member, _ state.Member) {
			member.Sequence++
			table.MergeMember(begun, member)
		}, false},
		{"a new life of the member", func(table *Table, member, _ state.Member) {
			member.Incarnation++
			table.MergeMember(begun, member)
		}, false},
		{"a new life of the watcher", func(table *Table, _, watcher state.Member) {
			watcher.Incarnation++
			table.MergeMember(begun, watcher)
		}, false},
		{"an older word of the watcher comes late", func(table *Table, member, watcher state.Member) {
			word := suspicionBy(watcher, member)
			word.Revision, word.Withdrawn = 0, true
			table.MergeSuspicion(word)
		}, true},
	} {
		t.Run(point.name, func(t *testing.T) {
			table, member, watchers := fixture(t)
			table.MergeSuspicion(suspicionBy(watchers[0], member))
			point.do(table, member, watchers[0])
			table.MergeSuspicion(suspicionBy(watchers[1], member))
			table.Tick(begun)
			assert.Equal(t, point.down, table.IsDown(member.Name))
		})
	}
}

func TestDownMemberComesBackByItsOwnWord(t *testing.T) {
	table, member, watchers := fixture(t)
	for _, watcher := range watchers {
		table.MergeSuspicion(suspicionBy(watcher, member))
	}
	table.Tick(begun)
	require.True(t, table.IsDown(member.Name))
	heard := table.ReceiveHeartbeat(begun, Heartbeat{Name: member.Name, Incarnation: member.Incarnation, Sequence: member.Sequence})
	assert.Equal(t, HeartbeatAck{RefuteAbove: member.Sequence}, heard)
	assert.Equal(t, heard, table.DownNotice(member.Name))
	assert.True(t, table.IsDown(member.Name), "its entry has to be known to all")

	its := tableOf(member)
	word, raised := its.Refute(begun.Add(time.Second), heard.RefuteAbove)
	require.True(t, raised)
	_, raised = its.Refute(begun.Add(time.Second), heard.RefuteAbove)
	assert.False(t, raised, "once is enough")
	assert.True(t, table.MergeMember(begun, word))
	assert.False(t, table.IsDown(member.Name))
	assert.Equal(t, HeartbeatAck{}, table.DownNotice(member.Name))
}

func TestWatcherSuspectsAndWithdraws(t *testing.T) {
	watched := memberIn("other", "a1", "a")
	table := tableOf(memberIn("self", "a1", "a"), watched)
	words, _ := table.Tick(begun)
	assert.Empty(t, words)
	beat := Heartbeat{Name: "other", Incarnation: 1, Sequence: 1}
	last := begun
	for range 20 {
		last = last.Add(HeartbeatInterval)
		assert.Equal(t, HeartbeatAck{}, table.ReceiveHeartbeat(last, beat))
		words, _ = table.Tick(last)
		assert.Empty(t, words)
	}
	assert.Equal(t, last.Add(SuspicionTimeout), table.NextTimeout())
	for at := last; at.Before(last.Add(SuspicionTimeout)); at = at.Add(100 * time.Millisecond) {
		words, _ = table.Tick(at)
		assert.Empty(t, words)
	}
	words, _ = table.Tick(last.Add(SuspicionTimeout))
	require.Len(t, words, 1)
	assert.False(t, words[0].Withdrawn)
	assert.True(t, table.IsDown("other"), "its only watcher")

	watched.Sequence++
	table.MergeMember(last.Add(2*time.Second), watched)
	words, _ = table.Tick(last.Add(2 * time.Second))
	require.Len(t, words, 1)
	assert.True(t, words[0].Withdrawn)
	assert.False(t, table.IsDown("other"))
}

func TestWatcherThatStoodStillBeginsAnew(t *testing.T) {
	table := tableOf(memberIn("self", "a1", "a"), memberIn("other", "a1", "a"))
	table.Tick(begun)
	words, _ := table.Tick(begun.Add(time.Minute))
	assert.Empty(t, words)
	assert.False(t, table.IsDown("other"))
}

func TestUnknownSenderIsToIntroduceItself(t *testing.T) {
	table := tableOf(memberIn("self", "a1", "a"), memberIn("other", "a1", "a"))
	assert.True(t, table.ReceiveHeartbeat(begun, Heartbeat{Name: "new", Incarnation: 1, Sequence: 1}).Unknown)
	assert.True(t, table.ReceiveHeartbeat(begun, Heartbeat{Name: "other", Incarnation: 2, Sequence: 1}).Unknown)
	assert.True(t, table.ReceiveHeartbeat(begun, Heartbeat{Name: "other", Incarnation: 1, Sequence: 2}).Unknown)
	assert.Equal(t, HeartbeatAck{}, table.ReceiveHeartbeat(begun, Heartbeat{Name: "other", Incarnation: 0, Sequence: 9}), "an old life")
}

func TestMembersAreForgotten(t *testing.T) {
	table, member, watchers := fixture(t)
	for _, watcher := range watchers {
		table.MergeSuspicion(suspicionBy(watcher, member))
	}
	now := begun
	table.Tick(now)
	var forgotten []string
	for now.Before(begun.Add(RetentionPeriod + time.Second)) {
		now = now.Add(HeartbeatInterval)
		for _, other := range table.LiveMembers() {
			table.ReceiveHeartbeat(now, Heartbeat{Name: other.Name, Incarnation: 1, Sequence: 1})
		}
		_, names := table.Tick(now)
		forgotten = append(forgotten, names...)
	}
	assert.Equal(t, []string{member.Name}, forgotten)
	assert.Equal(t, 9, table.CountRecentlyLive(now, state.RoleAgent, time.Minute))
	assert.Equal(t, 10, table.CountRecentlyLive(now, state.RoleAgent, 90*time.Second), "remembered for longer windows")
}

// TestNobodyTakesTheOwnProcessForDead: a process that others suspect still counts itself as live.
func TestNobodyTakesTheOwnProcessForDead(t *testing.T) {
	table := tableOf(deal(10, "a1", "a2", "b1")...)
	for _, watcher := range table.Watchers("m0") {
		table.MergeSuspicion(suspicionBy(watcher, table.Self()))
	}
	table.Tick(begun)
	assert.False(t, table.IsDown("m0"))
	assert.Len(t, table.LiveMembers(), 10)
}

// TestDeadRegionIsJudgedTogether: of each member's watchers only the one in the other region can speak.
func TestDeadRegionIsJudgedTogether(t *testing.T) {
	members := deal(30, "a1", "a2", "b1")
	table := tableOf(members[2:]...) // m2 is in b1
	for _, member := range members[:2] {
		table.MergeMember(begun, member)
	}
	var words []Suspicion
	for _, member := range table.LiveMembers() {
		for _, watcher := range table.Watchers(member.Name) {
			if member.Region == "a" && watcher.Region == "b" {
				words = append(words, suspicionBy(watcher, member))
			}
		}
	}
	for i, word := range words {
		table.MergeSuspicion(word)
		table.Tick(begun)
		live := table.CountLive(state.RoleAgent, "a")
		if i < len(words)-1 {
			require.Greater(t, live, 0, "as long as one may live, its neighbours may too")
		}
	}
	assert.Zero(t, table.CountLive(state.RoleAgent, "a"))
	assert.Equal(t, 10, table.CountLive(state.RoleAgent, "b"))
}
