package membership

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/state"
)

// inOrder is a shuffle function that keeps the order.
func inOrder([]state.Member) {}

// newTableWithDoubtfulPair returns the table of m0 and two members that watch each other. Each of the two is suspected
// by one of its other watchers; markOthersDown marks the rest of them as down.
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
						break // one vote of three live watchers: no majority
					}
				}
			}
			return table, one, other
		}
	}
	require.FailNow(t, "no two members watch each other")
	return nil, state.Member{}, state.Member{}
}

// markOthersDown marks the watchers of a pair as down that are outside the pair and don't suspect their member.
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

// TestDoubt_OfMembersThatWatchEachOther guards against two members that watch each other being marked as down without a
// probe, although there is a majority against each only as long as the other one has no vote.
func TestDoubt_OfMembersThatWatchEachOther(t *testing.T) {
	for _, test := range []struct {
		name     string
		responds []bool // of one and other
		oneDown  bool
	}{
		{name: "neither responds", responds: []bool{false, false}, oneDown: true},
		{name: "both respond", responds: []bool{true, true}},
		{name: "the other responds and therefore has a vote", responds: []bool{false, true}},
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

// TestDoubt_OfSingleWatcherWhileOthersAreDown guards against a member being marked as down by its only live watcher
// without a probe: the watcher may have lost only its own path to it.
func TestDoubt_OfSingleWatcherWhileOthersAreDown(t *testing.T) {
	for _, responds := range []bool{false, true} {
		table, member, watchers := newTableWithUnwatchedMember(t)
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

// TestDoubt_EndsWithTheSuspicion checks that a member that refutes its suspicion is no longer doubtful.
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

// TestMembersToProbe_EachDoubtfulMemberFewAtATime checks that all members of a doubtful region are probed, at most
// doubtfulProbesPerZone of a zone at once.
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
	assert.Len(t, afterwards, 2, "one of each suspect zone")
}

func namesOf(members []state.Member) (names []string) {
	for _, member := range members {
		names = append(names, member.Name)
	}
	return names
}
