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

func TestEvenCoversEachKeyOnceAndGivesByWeight(t *testing.T) {
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
		assert.Equal(t, len(has)-1, changes, "each member's lie side by side")
	})
}

// leases grants any task to one member at a time.
type leases struct {
	held map[cluster.Resource]cluster.MemberID
	last map[cluster.Resource]cluster.Epoch
}

func (l leases) Holder(t cluster.Resource) (cluster.SessionID, cluster.MemberID, cluster.Epoch, bool) {
	who, held := l.held[t]
	return 1, who, l.last[t], held
}

func (l leases) tenant(who cluster.MemberID) LocalMember {
	return LocalMember{Member: who, HeldEpoch: func(t cluster.Resource) (cluster.Epoch, bool) {
		return l.last[t], l.held[t] == who
	}}
}

func version(t *testing.T, m *Map) *Map {
	b, err := m.Snapshot()
	require.NoError(t, err)
	next := New(nil)
	require.NoError(t, next.Restore(b))
	return next
}

// drawn is a command by chance that has some hope in the state of a range.
func drawn(chance *rand.Rand, m *Map, l leases, r Range, seen *Map) (c cluster.Command, home bool) {
	task, conduct := cluster.RangeOwnerResource(r.ID), Coordinator(1)
	member := cluster.MemberID(rune('a' + chance.IntN(3)))
	if n := chance.IntN(12); n == 0 {
		of := []api.DestinationID{1, 2, 3}[chance.IntN(3):]
		return conduct.Place([]PlacementGroup{{r.From + (r.To-r.From)/3, of}}), false
	} else if n == 1 && chance.IntN(4) == 0 {
		return conduct.SweepMisplaced(), false
	} else if n == 1 && slices.ContainsFunc(m.Misplaced, func(s MisplacedDestination) bool { return s.Grant.Range == r.ID }) {
		return ConfirmPlacement(r.ID, l.last[task], seen.Version), true
	}
	switch n := chance.IntN(10); {
	case n < 1:
		delete(l.held, task)
	case n < 4:
		if r.Move.Step == StepHandoff && n < 3 {
			member = r.Move.To
		} else if n < 3 {
			member = r.Owner
		}
		if _, held := l.held[task]; !held {
			l.held[task], l.last[task] = member, l.last[task]+1
		}
	case n < 5 && !r.Move.IsOpen():
		return conduct.FailOver([]Takeover{{r.ID, r.Owner, member}}), false
	case n < 7 && r.Move.Step < StepHandoff && l.last[task] > r.Epoch:
		return ConfirmOwner(r.ID, l.held[task], l.last[task], seen.Version), true
	case r.Move.IsOpen() && r.Move.Step < StepHandoff:
		return conduct.AdvanceMove(r.Move.ID, r.Move.Step+1), false
	case r.Move.Step == StepHandoff && n < 9:
		return SwitchOwner(r.Move.ID, r.ID, l.held[task], l.last[task]), false
	case r.Move.Step == StepHandoff:
		return conduct.RevertMove(r.Move.ID), false
	case r.Move.Step == StepSwitched:
		return ClearMove(r.Move.ID, []cluster.MemberID{r.Move.From, r.Move.To}[n%2]), false
	case n < 8 && len(m.Ranges) < 4:
		return conduct.Split(r.ID, r.From+(r.To-r.From)/2+1), false
	case n < 9:
		return conduct.Merge(r.ID, m.Ranges[chance.IntN(len(m.Ranges))].ID), false
	default:
		return conduct.PlanMove(r.ID, r.Owner, member), false
	}
	return c, false
}

