package rebalance

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rowanlink/cluster"
	"rowanlink/cluster/rebalance/planfile"
)

// pinnedCluster is a small cluster where each range is pinned, so that the planner only chooses the order of the moves.
// Members and ranges are identified by their index.
type pinnedCluster struct {
	capacity      []int    // by member; 0: unlimited
	owner, target []int    // by range
	precedences   [][2]int // ranges: the pin of the first precedes that of the second
}

// drawPinnedCluster returns a random cluster, with or without precedences.
func drawPinnedCluster(t *rapid.T, withPrecedences bool) pinnedCluster {
	p := pinnedCluster{}
	members := rapid.IntRange(2, 4).Draw(t, "members")
	n := rapid.IntRange(2, 6).Draw(t, "ranges")
	for range n {
		p.owner = append(p.owner, rapid.IntRange(0, members-1).Draw(t, "from"))
		p.target = append(p.target, rapid.IntRange(0, members-1).Draw(t, "to"))
	}
	for m := range members {
		pinned := 0
		for _, to := range p.target {
			if to == m {
				pinned++
			}
		}
		capacity := pinned + rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "spare capacity")
		if capacity == 0 || rapid.IntRange(0, 9).Draw(t, "bound") == 0 {
			capacity = rapid.SampledFrom([]int{0, 1}).Draw(t, "capacity")
		}
		p.capacity = append(p.capacity, capacity)
	}
	if withPrecedences {
		for range rapid.IntRange(1, 4).Draw(t, "precedences") {
			first := rapid.IntRange(0, n-2).Draw(t, "first")
			then := rapid.IntRange(first+1, n-1).Draw(t, "then")
			p.precedences = append(p.precedences, [2]int{first, then})
		}
		p.closeTransitively()
	}
	return p
}

// closeTransitively adds the implied precedences: if a precedes b and b precedes c, a precedes c even if b doesn't
// move.
func (p *pinnedCluster) closeTransitively() {
	for hasChanged := true; hasChanged; {
		hasChanged = false
		for _, a := range p.precedences {
			for _, b := range p.precedences {
				implied := [2]int{a[0], b[1]}
				if a[1] == b[0] && !slices.Contains(p.precedences, implied) {
					p.precedences, hasChanged = append(p.precedences, implied), true
				}
			}
		}
	}
}

// file returns the plan file.
func (p pinnedCluster) file() string {
	var s strings.Builder
	for m, capacity := range p.capacity {
		fmt.Fprintf(&s, "member \"m%d\" {\n zone = \"z%d\"\n room = %d\n}\n", m, m%2, capacity)
	}
	for i, to := range p.target {
		fmt.Fprintf(&s, "pin \"r%d\" {\n %s\n to = \"m%d\"\n}\n", i, hashesIn(i, len(p.target)), to)
	}
	for _, b := range p.precedences {
		fmt.Fprintf(&s, "before \"r%d\" { after = [\"r%d\"] }\n", b[0], b[1])
	}
	return s.String()
}

func (p pinnedCluster) owners() (all []cluster.MemberID) {
	for _, m := range p.owner {
		all = append(all, cluster.MemberID(fmt.Sprint("m", m)))
	}
	return all
}

