package membership

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/state"
)

// inOrder is a shuffle that changes nothing.
func inOrder([]state.Member) {}

// newTableWithDoubtfulPair returns the table of m0 and two members that watch each other, of which each is suspected by
// all its other watchers.
func newTableWithDoubtfulPair(t *testing.T) (table *Table, one, other state.Member) {
	t.Helper()
	table = tableOf(membersInZones(12, "a1", "a2", "b1")...)
	isNamed := func(name string) func(state.Member) bool {
		return func(member state.Member) bool { return member.Name == name }
	}
	for _, one := range table.LiveMembers() {
		for _, other := range table.Watchers(one.Name) {
			pair := []string{one.Name, other.Name}
			if slices.Contains(pair, "m0") || !contains(table.Watchers(other.Name), isNamed(one.Name)) {
				continue
			}
			for _, member := range []state.Member{one, other} {
				for _, watcher := range table.Watchers(member.Name) {
					if !slices.Contains(pair, watcher.Name) {
						table.MergeSuspicion(suspicionBy(watcher, member))
						break // one of two, beside the live one: no majority of the live watchers
					}
				}
			}
			return table, one, other
		}
	}
	require.FailNow(t, "no two members watch each other")
	return nil, state.Member{}, state.Member{}
}

// markOthersDown marks all watchers of a pair outside of it as down that have no suspicion.
func markOthersDown(table *Table, pair ...state.Member) {
	for _, member := range pair {
		suspecting := table.suspectingWatchers()[member.Name]
		for _, watcher := range table.Watchers(member.Name) {
			inPair := watcher.Name == pair[0].Name || watcher.Name == pair[1].Name
			if !inPair && !slices.Contains(suspecting, watcher.Name) && !table.IsDown(watcher.Name) {
				table.markDown(startTime, table.members[watcher.Name])
			}
		}
	}
}

// TestDoubt_OfMembersThatWatchEachOther probes two members that only count as dead if neither has a vote about the
// other.
func TestDoubt_OfMembersThatWatchEachOther(t *testing.T) {
	for _, test := range []struct {
		name     string
		responds []bool // of one and other
		oneDown  bool
	}{
		{name: "neither responds", responds: []bool{false, false}, oneDown: true},
		{name: "both respond", responds: []bool{true, true}},
		{name: "the other responds and so has a vote", responds: []bool{false, true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			table, one, other := newTableWithDoubtfulPair(t)
			markOthersDown(table, one, other)
			now := startTime
			table.Tick(now)
			require.False(t, table.IsDown(one.Name), "not before it was probed")
			probed := table.MembersToProbe(now, inOrder)
			require.ElementsMatch(t, []string{one.Name, other.Name}, namesOf(probed))
			for i, member := range []state.Member{one, other} {
				if test.responds[i] {
					assert.NotZero(t, table.RefutationNotice(member.Name), "it refutes the suspicion")
					table.RecordContact(now, member.Name)
				}
			}
			table.Tick(now.Add(zoneProbePeriod - time.Millisecond))
			assert.False(t, table.IsDown(one.Name))
			table.Tick(now.Add(zoneProbePeriod))
			assert.Equal(t, test.oneDown, table.IsDown(one.Name))
			assert.Equal(t, test.oneDown, table.IsDown(other.Name))
		})
	}
}

// TestDoubt_OfSingleWatcherWhileOthersAreDown: the only live watcher of a member may have lost just its own path to it.
func TestDoubt_OfSingleWatcherWhileOthersAreDown(t *testing.T) {
	for _, responds := range []bool{false, true} {
		table, member, watchers := newUnwatchedMember(t)
		for _, watcher := range watchers[1:] {
			table.markDown(startTime, table.members[watcher.Name])
		}
		table.MergeSuspicion(suspicionBy(watchers[0], member))
		table.Tick(startTime)
		require.False(t, table.IsDown(member.Name), "not before it was probed")
		require.Contains(t, namesOf(table.MembersToProbe(startTime, inOrder)), member.Name)
		if responds {
			table.RecordContact(startTime, member.Name)
		}
		table.Tick(startTime.Add(zoneProbePeriod))
		assert.Equal(t, !responds, table.IsDown(member.Name), "responds: %t", responds)
	}
}

// TestDoubt_EndsWithTheSuspicion refutes the suspicion about a doubtful member.
func TestDoubt_EndsWithTheSuspicion(t *testing.T) {
	table, one, other := newTableWithDoubtfulPair(t)
	markOthersDown(table, one, other)
	now := startTime
	table.Tick(now)
	require.True(t, table.HasMembersToProbe())
	one.Sequence++
	table.MergeMember(now, one)
	table.Tick(now)
	assert.False(t, table.HasMembersToProbe())
	assert.Zero(t, table.RefutationNotice(one.Name))
	table.Tick(now.Add(zoneProbePeriod))
	assert.False(t, table.IsDown(one.Name))
	assert.False(t, table.IsDown(other.Name))
}

// TestMembersToProbe_EachDoubtfulMemberFewAtATime makes a whole region doubtful.
func TestMembersToProbe_EachDoubtfulMemberFewAtATime(t *testing.T) {
	members := membersInZones(30, "a1", "a2", "b1")
	table := tableOf(members[2:]...) // m2 is in b1
	for _, member := range members[:2] {
		table.MergeMember(startTime, member)
	}
	for _, member := range table.LiveMembers() {
		for _, watcher := range table.Watchers(member.Name) {
			if member.Region == "a" && watcher.Region == "b" {
				table.MergeSuspicion(suspicionBy(watcher, member))
			}
		}
	}
	table.Tick(startTime)
	probed := map[string]bool{}
	for range 3 {
		perZone := map[string]int{}
		for _, member := range table.MembersToProbe(startTime, inOrder) {
			perZone[member.Zone]++
			probed[member.Name] = true
		}
		for zone, count := range perZone {
			assert.LessOrEqual(t, count, doubtfulProbesPerZone, zone)
		}
	}
	assert.Len(t, probed, 20, "each doubtful member")
	afterwards := table.MembersToProbe(startTime, inOrder)
	assert.Len(t, afterwards, 2, "one of each zone that may be unreachable")
}

func namesOf(members []state.Member) (names []string) {
	for _, member := range members {
		names = append(names, member.Name)
	}
	return names
}
