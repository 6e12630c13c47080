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
		n, members, alive := rapid.IntRange(1, 12).Draw(t, "ranges"), []Able{}, map[cluster.MemberID]bool{}
		roomy := false
		for _, m := range []cluster.MemberID{"a", "b", "c", "d"} {
			alive[m] = rapid.Bool().Draw(t, "alive")
			members = append(members, Able{Weight{m, float64(rapid.IntRange(0, 3).Draw(t, "weight"))},
				rapid.IntRange(0, 6).Draw(t, "room")})
			last := members[len(members)-1]
			roomy = roomy || alive[m] && last.Room == 0 && last.Weight.Weight > 0
		}
		all, err := Even(n, []Weight{{"a", 1}, {"b", 1}})
		require.NoError(t, err)
		l, m := leases{map[cluster.Resource]cluster.MemberID{}, nil}, &Map{Ranges: all}
		has := map[cluster.MemberID]int{}
		for i := range all {
			if has[all[i].Home]++; rapid.Bool().Draw(t, "held") {
				l.held[cluster.RangeOwnerResource(all[i].ID)] = all[i].Home
			}
			all[i].Standing = Standing(rapid.IntRange(0, 1).Draw(t, "standing"))
		}
		v, first := NewVacancies(term), map[cluster.RangeID]bool{}
		for _, take := range v.Takes(m, l, alive, members, 1) {
			r, _ := m.Get(take.Range)
			require.Equal(t, Seated, r.Standing, "one that never served is waited for")
			first[r.ID] = true
		}
		for _, r := range all {
			if _, held := l.held[cluster.RangeOwnerResource(r.ID)]; !held && !alive[r.Home] && r.Standing == Seated && roomy {
				require.True(t, first[r.ID], "one that served had its whole term")
			}
		}
		taken := map[cluster.RangeID]bool{}
		for _, take := range v.Takes(m, l, alive, members, 1+startsBy*term) {
			_, held := l.held[cluster.RangeOwnerResource(take.Range)]
			require.False(t, held || alive[take.Lost] || taken[take.Range])
			require.True(t, alive[take.To])
			taken[take.Range] = true
			has[take.Lost]--
			has[take.To]++
		}
		for _, a := range members {
			if a.Weight.Weight == 0 && a.Member > "b" {
				require.Zero(t, has[a.Member])
			}
			if a.Room > 0 && a.Member > "b" {
				require.LessOrEqual(t, has[a.Member], a.Room)
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
		{ID: 1, To: 9, Home: "a", Standing: Seated},
		{ID: 2, From: 10, To: 10, Home: "a", Standing: Seated, Piece: true},
		{ID: 3, From: 11, To: 19, Home: "a", Standing: Seated, Piece: true},
		{ID: 4, From: 20, To: 29, Home: "b", Standing: Seated},
		{ID: 5, From: 30, To: 30, Home: "b", Standing: Seated, Piece: true},
		{ID: 6, From: 31, To: ^cluster.KeyHash(0), Home: "b", Standing: Seated, Piece: true},
	}}
	members := []Able{{Weight{"a", 1}, 2}, {Weight{"b", 1}, 2}, {Weight{"c", 0.1}, 1}}
	alive := map[cluster.MemberID]bool{"b": true, "c": true}
	assert.Equal(t, []Takeover{{1, "a", "b"}, {2, "a", "b"}, {3, "a", "b"}},
		NewVacancies(1).Takes(m, nobody{}, alive, members, 5))
}
