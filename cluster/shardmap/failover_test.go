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
		n := rapid.IntRange(1, 12).Draw(t, "ranges")
		candidates, alive, hasCapacity := drawCandidates(t)
		ranges, err := EvenRanges(n, []MemberWeight{{"a", 1}, {"b", 1}})
		require.NoError(t, err)
		leases, m := newFakeLeases(), &Map{Ranges: ranges}
		owned := map[cluster.MemberID]int{}
		for i := range ranges {
			owned[ranges[i].Owner]++
			if rapid.Bool().Draw(t, "held") {
				leases.grant(ranges[i].ID, ranges[i].Owner)
			}
			ranges[i].Status = OwnerStatus(rapid.IntRange(0, 1).Draw(t, "status"))
		}
		isHeld := func(id cluster.RangeID) bool {
			_, held := leases.Holder(cluster.RangeOwnerResource(id))
			return held
		}

		planner, takenAtOnce := NewFailoverPlanner(ttl), map[cluster.RangeID]bool{}
		for _, takeover := range planner.PlanTakeovers(m, leases, alive, candidates, 1) {
			r, _ := m.RangeByID(takeover.Range)
			require.Equal(t, OwnerServing, r.Status, "an owner that never served is waited for")
			takenAtOnce[r.ID] = true
		}
		for _, r := range ranges {
			if !isHeld(r.ID) && !alive[r.Owner] && r.Status == OwnerServing && hasCapacity {
				require.True(t, takenAtOnce[r.ID], "an owner that served had its whole TTL")
			}
		}

		taken := map[cluster.RangeID]bool{}
		for _, takeover := range planner.PlanTakeovers(m, leases, alive, candidates, 1+initialOwnerGrace*ttl) {
			require.False(t, isHeld(takeover.Range) || alive[takeover.PreviousOwner] || taken[takeover.Range])
			require.True(t, alive[takeover.NewOwner])
			taken[takeover.Range] = true
			owned[takeover.PreviousOwner]--
			owned[takeover.NewOwner]++
		}
		for _, candidate := range candidates {
			if candidate.Member <= "b" { // the first owners
				continue
			}
			if candidate.Weight == 0 {
				require.Zero(t, owned[candidate.Member])
			}
			if candidate.MaxRanges > 0 {
				require.LessOrEqual(t, owned[candidate.Member], candidate.MaxRanges)
			}
		}
	})
}

// drawCandidates draws four candidates, the set of those that are alive, and whether a live one with a weight has no
// bound.
func drawCandidates(t *rapid.T) (candidates []Candidate, alive map[cluster.MemberID]bool, hasCapacity bool) {
	alive = map[cluster.MemberID]bool{}
	for _, member := range []cluster.MemberID{"a", "b", "c", "d"} {
		alive[member] = rapid.Bool().Draw(t, "alive")
		weight := float64(rapid.IntRange(0, 3).Draw(t, "weight"))
		candidate := Candidate{MemberWeight{member, weight}, rapid.IntRange(0, 6).Draw(t, "max ranges")}
		candidates = append(candidates, candidate)
		hasCapacity = hasCapacity || alive[member] && candidate.MaxRanges == 0 && weight > 0
	}
	return candidates, alive, hasCapacity
}

const day api.Micros = 86_400_000_000

func drawMicros(t *rapid.T, name string) api.Micros {
	t.Helper()
	return api.Micros(rapid.Int64Range(1, int64(day)).Draw(t, name))
}

// noLeases implements LeaseHolders without any lease.
type noLeases struct{}

func (noLeases) Holder(cluster.Resource) (cluster.LeaseHolder, bool) {
	return cluster.LeaseHolder{}, false
}

// Guards against two failures: the ranges of a lost owner get no new owner, because ranges that were split off seem
// to fill the bound of the others; and split-off ranges are scattered over the cluster.
func TestFailoverPlanner_SplitOffRangesFollowTheirParent(t *testing.T) {
	m := &Map{Ranges: []Range{
		{ID: 1, To: 9, Owner: "a", Status: OwnerServing},
		{ID: 2, From: 10, To: 10, Owner: "a", Status: OwnerServing, SplitOff: true},
		{ID: 3, From: 11, To: 19, Owner: "a", Status: OwnerServing, SplitOff: true},
		{ID: 4, From: 20, To: 29, Owner: "b", Status: OwnerServing},
		{ID: 5, From: 30, To: 30, Owner: "b", Status: OwnerServing, SplitOff: true},
		{ID: 6, From: 31, To: ^cluster.KeyHash(0), Owner: "b", Status: OwnerServing, SplitOff: true},
	}}
	candidates := []Candidate{{MemberWeight{"a", 1}, 2}, {MemberWeight{"b", 1}, 2}, {MemberWeight{"c", 0.1}, 1}}
	alive := map[cluster.MemberID]bool{"b": true, "c": true}
	assert.Equal(t, []Takeover{{1, "a", "b"}, {2, "a", "b"}, {3, "a", "b"}},
		NewFailoverPlanner(1).PlanTakeovers(m, noLeases{}, alive, candidates, 5))
}
