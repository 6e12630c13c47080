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

const testRole = "repair"

var (
	startTime = time.Unix(1000, 0)
	cores     = Scope{Role: state.RoleCore}
)

func members(names ...string) (live []state.Member) {
	for _, name := range names {
		live = append(live, state.Member{Name: name, Role: state.RoleCore, Zone: "z", State: state.MemberReady})
	}
	return live
}

// firstOf returns the first candidate for testRole among the live members.
func firstOf(live []state.Member) string {
	first, _ := New("nobody").firstCandidate(testRole, cores, live)
	return first
}

func TestAcquire_ByFirstCandidate(t *testing.T) {
	live := members("a", "b", "c")
	first := firstOf(live)
	for _, member := range live {
		assignment, claim := New(member.Name).Acquire(startTime, testRole, cores, live)
		assert.Equal(t, member.Name == first, assignment.Local)
		assert.Equal(t, member.Name == first, claim != nil)
	}
}

func TestAcquire_FromDeadHolderUnderHigherEpoch(t *testing.T) {
	live := members("a", "b", "c")
	first := firstOf(live)
	_, claim := New(first).Acquire(startTime, testRole, cores, live)
	require.NotNil(t, claim)

	var rest []state.Member
	for _, member := range live {
		if member.Name != first {
			rest = append(rest, member)
		}
	}
	second := New(firstOf(rest))
	second.Merge(*claim)
	assignment, _ := second.Acquire(startTime, testRole, cores, live)
	assert.Equal(t, Assignment{Holder: first, Epoch: claim.Epoch}, assignment)
	assignment, next := second.Acquire(startTime, testRole, cores, rest)
	require.NotNil(t, next, "the holder is dead")
	assert.True(t, assignment.Local)
	assert.Greater(t, next.Epoch, claim.Epoch)

	other := New("nobody")
	other.Merge(*next)
	other.Merge(*claim)
	assert.False(t, other.AdmitsEpoch(testRole, claim.Epoch))
	assert.True(t, other.AdmitsEpoch(testRole, next.Epoch))
}

func TestAcquire_FromLiveHolderAfterTakeoverDelay(t *testing.T) {
	live := members("a", "b", "c")
	table := New(firstOf(live))
	holder := "a"
	if table.self == "a" {
		holder = "b"
	}
	table.Merge(Claim{Role: testRole, Holder: holder, Epoch: 7 * epochStep})
	assignment, claim := table.Acquire(startTime, testRole, cores, live)
	assert.Nil(t, claim)
	assert.Equal(t, holder, assignment.Holder)
	_, claim = table.Acquire(startTime.Add(takeoverDelay), testRole, cores, live)
	assert.NotNil(t, claim)
}

func TestMerge_OfNewerClaimTakesRole(t *testing.T) {
	live := members("a", "b")
	table := New(firstOf(live))
	_, claim := table.Acquire(startTime, testRole, cores, live)
	table.Merge(Claim{Role: testRole, Holder: "c", Epoch: claim.Epoch + epochStep})
	assignment, next := table.Acquire(startTime, testRole, cores, live)
	require.NotNil(t, next, "the local member is the first candidate and the holder isn't live")
	assert.True(t, assignment.Local)
	assert.Greater(t, next.Epoch, claim.Epoch+epochStep)
}

func TestScope_Matches(t *testing.T) {
	member := state.Member{Role: state.RoleCore, Zone: "z", Region: "r"}
	assert.True(t, Scope{}.matches(member))
	assert.True(t, Scope{Role: state.RoleCore, Zone: "z", Region: "r"}.matches(member))
	assert.False(t, Scope{Role: state.RoleAgent}.matches(member))
	assert.False(t, Scope{Zone: "y"}.matches(member))
	assert.False(t, Scope{Region: "q"}.matches(member))
	leaving := members("a")
	leaving[0].State = state.MemberLeaving
	assert.Empty(t, firstOf(leaving))
}

// TestAcquire_ConvergesToOneHolder lets members with random views of the live members acquire the role, and spreads some
// of their claims. No two members may ever claim under the same epoch. Once all know the same members and claims, exactly
// one member must hold the role, under an epoch that all admit.
func TestAcquire_ConvergesToOneHolder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		names := []string{"a", "b", "c", "d", "e"}
		tables := map[string]*Table{}
		for _, name := range names {
			tables[name] = New(name)
		}
		now, claimed, all := startTime, map[uint64]string{}, []Claim{}
		acquire := func(self string, live []state.Member) Assignment {
			assignment, claim := tables[self].Acquire(now, testRole, cores, live)
			if claim != nil {
				other, isClaimed := claimed[claim.Epoch]
				require.False(rt, isClaimed && other != self, fmt.Sprint(other, self))
				claimed[claim.Epoch] = self
				all = append(all, *claim)
			}
			return assignment
		}
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(rt, "ms")) * time.Millisecond)
			seen := rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, 5, rapid.ID[string]).Draw(rt, "live")
			self := rapid.SampledFrom(seen).Draw(rt, "self")
			acquire(self, members(seen...))
			if len(all) > 0 && rapid.Bool().Draw(rt, "spread") {
				tables[rapid.SampledFrom(names).Draw(rt, "to")].Merge(rapid.SampledFrom(all).Draw(rt, "claim"))
			}
		}
		for range 4 {
			now = now.Add(takeoverDelay)
			for _, self := range names {
				for _, claim := range all {
					tables[self].Merge(claim)
				}
				acquire(self, members(names...))
			}
		}
		holders := 0
		for _, self := range names {
			assignment := acquire(self, members(names...))
			require.Equal(rt, firstOf(members(names...)), assignment.Holder)
			if assignment.Local {
				holders++
			}
			for _, other := range tables {
				require.True(rt, other.AdmitsEpoch(testRole, assignment.Epoch))
			}
		}
		require.Equal(rt, 1, holders)
	})
}
