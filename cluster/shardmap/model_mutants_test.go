package shardmap

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/webhook/api"
)

// did is a move that a start has behind it.
type did struct {
	name string
	i    int8
}

// after is a world in which so much has happened.
func (w *world) after(all ...did) *world {
	for _, d := range all {
		moves := w.moves(nil)
		i := slices.IndexFunc(moves, func(m move) bool { return m.name == d.name && m.i == d.i })
		if i < 0 {
			panic("a start goes on otherwise: " + d.name)
		}
		moves[i].do(w, d.i, moves[i].n)
	}
	return w
}

// passing is a move from a to b that both know of, of a webhook that is still at a; sent: it is on its way.
var (
	passing = []did{{"a move is planned to", 1}, {"the move passes", 0}, {"learns the map", 0},
		{"learns the map", 1}}
	sent    = append(slices.Clone(passing), did{"hands on", 0}, did{"goes on", 0})
	taken   = append(slices.Clone(sent), did{"arrives", 0}, did{"goes on", 1}, did{"goes on", 1})
	called  = []did{{"calls", 0}, {"goes on", 0}, {"goes on", 0}}
	calling = append(slices.Clone(called), passing...)
	ran     = append(append(slices.Clone(called), did{"its call ends unknown", 0}), sent...)
	asked   = append(slices.Clone(handed), did{"gives up waiting", 1}, did{"goes on", 1}, did{"goes on", 1},
		did{"its session ends", 0}, did{"the log ends the grant", 0}, did{"the home is lost to", 1},
		did{"learns the map", 1}, did{"asks", 1}, did{"gives up waiting", 1})
	handed = []did{{"a client hands in", 1}, {"arrives", 0}, {"goes on", 0}, {"goes on", 0}}
)

// Each world is spoilt in one way, outside the objects; the search must find where it breaks, and nothing
// where it is not spoilt.
func TestSpoiltCustodyIsFoundOut(t *testing.T) {
	const two, lost, out = "two members own a webhook", "a webhook is lost",
		"a call is out at the source when the target is home"
	const once, unknowing = api.AtMostOnce, "an owner does not know that it may have run"
	moved := may{moves: 1, grants: 3, crashes: 1}
	entered := may{clients: 1, alone: 1, crashes: 1}
	for name, m := range map[string]struct {
		wrong  wrong
		repeat api.Semantics
		left   may
		start  []did
		finds  string
	}{
		"Has before the record":          {wrong{hasFirst: true}, once, moved, sent, lost},
		"Has while it comes":             {wrong{hasComing: true}, once, moved, sent, lost},
		"Never not kept":                 {wrong{neverLost: true}, once, moved, sent, two},
		"Refuses final after a try":      {wrong{refusesFinal: true}, once, may{moves: 1, fulls: 1}, sent, two},
		"hand not raised":                {wrong{handStays: true}, once, may{moves: 1, backs: 1}, taken, lost},
		"doubt forgotten over a restart": {wrong{doubtLost: true}, once, moved, sent, two},
		"other life trusted":             {wrong{otherLife: true}, once, may{moves: 1, folders: 1}, sent, two},
		"called while in doubt":          {wrong{callsInDoubt: true}, once, entered, handed, unknowing},
		"switch before passing is over":  {wrong{early: true}, once, moved, calling, out},
		"may-have-run lost on the way": {wrong{ranLost: true}, api.Deduplicated, may{moves: 1, unknowns: 1}, ran,
			unknowing},
		"came kept late": {wrong{cameLate: true}, once, entered, handed, unknowing},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := search(newWorld(2, 1, m.repeat, m.left, m.wrong).after(m.start...), 16, 0)
			t.Logf("after %d states, %d moves:\n%s", f.states, f.depth+1, f.story)
			require.Equal(t, m.finds, f.broken)
			sound := search(newWorld(2, 1, m.repeat, m.left, wrong{}).after(m.start...), f.depth+1, 0)
			assert.Empty(t, sound.broken, sound.story)
		})
	}
}
