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

// testRegions maps zones to regions. Region north has two zones, and south has one.
var testRegions = map[string]string{"n1": "north", "n2": "north", "s1": "south"}

func newProxyMember(zone string, number int, memberState state.MemberState) state.Member {
	return state.Member{Name: fmt.Sprintf("%s-%d", zone, number), Role: state.RoleAgent, Zone: zone,
		Region: testRegions[zone], ProxyAddress: fmt.Sprintf("%s-%d:80", zone, number), State: memberState}
}

func sortedAddresses(live []state.Member, zone, region string) []string {
	client := clientLocation{Zone: zone, Region: region}.resolve(testRegions)
	addresses := chooseAddresses(live, client, rand.New(rand.NewPCG(1, 2)))
	slices.Sort(addresses)
	return addresses
}

func TestChooseAddresses_PrefersTheClientsZoneAndRegion(t *testing.T) {
	ready := state.MemberReady
	fourProxies := []state.Member{newProxyMember("n1", 1, ready), newProxyMember("n1", 2, ready), newProxyMember("n2", 1, ready),
		newProxyMember("s1", 1, ready)}
	all := []string{"n1-1:80", "n1-2:80", "n2-1:80", "s1-1:80"}
	for _, test := range []struct {
		name, zone, region string
		live               []state.Member
		want               []string
	}{
		{"enough in the zone", "n1", "north", fourProxies, all[:2]},
		{"one in the zone: those of the region", "n2", "north", fourProxies, all[:3]},
		{"one in the region precedes those of other regions", "s1", "south", fourProxies, all[3:]},
		{"none in the region", "s1", "south", fourProxies[:3], all[:3]},
		{"unknown zone of a known region", "x", "north", fourProxies, all[:3]},
		{"unknown zone and region", "x", "y", fourProxies, all},
		{"no location given", "", "", fourProxies, all},
		{"the region of a known zone replaces the given region", "s1", "north", fourProxies, all[3:]},
		{"no members", "n1", "north", nil, nil},
	} {
		assert.ElementsMatch(t, test.want, sortedAddresses(test.live, test.zone, test.region), test.name)
	}
}

func TestChooseAddresses_OmitsMembersThatAreNotReady(t *testing.T) {
	core := newProxyMember("n1", 5, state.MemberReady)
	core.Role = state.RoleCore
	withoutAddress := newProxyMember("n1", 6, state.MemberReady)
	withoutAddress.ProxyAddress = ""
	live := []state.Member{newProxyMember("n1", 1, state.MemberStarting), newProxyMember("n1", 2, state.MemberLeaving),
		newProxyMember("n1", 3, state.MemberLeft), newProxyMember("n1", 4, state.MemberReady), core, withoutAddress}
	assert.Equal(t, []string{"n1-4:80"}, sortedAddresses(live, "n1", "north"))
}

// TestChooseAddresses_Invariants checks that an answer has no address twice, at most maxAddresses, none of a member that
// isn't ready, none of another region while the client's own has a ready proxy, and at least one if any proxy is ready.
func TestChooseAddresses_Invariants(t *testing.T) {
	zones := []string{"n1", "n2", "s1"}
	rapid.Check(t, func(t *rapid.T) {
		ready := map[string]state.Member{}
		var live []state.Member
		for number := range rapid.IntRange(0, 150).Draw(t, "members") {
			memberState := rapid.SampledFrom([]state.MemberState{state.MemberReady, state.MemberLeaving}).Draw(t, "state")
			member := newProxyMember(rapid.SampledFrom(zones).Draw(t, "zone"), number, memberState)
			live = append(live, member)
			if memberState == state.MemberReady {
				ready[member.ProxyAddress] = member
			}
		}
		zone := rapid.SampledFrom(zones).Draw(t, "client")
		addresses := sortedAddresses(live, zone, "")
		assert.Len(t, slices.Compact(slices.Clone(addresses)), len(addresses))
		assert.LessOrEqual(t, len(addresses), maxAddresses)
		regionHasProxy := slices.ContainsFunc(live, func(m state.Member) bool {
			return m.State == state.MemberReady && m.Region == testRegions[zone]
		})
		for _, address := range addresses {
			member, found := ready[address]
			assert.True(t, found)
			assert.True(t, !regionHasProxy || member.Region == testRegions[zone])
		}
		assert.Equal(t, len(ready) == 0, len(addresses) == 0)
	})
}
