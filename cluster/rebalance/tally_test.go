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
	r, _ := w.m.RangeOf(cluster.DestinationKeyHash(7))
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
	source, target := NewImpactMeter(1, second, 0), NewImpactMeter(2, second, 0)
	source.CountOutcomes(7, Outcomes{Total: 100, Late: 10})
	of := w.p.MonitoredMoves(w.file, w.m)
	require.Len(t, of, 2)
	for _, y := range []*ImpactMeter{source, target} {
		y.ObserveMap(w.m, well, second)
	}
	source.CountOutcomes(7, Outcomes{Total: 20, Late: 3})
	target.CountOutcomes(7, Outcomes{Total: 20, Late: 6})
	var g ImpactCollector
	for range 2 { // asked again, nothing counts twice
		g.AddReport(1, "a", source.Report(1, of, w.m, well, 2*second))
		g.AddReport(1, "b", target.Report(1, of, w.m, well, 2*second))
	}
	var another ImpactCollector // of a conductor that has just begun
	for id, y := range map[cluster.MemberID]*ImpactMeter{"a": source, "b": target} {
		another.AddReport(1, id, y.Report(1, of, w.m, well, 2*second))
	}
	h := g.Impact(1)
	assert.Equal(t, h, another.Impact(1))
	assert.Equal(t, Outcomes{Total: 40, Late: 9}, h.During)
	assert.Equal(t, Outcomes{Total: 100, Late: 10}, h.Baseline)
	why := degradation(w.file.StopConditions, h)
	assert.Contains(t, why, "0.225 of webhooks late")
	assert.Contains(t, why, "(9 of 40), 0.1 before; line 5 stops at 0.1 more")
	assert.Contains(t, why, "most in range "+formatRangeID(at))

	// The member that saw most of it is killed and comes back: what it told still counts.
	back := NewImpactMeter(3, second, 0)
	for range 2 {
		g.AddReport(1, "b", back.Report(1, of, w.m, well, 2*second))
		back.CountOutcomes(7, Outcomes{Total: 1, Late: 1})
	}
	assert.Equal(t, Outcomes{Total: 41, Late: 10}, g.Impact(1).During)
	// Another plan is not blamed for it, nor stopped by what an earlier one did.
	assert.Empty(t, g.Impact(2).Ranges)
	g.AddReport(2, "b", target.Report(2, of, w.m, well, 3*second))
	assert.Equal(t, Outcomes{}, g.Impact(2).During)
}

// A destination counts as gone sick only if it was well when its move began, by whichever home.
func TestOnlyWhatWasWellBeforeGoesSick(t *testing.T) {
	for name, c := range map[string]struct {
		before UnhealthyFunc
		sick   int
	}{"well before": {well, 1}, "sick before": {ill, 0}} {
		t.Run(name, func(t *testing.T) {
			w, at, _ := moving(t)
			source, target, of := NewImpactMeter(1, second, 0), NewImpactMeter(2, second, 0), w.p.MonitoredMoves(w.file, w.m)
			source.ObserveMap(w.m, c.before, 0)
			target.ObserveMap(w.m, well, 0)
			var g ImpactCollector
			g.AddReport(1, "a", source.Report(1, of, w.m, well, 1))
			g.AddReport(1, "b", target.Report(1, of, w.m, ill, 1))
			assert.Len(t, g.Impact(1).Unhealthy, c.sick)
			if c.sick > 0 {
				assert.Equal(t, UnhealthyDestination{7, at}, g.Impact(1).Unhealthy[0])
			}
		})
	}
}

// Nobody is asked while nothing was moved, once all is, once it is stopped, or where the file says nothing.
func TestNobodyIsAskedWithoutNeed(t *testing.T) {
	w, _, _ := moving(t)
	assert.Len(t, w.p.MonitoredMoves(w.file, w.m), 2)
	silent := *w.file
	silent.StopConditions.Line = 0
	assert.Empty(t, w.p.MonitoredMoves(&silent, w.m))
	stopped := *w.p
	stopped.StopReason = "x"
	assert.Empty(t, stopped.MonitoredMoves(w.file, w.m))
	for len(w.open()) > 0 {
		w.goOn(w.open()[0])
	}
	for w.act() > 0 {
	}
	assert.Empty(t, w.p.MonitoredMoves(w.file, w.m))
	fresh := newWorld(t, "a")
	require.NoError(t, fresh.adopt(two+"leave \"a\" {}\nstop_when { sick = true }\n"))
	assert.Empty(t, fresh.p.MonitoredMoves(fresh.file, fresh.m))
}

// What is usual is of a while ago at the most, and moves are forgotten: guards against a member that runs for
// months.
func TestWhatIsUsualIsOfLately(t *testing.T) {
	w, _, move := moving(t)
	y := NewImpactMeter(1, second, 0)
	empty := shardmap.New(nil)
	y.CountOutcomes(7, Outcomes{Total: 1000})
	for n := 1; n < 4; n++ {
		y.ObserveMap(empty, well, api.Micros(n)*baselineTTLs*second)
		y.CountOutcomes(7, Outcomes{Total: 1})
	}
	y.ObserveMap(w.m, well, 3*baselineTTLs*second)
	assert.Equal(t, uint64(2), y.moves[move].baseline.Total)
	y.ObserveMap(empty, well, 5*baselineTTLs*second)
	assert.Empty(t, y.moves)
}
