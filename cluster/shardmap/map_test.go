package shardmap

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

func TestEvenRanges_CoverEachKeyOnceAndFollowWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, members, total := rapid.IntRange(1, 300).Draw(t, "n"), []MemberWeight{}, 0.0
		for i, w := range rapid.SliceOfN(rapid.Float64Range(0, 10), 1, 6).Draw(t, "weights") {
			w = math.Round(w)
			members, total = append(members, MemberWeight{cluster.MemberID(rune('a' + i)), w}), total+w
		}
		all, err := EvenRanges(n, members)
		if total == 0 {
			require.Error(t, err)
			return
		}
		require.NoError(t, err)
		m := Map{Ranges: all, NextID: cluster.RangeID(n + 1)}
		require.NoError(t, m.validate())
		has, changes := map[cluster.MemberID]int{}, 0
		for i, r := range all {
			has[r.Owner]++
			assert.InDelta(t, float64(all[0].To-all[0].From), float64(r.To-r.From), float64(n)*2+1e6)
			if i > 0 && all[i-1].Owner != r.Owner {
				changes++
			}
		}
		for _, w := range members {
			assert.InDelta(t, w.Weight/total*float64(n), has[w.Member], 1)
		}
		assert.Equal(t, len(has)-1, changes, "the ranges of a member are adjacent")
	})
}

// fakeLeases grants each resource to one member at a time.
type fakeLeases struct {
	holders map[cluster.Resource]cluster.MemberID
	epochs  map[cluster.Resource]cluster.Epoch
}

func (l fakeLeases) Holder(t cluster.Resource) (cluster.SessionID, cluster.MemberID, cluster.Epoch, bool) {
	member, held := l.holders[t]
	return 1, member, l.epochs[t], held
}

func (l fakeLeases) localMember(member cluster.MemberID) LocalMember {
	return LocalMember{Member: member, HeldEpoch: func(t cluster.Resource) (cluster.Epoch, bool) {
		return l.epochs[t], l.holders[t] == member
	}}
}

// copyOf returns a member's copy of a map.
func copyOf(t *testing.T, m *Map) *Map {
	t.Helper()
	b, err := m.Snapshot()
	require.NoError(t, err)
	next := New(nil)
	require.NoError(t, next.Restore(b))
	return next
}

// randomCommand returns a command that is likely to be accepted in the state of a range, or changes a lease and returns
// none. ofOwner: it is proposed by a member that serves by the map seen.
func randomCommand(
	random *rand.Rand, m *Map, l fakeLeases, r Range, seen *Map,
) (c cluster.Command, ofOwner bool) {
	lease, coordinator := cluster.RangeOwnerResource(r.ID), Coordinator(1)
	member := cluster.MemberID(rune('a' + random.IntN(3)))
	if n := random.IntN(12); n == 0 {
		destinations := []api.DestinationID{1, 2, 3}[random.IntN(3):]
		return coordinator.Place([]PlacementGroup{{r.From + (r.To-r.From)/3, destinations}}), false
	} else if n == 1 && random.IntN(4) == 0 {
		return coordinator.SweepMisplaced(), false
	} else if n == 1 && slices.ContainsFunc(m.Misplaced,
		func(d MisplacedDestination) bool { return d.Grant.Range == r.ID }) {
		return ConfirmPlacement(r.ID, l.epochs[lease], seen.Version), true
	}
	switch n := random.IntN(10); {
	case n < 1:
		delete(l.holders, lease)
	case n < 4:
		if r.Move.Step == StepHandoff && n < 3 {
			member = r.Move.To
		} else if n < 3 {
			member = r.Owner
		}
		if _, held := l.holders[lease]; !held {
			l.holders[lease], l.epochs[lease] = member, l.epochs[lease]+1
		}
	case n < 5 && !r.Move.IsOpen():
		return coordinator.FailOver([]Takeover{{r.ID, r.Owner, member}}), false
	case n < 7 && r.Move.Step < StepHandoff && l.epochs[lease] > r.Epoch:
		return ConfirmOwner(r.ID, l.holders[lease], l.epochs[lease], seen.Version), true
	case r.Move.IsOpen() && r.Move.Step < StepHandoff:
		return coordinator.AdvanceMove(r.Move.ID, r.Move.Step+1), false
	case r.Move.Step == StepHandoff && n < 9:
		return SwitchOwner(r.Move.ID, r.ID, l.holders[lease], l.epochs[lease]), false
	case r.Move.Step == StepHandoff:
		return coordinator.RevertMove(r.Move.ID), false
	case r.Move.Step == StepSwitched:
		return ClearMove(r.Move.ID, []cluster.MemberID{r.Move.From, r.Move.To}[n%2]), false
	case n < 8 && len(m.Ranges) < 4:
		return coordinator.Split(r.ID, r.From+(r.To-r.From)/2+1), false
	case n < 9:
		return coordinator.Merge(r.ID, m.Ranges[random.IntN(len(m.Ranges))].ID), false
	default:
		return coordinator.PlanMove(r.ID, r.Owner, member), false
	}
	return c, false
}

