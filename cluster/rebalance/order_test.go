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

// puzzle is a small fleet where each range is pinned, so that only the order is open.
type puzzle struct {
	room     []int // by member; 0: no bound
	from, to []int // by range
	before   [][2]int
}

func draw(t *rapid.T, turns bool) puzzle {
	p := puzzle{}
	members := rapid.IntRange(2, 4).Draw(t, "members")
	n := rapid.IntRange(2, 6).Draw(t, "ranges")
	for range n {
		p.from = append(p.from, rapid.IntRange(0, members-1).Draw(t, "from"))
		p.to = append(p.to, rapid.IntRange(0, members-1).Draw(t, "to"))
	}
	for m := range members {
		most := 0
		for _, to := range p.to {
			if to == m {
				most++
			}
		}
		room := most + rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "more room")
		if room == 0 || rapid.IntRange(0, 9).Draw(t, "bound") == 0 {
			room = rapid.SampledFrom([]int{0, 1}).Draw(t, "room")
		}
		p.room = append(p.room, room)
	}
	if turns {
		for range rapid.IntRange(1, 4).Draw(t, "turns") {
			a := rapid.IntRange(0, n-2).Draw(t, "first")
			p.before = append(p.before, [2]int{a, rapid.IntRange(a+1, n-1).Draw(t, "then")})
		}
		for again := true; again; { // a before b and b before c is a before c, even if b doesn't move
			again = false
			for _, a := range p.before {
				for _, b := range p.before {
					if c := [2]int{a[0], b[1]}; a[1] == b[0] && !slices.Contains(p.before, c) {
						p.before, again = append(p.before, c), true
					}
				}
			}
		}
	}
	return p
}

func (p puzzle) text() string {
	var s strings.Builder
	for m, room := range p.room {
		fmt.Fprintf(&s, "member \"m%d\" {\n zone = \"z%d\"\n room = %d\n}\n", m, m%2, room)
	}
	for i, to := range p.to {
		fmt.Fprintf(&s, "pin \"r%d\" {\n %s\n to = \"m%d\"\n}\n", i, of(i, len(p.to)), to)
	}
	for _, b := range p.before {
		fmt.Fprintf(&s, "before \"r%d\" { after = [\"r%d\"] }\n", b[0], b[1])
	}
	return s.String()
}

func (p puzzle) homes() (all []cluster.MemberID) {
	for _, m := range p.from {
		all = append(all, cluster.MemberID(fmt.Sprint("m", m)))
	}
	return all
}

// least finds the fewest stop-overs of any order, by trying all. -1: there is none.
func (p puzzle) least() int {
	type state string // where each range is, 'a'+member, and whether it made its stop-over
	at := func(i int, s state) int { return int(s[i] - 'a') }
	start := make([]byte, 2*len(p.from))
	for i, m := range p.from {
		start[i], start[len(p.from)+i] = byte('a'+m), '-'
	}
	open := []state{state(start)}
	stops := map[state]int{open[0]: 0}
	for len(open) > 0 { // breadth first by stop-overs
		best := 0
		for k := range open {
			if stops[open[k]] < stops[open[best]] {
				best = k
			}
		}
		s := open[best]
		open = append(open[:best:best], open[best+1:]...)
		through, has := true, make([]int, len(p.room))
		for i := range p.from {
			through = through && at(i, s) == p.to[i]
			has[at(i, s)]++
		}
		if through {
			return stops[s]
		}
		for i := range p.from {
			waits := at(i, s) == p.to[i]
			for _, b := range p.before {
				waits = waits || b[1] == i && at(b[0], s) != p.to[b[0]]
			}
			for m, room := range p.room {
				stop := m != p.to[i]
				if waits || m == at(i, s) || room > 0 && has[m] >= room || stop && s[len(p.from)+i] == '+' {
					continue
				}
				next, cost := []byte(s), stops[s]
				if next[i] = byte('a' + m); stop {
					next[len(p.from)+i], cost = '+', cost+1
				}
				if was, known := stops[state(next)]; !known || cost < was {
					stops[state(next)] = cost
					open = append(open, state(next))
				}
			}
		}
	}
	return -1
}

func (p puzzle) solve(t *rapid.T) {
	w := newWorld(t, p.homes()...)
	f, err := planfile.Parse([]byte(p.text()), "f.hcl")
	require.NoError(t, err)
	made, err := NewPlan(f, w.m, nil)
	for m, room := range p.room {
		pinned := 0
		for _, to := range p.to {
			if to == m {
				pinned++
			}
		}
		if room > 0 && pinned > room {
			require.ErrorContains(t, err, "has room for")
			return
		}
	}
	least := p.least()
	if least < 0 {
		require.Error(t, err)
		require.Regexp(t, `^f\.hcl:\d+: `, err.Error())
		return
	}
	require.NoError(t, err)
	stops := 0
	for k, s := range made.Steps {
		if s.Kind == StepDetour {
			stops++
		}
		for _, n := range s.DependsOn {
			require.Less(t, n.Step, k)
		}
	}
	require.Equal(t, least, stops, "stop-overs")
	bounds := fmt.Sprintf("bounds {\n moves_at_once = %d\n per_member = %d\n per_zone = %d\n}\n",
		rapid.IntRange(1, 4).Draw(t, "at once"), rapid.IntRange(1, 3).Draw(t, "per member"),
		rapid.IntRange(1, 3).Draw(t, "per zone"))
	require.NoError(t, w.adopt(p.text()+bounds))
	w.settle(t)
	for i, to := range p.to {
		require.Equal(t, cluster.MemberID(fmt.Sprint("m", to)), w.home(i))
	}
	require.True(t, w.next().Finished)
	require.Equal(t, uint64(1), w.p.Number, "it was planned anew on the way")
	seen := map[int]int{}
	for n, k := range w.began {
		seen[int(w.p.Steps[k].Range)-1] = n
	}
	for _, b := range p.before {
		first, moved := seen[b[0]]
		if then, both := seen[b[1]]; both && moved {
			require.Less(t, first, then, "r%d before r%d", b[0], b[1])
		}
	}
}

// There is an order if and only if the planner finds one, with as few stop-overs as any, and no step of it,
// in whatever order moves end, goes past a room, a bound or a turn.
func TestAnOrderIsFoundWhereThereIsOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { draw(t, false).solve(t) })
}

func TestAnOrderIsFoundWhereThereIsOneAndRulesMakeMovesWait(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { draw(t, true).solve(t) })
}
