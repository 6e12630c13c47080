package singleton

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rowanlink/serving/state"
)

const name = "repair"

var (
	begun = time.Unix(1000, 0)
	cores = Scope{Role: state.RoleCore}
)

func members(names ...string) (live []state.Member) {
	for _, name := range names {
		live = append(live, state.Member{Name: name, Role: state.RoleCore, Zone: "z", State: state.MemberReady})
	}
	return live
}

// firstOf is who comes first in the order of the duty.
func firstOf(live []state.Member) string {
	first, _ := New("nobody").order(name, cores, live)
	return first
}

func TestFirstTakesTheDuty(t *testing.T) {
	live := members("a", "b", "c")
	first := firstOf(live)
	for _, member := range live {
		holding, claim := New(member.Name).Acquire(begun, name, cores, live)
		assert.Equal(t, member.Name == first, holding.Local)
		assert.Equal(t, member.Name == first, claim != nil)
	}
}

func TestDutyMovesUnderAHigherEpoch(t *testing.T) {
	live := members("a", "b", "c")
	first := firstOf(live)
	_, claim := New(first).Acquire(begun, name, cores, live)
	require.NotNil(t, claim)

	var rest []state.Member
	for _, member := range live {
		if member.Name != first {
			rest = append(rest, member)
		}
	}
	second := New(firstOf(rest))
	second.Merge(*claim)
	holding, _ := second.Acquire(begun, name, cores, live)
	assert.Equal(t, Assignment{Holder: first, Epoch: claim.Epoch}, holding)
	holding, next := second.Acquire(begun, name, cores, rest)
	require.NotNil(t, next, "the holder is dead")
	assert.True(t, holding.Local)
	assert.Greater(t, next.Epoch, claim.Epoch)

	other := New("nobody")
	other.Merge(*next)
	other.Merge(*claim)
	assert.False(t, other.AdmitsEpoch(name, claim.Epoch))
	assert.True(t, other.AdmitsEpoch(name, next.Epoch))
}

func TestLiveHolderKeepsTheDutyForAWhile(t *testing.T) {
	live := members("a", "b", "c")
	table := New(firstOf(live))
	holder := "a"
	if table.self == "a" {
		holder = "b"
	}
	table.Merge(Claim{Role: name, Holder: holder, Epoch: 7 * epochStep})
	holding, claim := table.Acquire(begun, name, cores, live)
	assert.Nil(t, claim)
	assert.Equal(t, holder, holding.Holder)
	_, claim = table.Acquire(begun.Add(settleSpan), name, cores, live)
	assert.NotNil(t, claim)
}

func TestHolderLosesTheDutyToANewerClaim(t *testing.T) {
	live := members("a", "b")
	table := New(firstOf(live))
	_, claim := table.Acquire(begun, name, cores, live)
	table.Merge(Claim{Role: name, Holder: "c", Epoch: claim.Epoch + epochStep})
	holding, next := table.Acquire(begun, name, cores, live)
	require.NotNil(t, next, "it is first and the other is not live")
	assert.True(t, holding.Local)
	assert.Greater(t, next.Epoch, claim.Epoch+epochStep)
}

func TestScopes(t *testing.T) {
	member := state.Member{Role: state.RoleCore, Zone: "z", Region: "r"}
	assert.True(t, Scope{}.includes(member))
	assert.True(t, Scope{Role: state.RoleCore, Zone: "z", Region: "r"}.includes(member))
	assert.False(t, Scope{Role: state.RoleAgent}.includes(member))
	assert.False(t, Scope{Zone: "y"}.includes(member))
	assert.False(t, Scope{Region: "q"}.includes(member))
	leaving := members("a")
	leaving[0].State = state.MemberLeaving
	assert.Empty(t, firstOf(leaving))
}

// TestOneHolderAtLast draws lives and deaths. Once all know the same members and claims, one member holds the duty
// under an epoch that all admit, and no two members ever claimed under the same epoch.
func TestOneHolderAtLast(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		names := []string{"a", "b", "c", "d", "e"}
		tables := map[string]*Table{}
		for _, name := range names {
			tables[name] = New(name)
		}
		now, claimed, all := begun, map[uint64]string{}, []Claim{}
		ask := func(self string, live []state.Member) Assignment {
			holding, claim := tables[self].Acquire(now, name, cores, live)
			if claim != nil {
				other, taken := claimed[claim.Epoch]
				require.False(draw, taken && other != self, fmt.Sprint(other, self))
				claimed[claim.Epoch] = self
				all = append(all, *claim)
			}
			return holding
		}
		for range rapid.IntRange(1, 30).Draw(draw, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(draw, "ms")) * time.Millisecond)
			seen := rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, 5, rapid.ID[string]).Draw(draw, "live")
			self := rapid.SampledFrom(seen).Draw(draw, "self")
			ask(self, members(seen...))
			if len(all) > 0 && rapid.Bool().Draw(draw, "spread") {
				tables[rapid.SampledFrom(names).Draw(draw, "to")].Merge(rapid.SampledFrom(all).Draw(draw, "claim"))
			}
		}
		for range 4 {
			now = now.Add(settleSpan)
			for _, self := range names {
				for _, claim := range all {
					tables[self].Merge(claim)
				}
				ask(self, members(names...))
			}
		}
		holders := 0
		for _, self := range names {
			holding := ask(self, members(names...))
			require.Equal(draw, firstOf(members(names...)), holding.Holder)
			if holding.Local {
				holders++
			}
			for _, other := range tables {
				require.True(draw, other.AdmitsEpoch(name, holding.Epoch))
			}
		}
		require.Equal(draw, 1, holders)
	})
}
