package agent

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"rowanlink/serving/state"
)

// someRegions has two regions, one with two zones.
var someRegions = map[string]string{"n1": "north", "n2": "north", "s1": "south"}

func proxyIn(zone string, number int, life state.MemberState) state.Member {
	return state.Member{Name: fmt.Sprintf("%s-%d", zone, number), Role: state.RoleAgent, Zone: zone,
		Region: someRegions[zone], ProxyAddress: fmt.Sprintf("%s-%d:80", zone, number), State: life}
}

func chosenFor(live []state.Member, zone, region string) []string {
	client := place{Zone: zone, Region: region}.resolve(someRegions)
	fronts := choose(live, client, rand.New(rand.NewPCG(1, 2)))
	slices.Sort(fronts)
	return fronts
}

func TestDirectoryPrefersWhatIsNear(t *testing.T) {
	ready := state.MemberReady
	two := []state.Member{proxyIn("n1", 1, ready), proxyIn("n1", 2, ready), proxyIn("n2", 1, ready),
		proxyIn("s1", 1, ready)}
	all := []string{"n1-1:80", "n1-2:80", "n2-1:80", "s1-1:80"}
	for _, test := range []struct {
		name, zone, region string
		live               []state.Member
		want               []string
	}{
		{"enough in the zone", "n1", "north", two, all[:2]},
		{"one in the zone: the region's", "n2", "north", two, all[:3]},
		{"one in the region is better than others", "s1", "south", two, all[3:]},
		{"nobody in the region", "s1", "south", two[:3], all[:3]},
		{"unknown zone of a known region", "x", "north", two, all[:3]},
		{"nothing known of the client", "x", "y", two, all},
		{"nothing told", "", "", two, all},
		{"the zone's region counts where the two differ", "s1", "north", two, all[3:]},
		{"nobody at all", "n1", "north", nil, nil},
	} {
		assert.ElementsMatch(t, test.want, chosenFor(test.live, test.zone, test.region), test.name)
	}
}

func TestDirectoryLeavesOutWhoIsNotReady(t *testing.T) {
	core := proxyIn("n1", 5, state.MemberReady)
	core.Role = state.RoleCore
	unknownFront := proxyIn("n1", 6, state.MemberReady)
	unknownFront.ProxyAddress = ""
	live := []state.Member{proxyIn("n1", 1, state.MemberStarting), proxyIn("n1", 2, state.MemberLeaving),
		proxyIn("n1", 3, state.MemberLeft), proxyIn("n1", 4, state.MemberReady), core, unknownFront}
	assert.Equal(t, []string{"n1-4:80"}, chosenFor(live, "n1", "north"))
}

// TestDirectoryLaws: no address twice, at most as many as clients take, none of a member that isn't ready, and none
// of another region while the client's own has one.
func TestDirectoryLaws(t *testing.T) {
	zones := []string{"n1", "n2", "s1"}
	rapid.Check(t, func(t *rapid.T) {
		ready := map[string]state.Member{}
		var live []state.Member
		for number := range rapid.IntRange(0, 150).Draw(t, "members") {
			life := rapid.SampledFrom([]state.MemberState{state.MemberReady, state.MemberLeaving}).Draw(t, "state")
			member := proxyIn(rapid.SampledFrom(zones).Draw(t, "zone"), number, life)
			live = append(live, member)
			if life == state.MemberReady {
				ready[member.ProxyAddress] = member
			}
		}
		zone := rapid.SampledFrom(zones).Draw(t, "client")
		fronts := chosenFor(live, zone, "")
		assert.Len(t, slices.Compact(slices.Clone(fronts)), len(fronts))
		assert.LessOrEqual(t, len(fronts), addressesMost)
		home := slices.ContainsFunc(live, func(m state.Member) bool {
			return m.State == state.MemberReady && m.Region == someRegions[zone]
		})
		for _, front := range fronts {
			member, found := ready[front]
			assert.True(t, found)
			assert.True(t, !home || member.Region == someRegions[zone])
		}
		assert.Equal(t, len(ready) == 0, len(fronts) == 0)
	})
}
