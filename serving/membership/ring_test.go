package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rowanlink/serving/state"
)

var startTime = time.Unix(1000, 0)

// memberIn returns the first version of a member.
func memberIn(name, zone, region string) state.Member {
	return state.Member{Name: name, Incarnation: 1, Sequence: 1, Role: state.RoleAgent, Zone: zone, Region: region}
}

// tableOf returns a table that contains all the members. The first one is the local member.
func tableOf(members ...state.Member) *Table {
	t := New(startTime, Options{Self: members[0]})
	for _, member := range members[1:] {
		t.MergeMember(startTime, member)
	}
	return t
}

// membersInZones returns members spread round-robin over zones. A zone's name begins with the letter of its region.
func membersInZones(count int, zones ...string) (members []state.Member) {
	for i := range count {
		zone := zones[i%len(zones)]
		members = append(members, memberIn(fmt.Sprintf("m%d", i), zone, zone[:1]))
	}
	return members
}

func TestWatchers_AreInSeveralZones(t *testing.T) {
	for _, test := range []struct {
		zones []string
		// maxPerZone is the maximum number of watchers of a member in the same zone. It is more than one if the
		// member's region has fewer than three zones: two watchers may then be in the member's own zone, and in a
		// system with a single zone, all of them are.
		maxPerZone int
	}{
		{[]string{"a1", "a2", "a3"}, 1},
		{[]string{"a1", "a2", "b1"}, 2},
		{[]string{"a1", "b1", "c1"}, 2},
		{[]string{"a1", "b1"}, 2},
		{[]string{"a1", "a2"}, 2},
		{[]string{"a1"}, 3},
	} {
		t.Run(fmt.Sprint(test.zones), func(t *testing.T) {
			table := tableOf(membersInZones(40, test.zones...)...)
			for _, member := range table.LiveMembers() {
				watchers := table.Watchers(member.Name)
				require.Len(t, watchers, WatcherCount)
				perZone := map[string]int{}
				for _, watcher := range watchers {
					assert.NotEqual(t, member.Name, watcher.Name)
					perZone[watcher.Zone]++
				}
				for zone, count := range perZone {
					assert.LessOrEqual(t, count, test.maxPerZone, "zone %s of %s", zone, member.Name)
				}
				if len(test.zones) > 1 {
					assert.Greater(t, len(perZone), 1)
				}
			}
		})
	}
}

// TestWatchers_AreTheSameInAllTables generates members and the order in which they became known. It checks that all
// tables select the same watchers, that a member has WatcherCount of them or as many as there are other members, and
// that no member watches more than maxRingDistance others.
func TestWatchers_AreTheSameInAllTables(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		zones := []string{"a1", "a2", "b1", "b2", "c1"}
		members := make([]state.Member, 0, 50)
		for i := range rapid.IntRange(1, 50).Draw(rt, "members") {
			zone := rapid.SampledFrom(zones).Draw(rt, "zone")
			members = append(members, memberIn(fmt.Sprintf("m%d", i), zone, zone[:1]))
		}
		one := tableOf(members...)
		other := tableOf(rapid.Permutation(members).Draw(rt, "order")...)
		load := map[string]int{}
		for _, member := range members {
			watchers := one.Watchers(member.Name)
			require.Equal(rt, watchers, other.Watchers(member.Name))
			require.Len(rt, watchers, min(WatcherCount, len(members)-1))
			for _, watcher := range watchers {
				load[watcher.Name]++
			}
		}
		for name, count := range load {
			require.LessOrEqual(rt, count, maxRingDistance, name)
		}
	})
}

func TestWatchers_StayTheSameWhenOthersGoDown(t *testing.T) {
	table := tableOf(membersInZones(30, "a1", "a2", "a3")...)
	before := table.Watchers("m7")
	for _, watcher := range before {
		if watcher.Name != "m0" {
			table.markDown(startTime, table.members[watcher.Name])
		}
	}
	assert.Equal(t, before, table.Watchers("m7"), "the watchers stay the same for ringRetention")
	table.Tick(startTime.Add(ringRetention))
	for _, watcher := range table.Watchers("m7") {
		assert.False(t, table.IsDown(watcher.Name))
	}
}
