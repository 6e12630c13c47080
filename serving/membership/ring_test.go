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

var begun = time.Unix(1000, 0)

// memberIn makes the first word of a member.
func memberIn(name, zone, region string) state.Member {
	return state.Member{Name: name, Incarnation: 1, Sequence: 1, Role: state.RoleAgent, Zone: zone, Region: region}
}

// tableOf makes the table of the first of the members.
func tableOf(members ...state.Member) *Table {
	t := New(begun, Options{Self: members[0]})
	for _, member := range members[1:] {
		t.MergeMember(begun, member)
	}
	return t
}

// deal makes members dealt out to zones; zone names begin with the letter of their region.
func deal(count int, zones ...string) (members []state.Member) {
	for i := range count {
		zone := zones[i%len(zones)]
		members = append(members, memberIn(fmt.Sprintf("m%d", i), zone, zone[:1]))
	}
	return members
}

func TestWatchersAreInSeveralZones(t *testing.T) {
	for _, point := range []struct {
		zones []string
		// ofZone is how many watchers of a member may share one zone at most: two of the own zone where the region has
		// no third one, or no other.
		ofZone int
	}{
		{[]string{"a1", "a2", "a3"}, 1},
		{[]string{"a1", "a2", "b1"}, 2},
		{[]string{"a1", "b1", "c1"}, 2},
		{[]string{"a1", "b1"}, 2},
		{[]string{"a1", "a2"}, 2},
		{[]string{"a1"}, 3},
	} {
		t.Run(fmt.Sprint(point.zones), func(t *testing.T) {
			table := tableOf(deal(40, point.zones...)...)
			for _, member := range table.LiveMembers() {
				watchers := table.Watchers(member.Name)
				require.Len(t, watchers, WatcherCount)
				perZone := map[string]int{}
				for _, watcher := range watchers {
					assert.NotEqual(t, member.Name, watcher.Name)
					perZone[watcher.Zone]++
				}
				for zone, count := range perZone {
					assert.LessOrEqual(t, count, point.ofZone, "zone %s of %s", zone, member.Name)
				}
				if len(point.zones) > 1 {
					assert.Greater(t, len(perZone), 1)
				}
			}
		})
	}
}

// TestWatchersAgree draws members and the order in which they became known. All tables name the same watchers, at
// most as many as there are others, and nobody has to watch many.
func TestWatchersAgree(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		zones := []string{"a1", "a2", "b1", "b2", "c1"}
		members := make([]state.Member, 0, 50)
		for i := range rapid.IntRange(1, 50).Draw(draw, "members") {
			zone := rapid.SampledFrom(zones).Draw(draw, "zone")
			members = append(members, memberIn(fmt.Sprintf("m%d", i), zone, zone[:1]))
		}
		one := tableOf(members...)
		other := tableOf(rapid.Permutation(members).Draw(draw, "order")...)
		load := map[string]int{}
		for _, member := range members {
			watchers := one.Watchers(member.Name)
			require.Equal(draw, watchers, other.Watchers(member.Name))
			require.Len(draw, watchers, min(WatcherCount, len(members)-1))
			for _, watcher := range watchers {
				load[watcher.Name]++
			}
		}
		for name, count := range load {
			require.LessOrEqual(draw, count, ringReach, name)
		}
	})
}

func TestWatchersStayWhoTheyAreWhenOthersGoDown(t *testing.T) {
	table := tableOf(deal(30, "a1", "a2", "a3")...)
	before := table.Watchers("m7")
	for _, watcher := range before {
		if watcher.Name != "m0" {
			table.setDown(begun, table.members[watcher.Name])
		}
	}
	assert.Equal(t, before, table.Watchers("m7"), "until all that died have been judged")
	table.Tick(begun.Add(ringHold))
	for _, watcher := range table.Watchers("m7") {
		assert.False(t, table.IsDown(watcher.Name))
	}
}
