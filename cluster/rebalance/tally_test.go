package rebalance

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
)

const second = api.Second

// moving is a world whose ranges all begin to move by a plan that stops for harm, and where destination 7
// lies.
func moving(t *testing.T) (w *world, at cluster.RangeID, move shardmap.MoveID) {
	w = newWorld(t, "a", "a")
	require.NoError(t, w.adopt(two+"leave \"a\" {}\nbounds { moves_at_once = 2 }\nstop_when {\n late = 0.1\n"+
		" sick = true\n}\n"))
	for w.act() > 0 {
	}
	r, _ := w.m.Of(cluster.DestinationKeyHash(7))
	return w, r.ID, r.Move.ID
}

func well(shardmap.Range) []api.DestinationID { return nil }
func ill(r shardmap.Range) []api.DestinationID {
	if k := cluster.DestinationKeyHash(7); r.From <= k && k <= r.To {
		return []api.DestinationID{7}
	}
	return nil
}

// What is counted before a move is usual, what comes after is held against it, each webhook once, whoever of
// the members saw it; the reason names the measure, the range and how much.
func TestHarmIsWhatAMoveAddsToWhatWasUsual(t *testing.T) {
	w, at, _ := moving(t)
	source, target := NewTally(1, second, 0), NewTally(2, second, 0)
	source.Ended(7, Ends{Ended: 100, Late: 10})
	of := w.p.Watches(w.file, w.m)
	require.Len(t, of, 2)
	for _, y := range []*Tally{source, target} {
		y.Look(w.m, well, second)
	}
	source.Ended(7, Ends{Ended: 20, Late: 3})
	target.Ended(7, Ends{Ended: 20, Late: 6})
	var g Gathered
	for range 2 { // asked again, nothing counts twice
		g.Take(1, "a", source.Tell(1, of, w.m, well, 2*second))
		g.Take(1, "b", target.Tell(1, of, w.m, well, 2*second))
	}
	var another Gathered // of a conductor that has just begun
	for id, y := range map[cluster.MemberID]*Tally{"a": source, "b": target} {
		another.Take(1, id, y.Tell(1, of, w.m, well, 2*second))
	}
	h := g.Harm(1)
	assert.Equal(t, h, another.Harm(1))
	assert.Equal(t, Ends{Ended: 40, Late: 9}, h.Now)
	assert.Equal(t, Ends{Ended: 100, Late: 10}, h.Usual)
	why := w.file.StopWhen.harm(h)
	assert.Contains(t, why, "0.225 of webhooks late")
	assert.Contains(t, why, "(9 of 40), 0.1 before; line 5 stops at 0.1 more")
	assert.Contains(t, why, "most in range "+rangeName(at))

	// The member that saw most of it is killed and comes back: what it told still counts.
	back := NewTally(3, second, 0)
	for range 2 {
		g.Take(1, "b", back.Tell(1, of, w.m, well, 2*second))
		back.Ended(7, Ends{Ended: 1, Late: 1})
	}
	assert.Equal(t, Ends{Ended: 41, Late: 10}, g.Harm(1).Now)
	// Another plan is not blamed for it, nor stopped by what an earlier one did.
	assert.Empty(t, g.Harm(2).Spots)
	g.Take(2, "b", target.Tell(2, of, w.m, well, 3*second))
	assert.Equal(t, Ends{}, g.Harm(2).Now)
}

// A destination counts as gone sick only if it was well when its move began, by whichever home.
func TestOnlyWhatWasWellBeforeGoesSick(t *testing.T) {
	for name, c := range map[string]struct {
		before Sickness
		sick   int
	}{"well before": {well, 1}, "sick before": {ill, 0}} {
		t.Run(name, func(t *testing.T) {
			w, at, _ := moving(t)
			source, target, of := NewTally(1, second, 0), NewTally(2, second, 0), w.p.Watches(w.file, w.m)
			source.Look(w.m, c.before, 0)
			target.Look(w.m, well, 0)
			var g Gathered
			g.Take(1, "a", source.Tell(1, of, w.m, well, 1))
			g.Take(1, "b", target.Tell(1, of, w.m, ill, 1))
			assert.Len(t, g.Harm(1).Sick, c.sick)
			if c.sick > 0 {
				assert.Equal(t, Sick{7, at}, g.Harm(1).Sick[0])
			}
		})
	}
}

// Nobody is asked while nothing was moved, once all is, once it is stopped, or where the file says nothing.
func TestNobodyIsAskedWithoutNeed(t *testing.T) {
	w, _, _ := moving(t)
	assert.Len(t, w.p.Watches(w.file, w.m), 2)
	silent := *w.file
	silent.StopWhen.Line = 0
	assert.Empty(t, w.p.Watches(&silent, w.m))
	stopped := *w.p
	stopped.Stopped = "x"
	assert.Empty(t, stopped.Watches(w.file, w.m))
	for len(w.open()) > 0 {
		w.goOn(w.open()[0])
	}
	for w.act() > 0 {
	}
	assert.Empty(t, w.p.Watches(w.file, w.m))
	fresh := newWorld(t, "a")
	require.NoError(t, fresh.adopt(two+"leave \"a\" {}\nstop_when { sick = true }\n"))
	assert.Empty(t, fresh.p.Watches(fresh.file, fresh.m))
}

// What is usual is of a while ago at the most, and moves are forgotten: guards against a member that runs for
// months.
func TestWhatIsUsualIsOfLately(t *testing.T) {
	w, _, move := moving(t)
	y := NewTally(1, second, 0)
	empty := shardmap.New(nil)
	y.Ended(7, Ends{Ended: 1000})
	for n := 1; n < 4; n++ {
		y.Look(empty, well, api.Micros(n)*usualTerms*second)
		y.Ended(7, Ends{Ended: 1})
	}
	y.Look(w.m, well, 3*usualTerms*second)
	assert.Equal(t, uint64(2), y.moves[move].usual.Ended)
	y.Look(empty, well, 5*usualTerms*second)
	assert.Empty(t, y.moves)
}
