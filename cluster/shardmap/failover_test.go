package shardmap

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

func TestHomesAreLostOnlyToLiveMembersWithRoom(t *testing.T) {
	const term = api.Micros(1000)
	rapid.Check(t, func(t *rapid.T) {
		n, members, alive := rapid.IntRange(1, 12).Draw(t, "ranges"), []Candidate{}, map[cluster.MemberID]bool{}
		roomy := false
		for _, m := range []cluster.MemberID{"a", "b", "c", "d"} {
			alive[m] = rapid.Bool().Draw(t, "alive")
			members = append(members, Candidate{MemberWeight{m, float64(rapid.IntRange(0, 3).Draw(t, "weight"))},
				rapid.IntRange(0, 6).Draw(t, "room")})
			last := members[len(members)-1]
			roomy = roomy || alive[m] && last.MaxRanges == 0 && last.MemberWeight.Weight > 0
		}
		all, err := EvenRanges(n, []MemberWeight{{"a", 1}, {"b", 1}})
		require.NoError(t, err)
		l, m := leases{map[cluster.Resource]cluster.MemberID{}, nil}, &Map{Ranges: all}
		has := map[cluster.MemberID]int{}
		for i := range all {
			if has[all[i].Owner]++; rapid.Bool().Draw(t, "held") {
				l.held[cluster.RangeOwnerResource(all[i].ID)] = all[i].Owner
			}
			all[i].Status = OwnerStatus(rapid.IntRange(0, 1).Draw(t, "standing"))
		}
		v, first := NewFailoverPlanner(term), map[cluster.RangeID]bool{}
		for _, take := range v.PlanTakeovers(m, l, alive, members, 1) {
			r, _ := m.RangeByID(take.Range)
			require.Equal(t, OwnerServing, r.Status, "one that never served is waited for")
			first[r.ID] = true
		}
		for _, r := range all {
			if _, held := l.held[cluster.RangeOwnerResource(r.ID)]; !held && !alive[r.Owner] && r.Status == OwnerServing && roomy {
				require.True(t, first[r.ID], "one that served had its whole term")
			}
		}
		taken := map[cluster.RangeID]bool{}
		for _, take := range v.PlanTakeovers(m, l, alive, members, 1+initialOwnerGrace*term) {
			_, held := l.held[cluster.RangeOwnerResource(take.Range)]
			require.False(t, held || alive[take.PreviousOwner] || taken[take.Range])
			require.True(t, alive[take.NewOwner])
			taken[take.Range] = true
			has[take.PreviousOwner]--
			has[take.NewOwner]++
		}
		for _, a := range members {
			if a.MemberWeight.Weight == 0 && a.Member > "b" {
				require.Zero(t, has[a.Member])
			}
			if a.MaxRanges > 0 && a.Member > "b" {
				require.LessOrEqual(t, has[a.Member], a.MaxRanges)
			}
		}
	})
}

const day api.Micros = 86_400_000_000

func micros(t *rapid.T, name string) api.Micros {
	return api.Micros(rapid.Int64Range(1, int64(day)).Draw(t, name))
}

type nobody struct{}

func (nobody) Holder(cluster.Resource) (cluster.SessionID, cluster.MemberID, cluster.Epoch, bool) {
	return 0, "", 0, false
}

// Guards against ranges of a lost home that nobody gets, as pieces split off seem to fill the others' room,
// and against pieces scattered over the fleet.
func TestPiecesOfALostHomeTakeNoRoomAndGoWithTheirRange(t *testing.T) {
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
		NewFailoverPlanner(1).PlanTakeovers(m, nobody{}, alive, members, 5))
}
