package rebalance

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
)

const two = "member \"a\" { zone = \"x\" }\nmember \"b\" { zone = \"y\" }\n"

// What is worth more by itself than may be under way waits, and doesn't hold up the others; what is worth
// less than that, but too much now, is not overtaken for ever.
func TestValueUnderWayIsBounded(t *testing.T) {
	text := two + "pin \"all\" {\n hashes = [\"0\", \"0xffffffffffffffff\"]\n to = \"b\"\n}\n" +
		"bounds {\n moves_at_once = 9\n value_under_way = 10\n}\n"
	w := newWorld(t, "a", "a", "a", "a", "a")
	worth := map[cluster.RangeID]float64{1: 11, 2: 6, 3: 5, 4: 1, 5: 1}
	w.value = func(id cluster.RangeID) float64 { return worth[id] }
	require.NoError(t, w.adopt(text))
	starts := func() (all []cluster.RangeID) {
		for _, a := range w.next().Actions {
			if a.Do == Start {
				all = append(all, a.Range)
			}
		}
		return all
	}
	assert.Equal(t, []cluster.RangeID{2}, starts())
	for _, wait := range w.next().Waits {
		assert.Contains(t, wait.Why, "value_under_way is 10 (line 7)")
	}
	w.act()
	worth[2] = 3
	assert.Equal(t, []cluster.RangeID{3, 4, 5}, starts())
	worth[1] = 7
	assert.Equal(t, []cluster.RangeID{1}, starts())
}

func TestAPauseFollowsAMove(t *testing.T) {
	w := newWorld(t, "a")
	require.NoError(t, w.adopt(two+"leave \"a\" {}\nbounds { pause = \"2s\" }\n"))
	out := w.p.Next(w.file, w.m, Seen{Rested: 2*api.Second - 1})
	assert.Empty(t, out.Actions)
	assert.Equal(t, []Wait{{0, "the pause after the last move is not over (line 4)"}}, out.Waits)
	assert.Len(t, w.p.Next(w.file, w.m, Seen{Rested: 2 * api.Second}).Actions, 1)
}

// Measured harm stops the plan: what has not switched goes back, and nothing starts until another file comes.
func TestHarmStopsThePlan(t *testing.T) {
	text := two +
		"leave \"a\" {}\nbounds { moves_at_once = 2 }\nstop_when {\n rejected = 0.02\n sick = true\n}\n"
	usual := Ends{Ended: 1000, Rejected: 10}
	for name, c := range map[string]struct {
		harm Harm
		why  string
	}{
		"none": {Harm{Now: Ends{Ended: 100, Rejected: 3}, Usual: usual}, ""},
		"over": {Harm{Now: Ends{Ended: 100, Rejected: 4}, Usual: usual},
			"0.04 of webhooks rejected"},
		"too few to tell":      {Harm{Now: Ends{Ended: 49, Rejected: 49}, Usual: usual}, ""},
		"late is not asked":    {Harm{Now: Ends{Ended: 100, Late: 100}}, ""},
		"a destination is ill": {Harm{Sick: []Sick{{7, 1}}}, "destination 7 went sick"},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, "a", "a", "a")
			require.NoError(t, w.adopt(text))
			for w.act() > 0 {
			}
			w.goOn(w.open()[0])
			require.Len(t, w.open(), 2)
			out := w.p.Next(w.file, w.m, Seen{Harm: c.harm})
			if c.why == "" {
				assert.Empty(t, out.Actions)
				return
			}
			require.Len(t, out.Actions, 3)
			assert.Equal(t, GiveUp, out.Actions[0].Do)
			assert.Contains(t, out.Actions[0].Why, c.why)
			w.must(Conductor(1).Stop(1, out.Actions[0].Why))
			for w.act() > 0 {
			}
			assert.Empty(t, w.open())
			assert.True(t, w.next().Finished)
			assert.Contains(t, w.next().Waits[0].Why, "the plan is stopped: "+c.why)
			require.NoError(t, w.adopt(text))
			assert.Len(t, w.next().Actions, 2)
		})
	}
}

// A target that is gone sends its moves back, and they begin again once it is heard.
func TestAGoneTargetSendsItsMovesBack(t *testing.T) {
	w := newWorld(t, "a")
	require.NoError(t, w.adopt(two+"leave \"a\" {}\n"))
	for w.act() > 0 {
	}
	w.gone["b"] = true
	for w.act() > 0 {
	}
	assert.Empty(t, w.open())
	assert.Equal(t, []Wait{{0, "b is not heard"}}, w.next().Waits)
	w.gone["b"] = false
	for w.act() > 0 {
	}
	assert.Len(t, w.open(), 1)
	assert.Equal(t, uint64(1), w.p.Number)
}

// A range whose home was lost is elsewhere than the steps start from: they are made anew from where it is.
func TestALostHomeIsPlannedAnew(t *testing.T) {
	w := newWorld(t, "a", "a")
	require.NoError(t, w.adopt(two+"member \"c\" {}\npin \"p\" {\n "+of(0,
		2)+"\n to = \"b\"\n}\nleave \"a\" {}\n"))
	delete(w.held, cluster.RangeOwnerResource(1))
	w.must(shardmap.Conductor(1).Lost([]shardmap.Takeover{{Range: 1, Lost: "a", To: "c"}}))
	out := w.next()
	require.Len(t, out.Actions, 1)
	assert.Equal(t, Replan, out.Actions[0].Do)
	assert.Contains(t, out.Actions[0].Why, `range 1 is on "c"`)
	w.act()
	assert.Equal(t, uint64(2), w.p.Number)
	assert.Contains(t, w.next().Waits[0].Why, "c has yet to say that it serves range 1")
}

// What the log must not take.
func TestTheLogRefusesWhatIsLate(t *testing.T) {
	w := newWorld(t, "a")
	text := two + "leave \"a\" {}\n"
	require.NoError(t, w.adopt(text))
	p, err := Make(w.file, w.m, nil)
	require.NoError(t, err)
	for name, c := range map[string]struct {
		cmd  cluster.Command
		want error
	}{
		"a plan beside it":    {Conductor(1).Adopt(0, "f.hcl", []byte(text), p), cluster.ErrStale},
		"another plan's step": {Conductor(1).Note(2, 0, Begun, 5), cluster.ErrStale},
		"no such step":        {Conductor(1).Note(1, 1, Begun, 5), cluster.ErrNotFound},
		"another plan's end":  {Conductor(1).Stop(2, "x"), cluster.ErrStale},
		"back to the start":   {Conductor(1).Note(1, 0, Waits, 5), cluster.ErrStale},
	} {
		_, err := w.propose(c.cmd)
		assert.ErrorIs(t, err, c.want, name)
	}
	w.must(Conductor(1).Note(1, 0, Through, 5))
	_, err = w.propose(Conductor(1).Note(1, 0, Begun, 5))
	assert.ErrorIs(t, err, cluster.ErrStale, "it is through")
}

// A range under two rules of which one goes first moves with the first.
func TestARangeUnderTwoRulesGoesWithTheFirst(t *testing.T) {
	w := newWorld(t, "a", "a")
	require.NoError(t, w.adopt(two+"pin \"p\" {\n "+of(0, 2)+"\n to = \"b\"\n}\nleave \"a\" {}\n"+
		"before \"p\" { after = [\"a\"] }\nbounds { moves_at_once = 2 }\n"))
	out := w.next()
	require.Len(t, out.Actions, 1)
	assert.Equal(t, cluster.RangeID(1), out.Actions[0].Range)
	assert.Equal(t, []Wait{{1, `pin "p" (line 3) goes first and has 1 moves left`}}, out.Waits)
}
