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
			if a.Kind == ActionStart {
				all = append(all, a.Range)
			}
		}
		return all
	}
	assert.Equal(t, []cluster.RangeID{2}, starts())
	for _, wait := range w.next().Blocked {
		assert.Contains(t, wait.Reason, "value_under_way is 10 (line 7)")
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
	out := w.p.Schedule(w.file, w.m, Observations{SinceLastMove: 2*api.Second - 1})
	assert.Empty(t, out.Actions)
	assert.Equal(t, []BlockedStep{{0, "the pause after the last move is not over (line 4)"}}, out.Blocked)
	assert.Len(t, w.p.Schedule(w.file, w.m, Observations{SinceLastMove: 2 * api.Second}).Actions, 1)
}

// Measured harm stops the plan: what has not switched goes back, and nothing starts until another file comes.
func TestHarmStopsThePlan(t *testing.T) {
	text := two +
		"leave \"a\" {}\nbounds { moves_at_once = 2 }\nstop_when {\n rejected = 0.02\n sick = true\n}\n"
	usual := Outcomes{Total: 1000, Rejected: 10}
	for name, c := range map[string]struct {
		harm Impact
		why  string
	}{
		"none": {Impact{During: Outcomes{Total: 100, Rejected: 3}, Baseline: usual}, ""},
		"over": {Impact{During: Outcomes{Total: 100, Rejected: 4}, Baseline: usual},
			"0.04 of webhooks rejected"},
		"too few to tell":      {Impact{During: Outcomes{Total: 49, Rejected: 49}, Baseline: usual}, ""},
		"late is not asked":    {Impact{During: Outcomes{Total: 100, Late: 100}}, ""},
		"a destination is ill": {Impact{Unhealthy: []UnhealthyDestination{{7, 1}}}, "destination 7 went sick"},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, "a", "a", "a")
			require.NoError(t, w.adopt(text))
			for w.act() > 0 {
			}
			w.goOn(w.open()[0])
			require.Len(t, w.open(), 2)
			out := w.p.Schedule(w.file, w.m, Observations{Impact: c.harm})
			if c.why == "" {
				assert.Empty(t, out.Actions)
				return
			}
			require.Len(t, out.Actions, 3)
			assert.Equal(t, ActionStop, out.Actions[0].Kind)
			assert.Contains(t, out.Actions[0].Reason, c.why)
			w.must(Coordinator(1).Stop(1, out.Actions[0].Reason))
			for w.act() > 0 {
			}
			assert.Empty(t, w.open())
			assert.True(t, w.next().Finished)
			assert.Contains(t, w.next().Blocked[0].Reason, "the plan is stopped: "+c.why)
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
	assert.Equal(t, []BlockedStep{{0, "b is not heard"}}, w.next().Blocked)
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
	w.must(shardmap.Coordinator(1).FailOver([]shardmap.Takeover{{Range: 1, PreviousOwner: "a", NewOwner: "c"}}))
	out := w.next()
	require.Len(t, out.Actions, 1)
	assert.Equal(t, ActionReplan, out.Actions[0].Kind)
	assert.Contains(t, out.Actions[0].Reason, `range 1 is on "c"`)
	w.act()
	assert.Equal(t, uint64(2), w.p.Number)
	assert.Contains(t, w.next().Blocked[0].Reason, "c has yet to say that it serves range 1")
}

// What the log must not take.
func TestTheLogRefusesWhatIsLate(t *testing.T) {
	w := newWorld(t, "a")
	text := two + "leave \"a\" {}\n"
	require.NoError(t, w.adopt(text))
	p, err := NewPlan(w.file, w.m, nil)
	require.NoError(t, err)
	for name, c := range map[string]struct {
		cmd  cluster.Command
		want error
	}{
		"a plan beside it":    {Coordinator(1).Adopt(0, "f.hcl", []byte(text), p), cluster.ErrStale},
		"another plan's step": {Coordinator(1).RecordState(2, 0, Started, 5), cluster.ErrStale},
		"no such step":        {Coordinator(1).RecordState(1, 1, Started, 5), cluster.ErrNotFound},
		"another plan's end":  {Coordinator(1).Stop(2, "x"), cluster.ErrStale},
		"back to the start":   {Coordinator(1).RecordState(1, 0, Pending, 5), cluster.ErrStale},
	} {
		_, err := w.propose(c.cmd)
		assert.ErrorIs(t, err, c.want, name)
	}
	w.must(Coordinator(1).RecordState(1, 0, Done, 5))
	_, err = w.propose(Coordinator(1).RecordState(1, 0, Started, 5))
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
	assert.Equal(t, []BlockedStep{{1, `pin "p" (line 3) goes first and has 1 moves left`}}, out.Blocked)
}