// Random commands, on a log whose leases are held by one member at a time. Each member serves by any map that is as new as
// the one it confirmed ownership by. Then no two members serve a key, whatever is split, merged, moved and lost.
func TestMap_NoTwoMembersServeAKeyByAnyVersions(t *testing.T) {
	random, who := rand.New(rand.NewPCG(35, 3)), []cluster.MemberID{"a", "b", "c"}
	served, done := 0, map[string]int{}
	for range 1500 {
		l := fakeLeases{map[cluster.Resource]cluster.MemberID{}, map[cluster.Resource]cluster.Epoch{}}
		m := New(l)
		_, err := m.Apply(1, Coordinator(1).Initialize(1, []MemberWeight{{"a", 1}}).Body)
		require.NoError(t, err)
		old, least := []*Map{copyOf(t, m)}, map[cluster.MemberID]cluster.Version{}
		for range 70 {
			r, seen := m.Ranges[random.IntN(len(m.Ranges))], old[max(0, len(old)-1-random.IntN(6))]
			c, home := randomCommand(random, m, l, r, seen)
			holder, held := l.holders[cluster.RangeOwnerResource(r.ID)]
			if c.FencedBy == cluster.RangeOwnerResource(r.ID) && !held {
				continue // cluster.ErrFenced
			}
			isOutdated := home && seen.Version < least[holder]
			if c.Body != nil && !isOutdated {
				if _, err := m.Apply(uint64(m.Version)+1, c.Body); err != nil {
					require.Equal(t, old[len(old)-1], copyOf(t, m), "a rejected command changes nothing")
					continue
				}
				require.NoError(t, m.validate())
				if old = append(old, copyOf(t, m)); home {
					least[holder] = max(least[holder], seen.Version)
				}
			}
			for _, r := range m.Ranges {
				serves := map[cluster.MemberID]bool{}
				for _, by := range old {
					for _, w := range who {
						if by.Version >= least[w] && by.DecideKey(l.localMember(w), r.From).Action == Serve {
							serves[w] = true
						}
					}
				}
				require.LessOrEqual(t, len(serves), 1, "of %+v", r)
				served += len(serves)
				done[fmt.Sprint("step ", r.Move.Step)]++
			}
			for d := range api.DestinationID(3) {
				serves := map[cluster.MemberID]bool{}
				for _, by := range old {
					for _, w := range who {
						if by.Version >= least[w] && by.DecideDestination(l.localMember(w), d+1).Action == Serve {
							serves[w] = true
						}
					}
				}
				require.LessOrEqual(t, len(serves), 1, "of destination %d, misplaced %+v", d+1, m.Misplaced)
				done["misplaced"] += len(m.MisplacedOf(d + 1))
			}
		}
	}
	t.Logf("served %d times, seen at %v", served, done)
	assert.Positive(t, served)
}

func TestMap_SplitAndMergeRestoreTheRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		home := cluster.RangeOwnerResource(1)
		l := fakeLeases{map[cluster.Resource]cluster.MemberID{home: "a"}, map[cluster.Resource]cluster.Epoch{home: 1}}
		m := New(l)
		at := cluster.KeyHash(rapid.Uint64Min(1).Draw(t, "at"))
		apply := func(index uint64, c cluster.Command) {
			_, err := m.Apply(index, c.Body)
			require.NoError(t, err)
		}
		apply(1, Coordinator(1).Initialize(1, []MemberWeight{{"a", 1}}))
		apply(2, ConfirmOwner(1, "a", 1, 1))
		apply(3, Coordinator(1).Split(1, at))
		key := cluster.KeyHash(rapid.Uint64().Draw(t, "key"))
		r, ok := m.RangeOf(key)
		require.True(t, ok)
		assert.Equal(t, key >= at, r.ID == 2)
		l.holders[cluster.RangeOwnerResource(2)], l.epochs[cluster.RangeOwnerResource(2)] = "a", 1
		apply(4, ConfirmOwner(2, "a", 1, 3))
		apply(5, Coordinator(1).Merge(1, 2))
		require.Len(t, m.Ranges, 1)
		require.NoError(t, m.validate())
	})
}