// Commands by chance, on a log by whose leases only one holds a task. Each member serves by any map as new as
// the one it said Home by. Then of no key two members serve, whatever is split, merged, moved and lost.
func TestNoTwoServeAKeyByWhateverMaps(t *testing.T) {
	chance, who := rand.New(rand.NewPCG(35, 3)), []cluster.MemberID{"a", "b", "c"}
	served, done := 0, map[string]int{}
	for range 1500 {
		l := leases{map[cluster.Resource]cluster.MemberID{}, map[cluster.Resource]cluster.Epoch{}}
		m := New(l)
		_, err := m.Apply(1, Coordinator(1).Initialize(1, []MemberWeight{{"a", 1}}).Body)
		require.NoError(t, err)
		old, least := []*Map{version(t, m)}, map[cluster.MemberID]cluster.Version{}
		for range 70 {
			r, seen := m.Ranges[chance.IntN(len(m.Ranges))], old[max(0, len(old)-1-chance.IntN(6))]
			c, home := drawn(chance, m, l, r, seen)
			holder, held := l.held[cluster.RangeOwnerResource(r.ID)]
			if c.FencedBy == cluster.RangeOwnerResource(r.ID) && !held {
				continue // cluster.ErrFenced
			}
			if c.Body != nil && !(home && seen.Version < least[holder]) {
				if _, err := m.Apply(uint64(m.Version)+1, c.Body); err != nil {
					require.Equal(t, old[len(old)-1], version(t, m), "what is refused changes nothing")
					continue
				}
				require.NoError(t, m.validate())
				if old = append(old, version(t, m)); home {
					least[holder] = max(least[holder], seen.Version)
				}
			}
			for _, r := range m.Ranges {
				serves := map[cluster.MemberID]bool{}
				for _, by := range old {
					for _, w := range who {
						if by.Version >= least[w] && by.DecideKey(l.tenant(w), r.From).Action == Serve {
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
						if by.Version >= least[w] && by.DecideDestination(l.tenant(w), d+1).Action == Serve {
							serves[w] = true
						}
					}
				}
				require.LessOrEqual(t, len(serves), 1, "of destination %d, strays %+v", d+1, m.Misplaced)
				done["strays"] += len(m.MisplacedOf(d + 1))
			}
		}
	}
	t.Logf("served %d times, seen at %v", served, done)
	assert.Positive(t, served)
}

func TestAPartThatIsSplitOffAndMergedIsAsBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		home := cluster.RangeOwnerResource(1)
		l := leases{map[cluster.Resource]cluster.MemberID{home: "a"}, map[cluster.Resource]cluster.Epoch{home: 1}}
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
		l.held[cluster.RangeOwnerResource(2)], l.last[cluster.RangeOwnerResource(2)] = "a", 1
		apply(4, ConfirmOwner(2, "a", 1, 3))
		apply(5, Coordinator(1).Merge(1, 2))
		require.Len(t, m.Ranges, 1)
		require.NoError(t, m.validate())
	})
}

func TestAMapWhoseMovesDoNotStandAsTheyCanIsRefused(t *testing.T) {
	sound := Map{Version: 9, NextID: 2, Ranges: []Range{{ID: 1, To: ^cluster.KeyHash(0), Owner: "a"}}}
	for name, spoil := range map[string]func(m *Map){
		"left and not switched": func(m *Map) { m.DetachedMoves = []Move{{ID: 4, From: "a", To: "b", Step: StepHandoff}} },
		"one id twice": func(m *Map) {
			m.Ranges[0].Move = Move{ID: 4, From: "a", To: "b", Step: StepHandoff}
			m.DetachedMoves = []Move{{ID: 4, From: "a", To: "b", Step: StepSwitched}}
		},
		"no id": func(m *Map) { m.Ranges[0].Move = Move{From: "a", To: "b", Step: StepHandoff} },
	} {
		t.Run(name, func(t *testing.T) {
			m := Map{Version: 9, NextID: 2, Ranges: []Range{sound.Ranges[0]}}
			spoil(&m)
			b, err := m.Snapshot()
			require.NoError(t, err)
			other := New(leases{})
			assert.Error(t, other.Restore(b))
			assert.NotPanics(t, func() { _, _ = other.Apply(10, SwitchOwner(4, 1, "b", 1).Body) })
		})
	}
}
