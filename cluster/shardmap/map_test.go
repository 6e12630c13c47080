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
		n := rapid.IntRange(1, 300).Draw(t, "n")
		var members []MemberWeight
		total := 0.0
		for i, weight := range rapid.SliceOfN(rapid.Float64Range(0, 10), 1, 6).Draw(t, "weights") {
			weight = math.Round(weight)
			members = append(members, MemberWeight{cluster.MemberID(rune('a' + i)), weight})
			total += weight
		}
		ranges, err := EvenRanges(n, members)
		if total == 0 {
			require.Error(t, err)
			return
		}
		require.NoError(t, err)
		m := Map{Ranges: ranges, NextID: cluster.RangeID(n + 1)}
		require.NoError(t, m.validate())
		owned, ownerChanges := map[cluster.MemberID]int{}, 0
		for i, r := range ranges {
			owned[r.Owner]++
			assert.InDelta(t, float64(ranges[0].To-ranges[0].From), float64(r.To-r.From), float64(n)*2+1e6)
			if i > 0 && ranges[i-1].Owner != r.Owner {
				ownerChanges++
			}
		}
		for _, member := range members {
			assert.InDelta(t, member.Weight/total*float64(n), owned[member.Member], 1)
		}
		assert.Equal(t, len(owned)-1, ownerChanges, "the ranges of a member are adjacent")
	})
}

// fakeLeases grants each resource to one member at a time.
type fakeLeases struct {
	holders map[cluster.Resource]cluster.MemberID
	epochs  map[cluster.Resource]cluster.Epoch
}

func newFakeLeases() fakeLeases {
	return fakeLeases{
		holders: map[cluster.Resource]cluster.MemberID{},
		epochs:  map[cluster.Resource]cluster.Epoch{},
	}
}

// grant grants the lease on a range to a member, with the next epoch.
func (l fakeLeases) grant(id cluster.RangeID, member cluster.MemberID) {
	resource := cluster.RangeOwnerResource(id)
	l.holders[resource] = member
	l.epochs[resource]++
}

// Holder implements LeaseHolders.
func (l fakeLeases) Holder(t cluster.Resource) (cluster.LeaseHolder, bool) {
	member, held := l.holders[t]
	return cluster.LeaseHolder{Session: 1, Member: member, Epoch: l.epochs[t]}, held
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

// randomCommand returns a command that is likely to be accepted in the state of a range. Alternatively it changes a
// lease and returns no command. ofOwner reports whether the proposer is a member that serves by memberMap.
func randomCommand(
	random *rand.Rand, m *Map, l fakeLeases, r Range, memberMap *Map,
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
		return ConfirmPlacement(r.ID, l.epochs[lease], memberMap.Version), true
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
			l.grant(r.ID, member)
		}
	case n < 5 && !r.Move.IsOpen():
		return coordinator.FailOver([]Takeover{{r.ID, r.Owner, member}}), false
	case n < 7 && r.Move.Step < StepHandoff && l.epochs[lease] > r.Epoch:
		return ConfirmOwner(r.ID, l.holders[lease], l.epochs[lease], memberMap.Version), true
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

// mapVersions is a map with all of its versions that members may still have.
type mapVersions struct {
	*Map
	leases fakeLeases
	old    []*Map
	// oldest is the lowest version that each member may serve by: the one by which it confirmed its ownership.
	oldest map[cluster.MemberID]cluster.Version
}

func newMapVersions(t *testing.T) *mapVersions {
	t.Helper()
	leases := newFakeLeases()
	v := &mapVersions{Map: New(leases), leases: leases, oldest: map[cluster.MemberID]cluster.Version{}}
	_, err := v.Apply(1, Coordinator(1).Initialize(1, []MemberWeight{{"a", 1}}).Body)
	require.NoError(t, err)
	v.old = append(v.old, copyOf(t, v.Map))
	return v
}

// applyRandom applies a random command if the log accepts it. It returns false if the command is rejected or fenced.
func (v *mapVersions) applyRandom(t *testing.T, random *rand.Rand) bool {
	t.Helper()
	r := v.Ranges[random.IntN(len(v.Ranges))]
	memberMap := v.old[max(0, len(v.old)-1-random.IntN(6))]
	command, ofOwner := randomCommand(random, v.Map, v.leases, r, memberMap)
	resource := cluster.RangeOwnerResource(r.ID)
	holder, held := v.leases.holders[resource]
	if command.FencedBy == resource && !held {
		return false // cluster.ErrFenced
	}
	isOutdated := ofOwner && memberMap.Version < v.oldest[holder]
	if command.Body == nil || isOutdated {
		return true
	}
	if _, err := v.Apply(uint64(v.Version)+1, command.Body); err != nil {
		require.Equal(t, v.old[len(v.old)-1], copyOf(t, v.Map), "a rejected command changes nothing")
		return false
	}
	require.NoError(t, v.validate())
	v.old = append(v.old, copyOf(t, v.Map))
	if ofOwner {
		v.oldest[holder] = max(v.oldest[holder], memberMap.Version)
	}
	return true
}

// servers returns the members that serve by any version of the map that they may still have.
func (v *mapVersions) servers(decide func(*Map, LocalMember) Decision) map[cluster.MemberID]bool {
	servers := map[cluster.MemberID]bool{}
	for _, version := range v.old {
		for _, member := range []cluster.MemberID{"a", "b", "c"} {
			maySee := version.Version >= v.oldest[member]
			if maySee && decide(version, v.leases.localMember(member)).Action == Serve {
				servers[member] = true
			}
		}
	}
	return servers
}

// Random commands are applied to a log in which each lease is held by one member at a time. Each member serves by any
// map that is as new as the one by which it confirmed its ownership. Then no two members serve a key, whatever is
// split, merged, moved and lost.
func TestMap_NoTwoMembersServeAKeyByAnyVersions(t *testing.T) {
	random := rand.New(rand.NewPCG(35, 3))
	served, observed := 0, map[string]int{}
	for range 1500 {
		v := newMapVersions(t)
		for range 70 {
			if !v.applyRandom(t, random) {
				continue
			}
			for _, r := range v.Ranges {
				servers := v.servers(func(m *Map, member LocalMember) Decision { return m.DecideKey(member, r.From) })
				require.LessOrEqual(t, len(servers), 1, "of %+v", r)
				served += len(servers)
				observed[fmt.Sprint("step ", r.Move.Step)]++
			}
			for destination := api.DestinationID(1); destination <= 3; destination++ {
				servers := v.servers(func(m *Map, member LocalMember) Decision {
					return m.DecideDestination(member, destination)
				})
				require.LessOrEqual(t, len(servers), 1, "of destination %d, misplaced %+v", destination, v.Misplaced)
				observed["misplaced"] += len(v.MisplacedOf(destination))
			}
		}
	}
	t.Logf("served %d times; observed %v", served, observed)
	assert.Positive(t, served)
}

func TestMap_SplitAndMergeRestoreTheRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leases := newFakeLeases()
		leases.grant(1, "a")
		m := New(leases)
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
		leases.grant(2, "a")
		apply(4, ConfirmOwner(2, "a", 1, 3))
		apply(5, Coordinator(1).Merge(1, 2))
		require.Len(t, m.Ranges, 1)
		require.NoError(t, m.validate())
	})
}
