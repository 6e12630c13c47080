package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/state"
)

// suspicionBy returns a watcher's first suspicion about a member.
func suspicionBy(watcher, member state.Member) Suspicion {
	return Suspicion{Member: member.Name, Incarnation: member.Incarnation, Sequence: member.Sequence,
		Watcher: watcher.Name, WatcherIncarnation: watcher.Incarnation, Revision: 1}
}

// newTableWithUnwatchedMember returns the table of m0 in a system of ten members in three zones, a member that m0
// doesn't watch, and that member's watchers.
func newTableWithUnwatchedMember(t *testing.T) (table *Table, member state.Member, watchers []state.Member) {
	t.Helper()
	table = tableOf(membersInZones(10, "a1", "a2", "b1")...)
	for _, member := range table.LiveMembers() {
		watchers := table.Watchers(member.Name)
		isSelf := func(watcher state.Member) bool { return watcher.Name == "m0" }
		if member.Name != "m0" && !contains(watchers, isSelf) {
			return table, member, watchers
		}
	}
	require.FailNow(t, "m0 watches all members")
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

func TestTick_MajorityOfWatchersMarksDown(t *testing.T) {
	table, member, watchers := newTableWithUnwatchedMember(t)
	var changes []Change
	table.OnChange(func(change Change) { changes = append(changes, change) })
	now := startTime.Add(100 * time.Millisecond)
	table.MergeSuspicion(suspicionBy(watchers[0], member))
	table.Tick(now)
	assert.False(t, table.IsDown(member.Name), "only one of three watchers suspects it")
	table.MergeSuspicion(suspicionBy(watchers[1], member))
	table.Tick(now)
	assert.True(t, table.IsDown(member.Name))
	since, _ := table.DownSince(member.Name)
	assert.Equal(t, now, since)
	assert.Equal(t, []Change{{Member: member, Down: true}}, changes)
	assert.Equal(t, 9, table.CountLive(state.RoleAgent, ""))
	assert.Equal(t, 10, table.CountRecentlyLive(now, state.RoleAgent, time.Minute))
}

// TestMergeSuspicion_Invalidation checks which events invalidate a first watcher's suspicion: if it still counts when
// the second watcher suspects the member too, the member goes down.
func TestMergeSuspicion_Invalidation(t *testing.T) {
	for _, test := range []struct {
		name       string
		invalidate func(table *Table, member, watcher state.Member)
		down       bool
	}{
		{"nothing", func(*Table, state.Member, state.Member) {}, true},
		{"withdrawn", func(table *Table, member, watcher state.Member) {
			suspicion := suspicionBy(watcher, member)
			suspicion.Revision = 2
			suspicion.Withdrawn = true
			table.MergeSuspicion(suspicion)
		}, false},
		{"a newer version of the member", func(table *Table, member, _ state.Member) {
			member.Sequence++
			table.MergeMember(startTime, member)
		}, false},
		{"a new incarnation of the member", func(table *Table, member, _ state.Member) {
			member.Incarnation++
			table.MergeMember(startTime, member)
		}, false},
		{"a new incarnation of the watcher", func(table *Table, _, watcher state.Member) {
			watcher.Incarnation++
			table.MergeMember(startTime, watcher)
		}, false},
		{"an older withdrawal by the watcher arrives late", func(table *Table, member, watcher state.Member) {
			suspicion := suspicionBy(watcher, member)
			suspicion.Revision = 0
			suspicion.Withdrawn = true
			table.MergeSuspicion(suspicion)
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			table, member, watchers := newTableWithUnwatchedMember(t)
			table.MergeSuspicion(suspicionBy(watchers[0], member))
			test.invalidate(table, member, watchers[0])
			table.MergeSuspicion(suspicionBy(watchers[1], member))
			table.Tick(startTime)
			assert.Equal(t, test.down, table.IsDown(member.Name))
		})
	}
}

func TestRefute_RevivesDownMember(t *testing.T) {
	table, member, watchers := newTableWithUnwatchedMember(t)
	for _, watcher := range watchers {
		table.MergeSuspicion(suspicionBy(watcher, member))
	}
	table.Tick(startTime)
	require.True(t, table.IsDown(member.Name))
	ack := table.ReceiveHeartbeat(startTime, Heartbeat{
		Name:        member.Name,
		Incarnation: member.Incarnation,
		Sequence:    member.Sequence,
	})
	assert.Equal(t, HeartbeatAck{RefuteAbove: member.Sequence}, ack)
	assert.Equal(t, ack, table.RefutationNotice(member.Name))
	assert.True(t, table.IsDown(member.Name), "its newer version has not arrived yet")

	own := tableOf(member)
	refuted, raised := own.Refute(startTime.Add(time.Second), ack.RefuteAbove)
	require.True(t, raised)
	_, raised = own.Refute(startTime.Add(time.Second), ack.RefuteAbove)
	assert.False(t, raised, "not again within refuteInterval")
	assert.True(t, table.MergeMember(startTime, refuted))
	assert.False(t, table.IsDown(member.Name))
	assert.Equal(t, HeartbeatAck{}, table.RefutationNotice(member.Name))
}

// TestMergeMember_OnlyNewerVersions checks that a version is applied only if it is newer than the known one.
func TestMergeMember_OnlyNewerVersions(t *testing.T) {
	known := memberIn("other", "a1", "a")
	known.Incarnation, known.Sequence = 5, 5
	for _, test := range []struct {
		name                  string
		incarnation, sequence uint64
		merged                bool
	}{
		{"the same", 5, 5, false},
		{"an older sequence", 5, 4, false},
		{"a newer sequence", 5, 6, true},
		{"an older incarnation with a newer sequence", 4, 9, false},
		{"a newer incarnation with an older sequence", 6, 1, true},
	} {
		table := tableOf(memberIn("self", "a1", "a"), known)
		version := known
		version.Incarnation, version.Sequence = test.incarnation, test.sequence
		assert.Equal(t, test.merged, table.MergeMember(startTime, version), test.name)
		stored, _ := table.Member("other")
		assert.Equal(t, test.merged, stored == version && stored != known, test.name)
	}
}

func TestTick_SuspectsAndWithdraws(t *testing.T) {
	watched := memberIn("other", "a1", "a")
	table := tableOf(memberIn("self", "a1", "a"), watched)
	suspicions, _ := table.Tick(startTime)
	assert.Empty(t, suspicions)
	heartbeat := Heartbeat{Name: "other", Incarnation: 1, Sequence: 1}
	last := startTime
	for range 20 {
		last = last.Add(HeartbeatInterval)
		assert.Equal(t, HeartbeatAck{}, table.ReceiveHeartbeat(last, heartbeat))
		suspicions, _ = table.Tick(last)
		assert.Empty(t, suspicions)
	}
	assert.Equal(t, last.Add(SuspicionTimeout), table.NextTimeout())
	for at := last; at.Before(last.Add(SuspicionTimeout)); at = at.Add(100 * time.Millisecond) {
		suspicions, _ = table.Tick(at)
		assert.Empty(t, suspicions)
	}
	suspicions, _ = table.Tick(last.Add(SuspicionTimeout))
	require.Len(t, suspicions, 1)
	assert.False(t, suspicions[0].Withdrawn)
	assert.True(t, table.IsDown("other"), "its only watcher suspects it")

	watched.Sequence++
	table.MergeMember(last.Add(2*time.Second), watched)
	suspicions, _ = table.Tick(last.Add(2 * time.Second))
	require.Len(t, suspicions, 1)
	assert.True(t, suspicions[0].Withdrawn)
	assert.False(t, table.IsDown("other"))
}

func TestTick_RestartsTimeoutsAfterSuspension(t *testing.T) {
	table := tableOf(memberIn("self", "a1", "a"), memberIn("other", "a1", "a"))
	table.Tick(startTime)
	suspicions, _ := table.Tick(startTime.Add(time.Minute))
	assert.Empty(t, suspicions)
	assert.False(t, table.IsDown("other"))
}

func TestReceiveHeartbeat_OfUnknownVersion(t *testing.T) {
	table := tableOf(memberIn("self", "a1", "a"), memberIn("other", "a1", "a"))
	assert.True(t, table.ReceiveHeartbeat(startTime, Heartbeat{Name: "new", Incarnation: 1, Sequence: 1}).Unknown)
	assert.True(t, table.ReceiveHeartbeat(startTime, Heartbeat{Name: "other", Incarnation: 2, Sequence: 1}).Unknown)
	assert.True(t, table.ReceiveHeartbeat(startTime, Heartbeat{Name: "other", Incarnation: 1, Sequence: 2}).Unknown)
	earlier := Heartbeat{Name: "other", Incarnation: 0, Sequence: 9}
	assert.Equal(t, HeartbeatAck{}, table.ReceiveHeartbeat(startTime, earlier), "an earlier incarnation")
}

func TestTick_RemovesMembersAfterRetention(t *testing.T) {
	table, member, watchers := newTableWithUnwatchedMember(t)
	for _, watcher := range watchers {
		table.MergeSuspicion(suspicionBy(watcher, member))
	}
	now := startTime
	table.Tick(now)
	var removed []string
	for now.Before(startTime.Add(RetentionPeriod + time.Second)) {
		now = now.Add(HeartbeatInterval)
		for _, other := range table.LiveMembers() {
			table.ReceiveHeartbeat(now, Heartbeat{Name: other.Name, Incarnation: 1, Sequence: 1})
		}
		_, names := table.Tick(now)
		removed = append(removed, names...)
	}
	assert.Equal(t, []string{member.Name}, removed)
	assert.Equal(t, 9, table.CountRecentlyLive(now, state.RoleAgent, time.Minute))
	assert.Equal(t, 10, table.CountRecentlyLive(now, state.RoleAgent, 90*time.Second), "still counted for longer windows")
}

// TestTick_NeverMarksSelfDown checks that the local member stays live in its own table when all its watchers suspect
// it.
func TestTick_NeverMarksSelfDown(t *testing.T) {
	table := tableOf(membersInZones(10, "a1", "a2", "b1")...)
	for _, watcher := range table.Watchers("m0") {
		table.MergeSuspicion(suspicionBy(watcher, table.Self()))
	}
	table.Tick(startTime)
	assert.False(t, table.IsDown("m0"))
	assert.Len(t, table.LiveMembers(), 10)
}

// TestTick_MarksDeadRegionDownTogether checks the loss of a whole region, after which each of its members has only its
// watcher in the other region left. The members are probed, and since none responds, one tick marks all of them as
// down.
func TestTick_MarksDeadRegionDownTogether(t *testing.T) {
	members := membersInZones(30, "a1", "a2", "b1")
	table := tableOf(members[2:]...) // m2 is in b1
	for _, member := range members[:2] {
		table.MergeMember(startTime, member)
	}
	var suspicions []Suspicion
	for _, member := range table.LiveMembers() {
		for _, watcher := range table.Watchers(member.Name) {
			if member.Region == "a" && watcher.Region == "b" {
				suspicions = append(suspicions, suspicionBy(watcher, member))
			}
		}
	}
	for i, suspicion := range suspicions {
		table.MergeSuspicion(suspicion)
		table.Tick(startTime)
		live := table.CountLive(state.RoleAgent, "a")
		if i < len(suspicions)-1 {
			require.Greater(t, live, 0, "members that aren't suspected yet have a vote")
		}
	}
	require.True(t, table.HasMembersToProbe())
	almost := startTime.Add(zoneProbePeriod - time.Millisecond)
	table.Tick(almost)
	assert.Equal(t, 20, table.CountLive(state.RoleAgent, "a"), "the members are probed first")
	table.Tick(startTime.Add(zoneProbePeriod))
	assert.Zero(t, table.CountLive(state.RoleAgent, "a"))
	assert.Equal(t, 10, table.CountLive(state.RoleAgent, "b"))
}
