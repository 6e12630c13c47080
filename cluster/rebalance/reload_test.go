package rebalance

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rowanlink/cluster"
	"rowanlink/cluster/rebalance/planfile"
	"rowanlink/cluster/shardmap"
)

// At any moment another file may take the place of the running one, and conductors come and go. What has
// switched stays, what goes where the new one wants it goes on, the rest goes back; room and bounds hold all
// the while.
func TestAnotherFileTakesOverInTheMiddle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := draw(t, false)
		w := newWorld(t, p.homes()...)
		bounds := "bounds {\n moves_at_once = 3\n}\n"
		if w.adopt(p.text()+bounds) != nil {
			return
		}
		for range rapid.IntRange(0, 25).Draw(t, "steps") {
			for w.act() > 0 {
			}
			if open := w.open(); len(open) > 0 {
				w.goOn(open[rapid.IntRange(0, len(open)-1).Draw(t, "goes on")])
			}
		}
		for i := range p.to {
			if rapid.Bool().Draw(t, "another") {
				p.to[i] = rapid.IntRange(0, len(p.room)-1).Draw(t, "now to")
			}
		}
		before := w.open()
		if w.adopt(p.text()+bounds) != nil {
			return
		}
		backs := map[shardmap.MoveID]bool{}
		for _, a := range w.next().Actions {
			if a.Kind == ActionRollBack {
				backs[a.Move] = true
			}
		}
		for _, r := range before {
			to := cluster.MemberID(fmt.Sprint("m", p.to[int(r.ID)-1]))
			assert.Equal(t, r.Move.Step < shardmap.StepSwitched && to != r.Move.To, backs[r.Move.ID],
				"range %d at step %d to %s, now to %s", r.ID, r.Move.Step, r.Move.To, to)
		}
		w.settle(t)
		for i, to := range p.to {
			require.Equal(t, cluster.MemberID(fmt.Sprint("m", to)), w.home(i))
		}
	})
}

// What is where it shall be stays there: a plan made of what a plan made has no step.
func TestAPlanThatIsThroughHasNothingLeft(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members, n := rapid.IntRange(1, 4).Draw(t, "members"), rapid.IntRange(1, 6).Draw(t, "ranges")
		var homes []cluster.MemberID
		for range n {
			homes = append(homes, cluster.MemberID(fmt.Sprint("m", rapid.IntRange(0, members-1).Draw(t, "home"))))
		}
		w, text := newWorld(t, homes...), wishes(t, members, n)
		if w.adopt(text) != nil {
			return
		}
		w.settle(t)
		again, err := NewPlan(w.file, w.m, nil)
		require.NoError(t, err)
		require.Empty(t, again.Steps)
	})
}

// A move that no step wants goes back while it can, and else the steps are made anew.
func TestAMoveThatNoStepWantsGoesBack(t *testing.T) {
	w := newWorld(t, "a", "a")
	require.NoError(t, w.adopt(two+"pin \"p\" {\n "+of(0, 2)+"\n to = \"b\"\n}\npin \"q\" {\n "+of(1,
		2)+"\n to = \"a\"\n}\n"))
	w.must(shardmap.Coordinator(1).PlanMove(2, "a", "b"))
	out := w.next()
	require.Equal(t, ActionRollBack, out.Actions[0].Kind)
	for range 3 {
		w.goOn(w.open()[0])
	}
	require.Equal(t, shardmap.StepSwitched, w.open()[0].Move.Step)
	for _, a := range w.next().Actions {
		assert.NotEqual(t, ActionRollBack, a.Kind, "it has switched")
	}
}

// Of ranges that would do alike, those on their way are taken: a file that only changes a bound sends none
// back.
func TestMovesUnderWayAreKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, text := newWorld(t, "a", "a", "a", "a", "a", "a"), "member \"a\" {}\nmember \"b\" {}\n"
		w.file, _ = planfile.Parse([]byte(text), "f.hcl")
		under := map[cluster.RangeID]bool{}
		for range rapid.IntRange(1, 3).Draw(t, "under way") {
			id := cluster.RangeID(rapid.IntRange(1, 6).Draw(t, "range"))
			if under[id] {
				continue
			}
			under[id] = true
			w.must(shardmap.Coordinator(1).PlanMove(id, "a", "b"))
		}
		require.NoError(t, w.adopt(text))
		kept := 0
		for _, s := range w.p.Steps {
			require.NotEqual(t, StepRollBack, s.Kind)
			if s.Kind == StepContinue {
				kept++
			}
		}
		require.Equal(t, len(under), kept)
	})
}