// minDetours returns the least number of detours in any order, by exhaustive search, or -1 if there is no order.
func (p pinnedCluster) minDetours() int {
	type state string // by range, 'a' + its member; then, by range, '+' if it has made its detour, else '-'
	at := func(i int, s state) int { return int(s[i] - 'a') }
	start := make([]byte, 2*len(p.owner))
	for i, m := range p.owner {
		start[i], start[len(p.owner)+i] = byte('a'+m), '-'
	}
	open := []state{state(start)}
	detours := map[state]int{open[0]: 0}
	for len(open) > 0 { // fewest detours first (Dijkstra's algorithm)
		best := 0
		for k := range open {
			if detours[open[k]] < detours[open[best]] {
				best = k
			}
		}
		s := open[best]
		open = append(open[:best:best], open[best+1:]...)
		isDone, owned := true, make([]int, len(p.capacity))
		for i := range p.owner {
			isDone = isDone && at(i, s) == p.target[i]
			owned[at(i, s)]++
		}
		if isDone {
			return detours[s]
		}
		for i := range p.owner {
			isBlocked := at(i, s) == p.target[i]
			for _, b := range p.precedences {
				isBlocked = isBlocked || b[1] == i && at(b[0], s) != p.target[b[0]]
			}
			for m, capacity := range p.capacity {
				isDetour := m != p.target[i]
				isFull := capacity > 0 && owned[m] >= capacity
				hadDetour := s[len(p.owner)+i] == '+'
				if isBlocked || m == at(i, s) || isFull || isDetour && hadDetour {
					continue
				}
				next, cost := []byte(s), detours[s]
				next[i] = byte('a' + m)
				if isDetour {
					next[len(p.owner)+i] = '+'
					cost++
				}
				if earlier, known := detours[state(next)]; !known || cost < earlier {
					detours[state(next)] = cost
					open = append(open, state(next))
				}
			}
		}
	}
	return -1
}

// checkPlan plans the cluster, runs the plan to its end with moves in random order, and compares the number of detours
// with an exhaustive search.
func (p pinnedCluster) checkPlan(t *rapid.T) {
	sim := newSimulation(t, p.owners()...)
	f, err := planfile.Parse([]byte(p.file()), "f.hcl")
	require.NoError(t, err)
	plan, err := NewPlan(f, sim.shards, nil)
	for m, capacity := range p.capacity {
		pinned := 0
		for _, to := range p.target {
			if to == m {
				pinned++
			}
		}
		if capacity > 0 && pinned > capacity {
			require.ErrorContains(t, err, "has capacity")
			return
		}
	}
	minDetours := p.minDetours()
	if minDetours < 0 {
		require.Error(t, err)
		require.Regexp(t, `^f\.hcl:\d+: `, err.Error())
		return
	}
	require.NoError(t, err)
	detours := 0
	for k, s := range plan.Steps {
		if s.Kind == StepDetour {
			detours++
		}
		for _, n := range s.DependsOn {
			require.Less(t, n.Step, k)
		}
	}
	require.Equal(t, minDetours, detours, "detours")
	bounds := fmt.Sprintf("bounds {\n moves_at_once = %d\n per_member = %d\n per_zone = %d\n}\n",
		rapid.IntRange(1, 4).Draw(t, "at once"), rapid.IntRange(1, 3).Draw(t, "per member"),
		rapid.IntRange(1, 3).Draw(t, "per zone"))
	require.NoError(t, sim.adoptPlan(p.file()+bounds))
	sim.runToEnd(t)
	for i, to := range p.target {
		require.Equal(t, cluster.MemberID(fmt.Sprint("m", to)), sim.ownerOf(i))
	}
	require.True(t, sim.schedule().Finished)
	require.Equal(t, uint64(1), sim.progress.Number, "the plan was recomputed")
	startOrder := map[int]int{}
	for n, k := range sim.startedSteps {
		startOrder[int(sim.progress.Steps[k].Range)-1] = n
	}
	for _, b := range p.precedences {
		first, moved := startOrder[b[0]]
		if then, both := startOrder[b[1]]; both && moved {
			require.Less(t, first, then, "r%d before r%d", b[0], b[1])
		}
	}
}

// The planner finds an order if and only if one exists, with the least number of detours. Whatever the order in which
// moves end, the steps never exceed a capacity or a limit and never violate a precedence.
func TestNewPlan_FindsAnOrderIfThereIsOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { drawPinnedCluster(t, false).checkPlan(t) })
}

func TestNewPlan_FindsAnOrderWithPrecedencesIfThereIsOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { drawPinnedCluster(t, true).checkPlan(t) })
}
