package shardmap

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

func TestFailoverPlanner_ChoosesLiveMembersBelowTheirBound(t *testing.T) {
	const ttl = api.Micros(1000)
	rapid.Check(t, func(t *rapid.T) {
		n, members, alive := rapid.IntRange(1, 12).Draw(t, "ranges"), []Candidate{}, map[cluster.MemberID]bool{}
		hasCapacity := false
		for _, m := range []cluster.MemberID{"a", "b", "c", "d"} {
			alive[m] = rapid.Bool().Draw(t, "alive")
			members = append(members, Candidate{MemberWeight{m, float64(rapid.IntRange(0, 3).Draw(t, "weight"))},
				rapid.IntRange(0, 6).Draw(t, "max ranges")})
			last := members[len(members)-1]
			hasCapacity = hasCapacity || alive[m] && last.MaxRanges == 0 && last.Weight > 0
		}
		all, err := EvenRanges(n, []MemberWeight{{"a", 1}, {"b", 1}})
		require.NoError(t, err)
		l, m := fakeLeases{map[cluster.Resource]cluster.MemberID{}, nil}, &Map{Ranges: all}
		has := map[cluster.MemberID]int{}
		for i := range all {
			if has[all[i].Owner]++; rapid.Bool().Draw(t, "held") {
				l.holders[cluster.RangeOwnerResource(all[i].ID)] = all[i].Owner
			}
			all[i].Status = OwnerStatus(rapid.IntRange(0, 1).Draw(t, "standing"))
		}
		v, first := NewFailoverPlanner(ttl), map[cluster.RangeID]bool{}
		for _, take := range v.PlanTakeovers(m, l, alive, members, 1) {
			r, _ := m.RangeByID(take.Range)
			require.Equal(t, OwnerServing, r.Status, "an owner that never served is waited for")
			first[r.ID] = true
		}
		for _, r := range all {
			_, held := l.holders[cluster.RangeOwnerResource(r.ID)]
			hasServed := r.Status == OwnerServing
			if !held && !alive[r.Owner] && hasServed && hasCapacity {
				require.True(t, first[r.ID], "an owner that served had its whole TTL")
			}
		}
		taken := map[cluster.RangeID]bool{}
		for _, take := range v.PlanTakeovers(m, l, alive, members, 1+initialOwnerGrace*ttl) {
			_, held := l.holders[cluster.RangeOwnerResource(take.Range)]
			require.False(t, held || alive[take.PreviousOwner] || taken[take.Range])
			require.True(t, alive[take.NewOwner])
			taken[take.Range] = true
			has[take.PreviousOwner]--
			has[take.NewOwner]++
		}
		for _, a := range members {
			if a.Weight == 0 && a.Member > "b" {
				require.Zero(t, has[a.Member])
			}
			if a.MaxRanges > 0 && a.Member > "b" {
				require.LessOrEqual(t, has[a.Member], a.MaxRanges)
			}
		}
	})
}

const day api.Micros = 86_400_000_000

func drawMicros(t *rapid.T, name string) api.Micros {
	return api.Micros(rapid.Int64Range(1, int64(day)).Draw(t, name))
}

type noLeases struct{}

func (noLeases) Holder(cluster.Resource) (cluster.SessionID, cluster.MemberID, cluster.Epoch, bool) {
	return 0, "", 0, false
}

// Ranges of a lost owner must not stay without one because the ranges that were split off seem to fill the others'
// bound, and split-off ranges must not be scattered over the cluster.
func TestFailoverPlanner_SplitOffRangesFollowTheirParent(t *testing.T) {
	m := &Map{Ranges: []Range{
		{ID: 1, To: 9, Owner: "a", Status: OwnerServing},
		{ID: 2, From: 10, To: 10, Owner: "a", Status: OwnerServing, SplitOff: true},
		{ID: 3, From: 11, To: 19, Owner: "a", Status: OwnerServing, SplitOff: true},
		{ID: 4, From: 20, To: 29, Owner: "b", Status: OwnerServing},
		{ID: 5, From: 30, To: 30, Owner: "b", Status: OwnerServing, SplitOff: true},
		{ID: 6, From: 31, To: ^cluster.KeyHash(0), Owner: "b", Status: OwnerServing, SplitOff: true},
	}}
	members := []Candidate{{MemberWeight{"a", 1}, 2}, {MemberWeight{"b", 1}, 2}, {MemberWeight{"c", 0.1}, 1}}
	alive := map[cluster.MemberID]bool{"b": true, "c": true}
	assert.Equal(t, []Takeover{{1, "a", "b"}, {2, "a", "b"}, {3, "a", "b"}},
		NewFailoverPlanner(1).PlanTakeovers(m, noLeases{}, alive, members, 5))
}
