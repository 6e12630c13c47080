package lease

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"rowanlink/webhook/api"
)

// deeper is by how many moves more than in CI, and the walks by so many times: ROWAN_SEARCH_DEEPER=2 takes
// minutes.
var deeper, _ = strconv.Atoi(os.Getenv("ROWAN_SEARCH_DEEPER"))

// node is how a state was first reached: by which of the moves.
type node struct {
	from *node
	move int
}

// story is what happened from the start on.
func (n *node) story(starts []*world) string {
	var path []int
	for ; n != nil; n = n.from {
		path = append(path, n.move)
	}
	slices.Reverse(path)
	w, told := starts[path[0]].clone(), []string{fmt.Sprintf("start %d", path[0])}
	for _, i := range path[1:] {
		m := w.moves(nil)[i]
		line := fmt.Sprintf("at %d: %s: %d", w.now, m.name, m.i)
		if strings.HasPrefix(m.name, "arrives") || m.name == "is lost" {
			line += fmt.Sprintf(" %+v", w.net[m.i])
		}
		told = append(told, line)
		m.do(w, m.i)
	}
	return strings.Join(append(told, w.broke()), "\n")
}

type found struct {
	states, depth int
	taken         int // states in which the second member holds what the first began with
	broken, story string
}

// search goes through every state within so many moves, breadth first, and stops at the first that breaks.
func search(starts []*world, depth int) (f found) {
	type reached struct {
		*world
		node *node
	}
	seen := map[uint64]struct{}{}
	isNew := func(w *world) bool {
		n := len(seen)
		seen[w.key()] = struct{}{}
		return len(seen) > n
	}
	var level []reached
	for i, w := range starts {
		if isNew(w) {
			level = append(level, reached{w, &node{nil, i}})
		}
	}
	var moves []move
	for ; f.depth < depth && len(level) > 0; f.depth++ {
		var next []reached
		for i, at := range level {
			level[i] = reached{}
			moves = at.moves(moves[:0])
			for j, m := range moves {
				w := at.clone()
				if m.do(w, m.i); !isNew(w) {
					continue
				}
				n := &node{at.node, j}
				if f.broken = w.broke(); f.broken != "" {
					f.states, f.story = len(seen), n.story(starts)
					return f
				}
				if _, ok := w.proc[1].tenure.Epoch(worldTask, w.clock(1)); ok {
					f.taken++
				}
				next = append(next, reached{w, n})
			}
		}
		level = next
	}
	f.states = len(seen)
	return f
}

// rested is a fleet in which both members have a session and the first has the task.
func rested(w wrong, left may, keepers, members [2]api.Micros) *world {
	n := newWorld(w, left, keepers, members)
	n.left.late = false
	for _, ask := range []struct {
		what string
		who  int
	}{{"a member asks to open", 0}, {"a member asks to open", 1}, {"a member asks for the task", 0}} {
		all := n.moves(nil)
		i := slices.IndexFunc(all, func(m move) bool { return m.name == ask.what && m.i == ask.who })
		all[i].do(n, ask.who)
	}
	n.left.late = left.late
	return n
}

// worst are clocks by which a holder counts longest and a keeper shortest.
func worst(w wrong, left may) *world {
	return rested(w, left, [2]api.Micros{stepFast, stepFast}, [2]api.Micros{stepSlow, stepSlow})
}

func anyRates(left may) (all []*world) {
	rates := []api.Micros{stepSlow, stepFast}
	for i := range 16 {
		keepers := [2]api.Micros{rates[i&1], rates[i>>1&1]}
		all = append(all, rested(wrong{}, left, keepers, [2]api.Micros{rates[i>>2&1], rates[i>>3]}))
	}
	return all
}

// Every state within so many moves: never do two members hold the task at one moment, nor one after the log
// has freed it; epochs rise; no deed comes in after one of a later epoch.
func TestNoTwoHoldersInAnyStateWithinReach(t *testing.T) {
	for _, s := range []struct {
		name   string
		starts []*world
		depth  int
	}{
		{"leaders change, the old one knows late", []*world{worst(wrong{}, may{elections: 1, assents: 1})}, 9},
		{"leaders change twice", []*world{worst(wrong{}, may{elections: 2, assents: 1})}, 7},
		{"any pair of clocks", anyRates(may{elections: 1}), 6},
		{"late and doubled messages", []*world{worst(wrong{}, may{late: true, doubles: 1, lets: 1, ends: 1})}, 9},
		{"further lives", []*world{worst(wrong{}, may{late: true, doubles: 1, deaths: 1})}, 11},
		{"deeds come late", []*world{worst(wrong{}, may{deeds: 2, restarts: 1, deaths: 1})}, 11},
		{"all at once", []*world{worst(wrong{}, may{true, 1, 1, 1, 1, 1, 1, 1, 1})}, 6},
	} {
		t.Run(s.name, func(t *testing.T) {
			f := search(s.starts, s.depth+deeper)
			require.Empty(t, f.broken, f.story)
			t.Logf("%d states within %d moves; in %d the task had changed hands", f.states, f.depth, f.taken)
		})
	}
}
