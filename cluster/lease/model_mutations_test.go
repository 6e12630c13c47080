package lease

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/webhook/api"
)

// Each world is spoilt in one way, outside the objects; the search must find where it breaks, and nothing
// where it is not spoilt. Those that are patient look on until two members hold the task at one moment; the
// others, with ROWAN_SEARCH_DEEPER too.
func TestSpoiltWorldsAreFoundOut(t *testing.T) {
	const two, freed, deeds = "two members hold the task", "a member holds what the log has freed",
		"a deed came in after one of a later epoch"
	for name, m := range map[string]struct {
		wrong wrong
		left  may
		finds string
	}{
		"term counted from the answer":          {wrong{answerTime: true, patient: true}, may{}, two},
		"no whole term at a new leader":         {wrong{noWholeTerm: true}, may{elections: 1}, freed},
		"fence not kept over a restart":         {wrong{fenceLost: true}, may{deeds: 2, restarts: 1}, deeds},
		"renewal accepted after Due":            {wrong{renewsEnding: true, patient: true}, may{}, two},
		"answers without knowing that it leads": {wrong{unverified: true}, may{elections: 1}, freed},
		"assent counted from when it is read":   {wrong{verifiedLate: true}, may{elections: 1, assents: 1}, freed},
		"drift ignored":                         {wrong{noDrift: true, patient: true}, may{}, two},
		"an end of an earlier reign":            {wrong{anyReign: true}, may{elections: 1}, freed},
	} {
		t.Run(name, func(t *testing.T) {
			if deeper > 0 && m.finds == freed {
				m.wrong.patient, m.finds = true, two
			}
			start := worst(m.wrong, m.left)
			if m.wrong.verifiedLate { // the long way there is cut: another's assent is out, then a keeper elected
				start.assentOut(0)
				start.left.assents, start.left.elections = 0, 0
				start.elect(1)
			}
			f := search([]*world{start}, 16)
			require.Equal(t, m.finds, f.broken)
			t.Logf("after %d states, %d moves:\n%s", f.states, f.depth+1, f.story)
			sound := search([]*world{worst(wrong{}, m.left)}, min(f.depth+1, 7+deeper))
			assert.Empty(t, sound.broken, sound.story)
		})
	}
}

// Beyond the reach of the search: long walks with every fault, chosen by chance.
func TestNoTwoHoldersOnLongWalks(t *testing.T) {
	chance, taken, steps := rand.New(rand.NewPCG(35, 1)), 0, 0
	rates := []api.Micros{stepSlow, stepFast}
	for range 10_000 * (1 + deeper) {
		rate := func() api.Micros { return rates[chance.IntN(2)] }
		w := rested(wrong{}, may{true, 4, 6, 4, 3, 2, 3, 6, 2},
			[2]api.Micros{rate(), rate()}, [2]api.Micros{rate(), rate()})
		for range 80 {
			moves := w.moves(nil)
			m := moves[chance.IntN(len(moves))]
			m.do(w, m.i)
			require.Empty(t, w.broke())
			steps++
			if _, ok := w.proc[1].tenure.Epoch(worldTask, w.clock(1)); ok {
				taken++
			}
		}
	}
	assert.Positive(t, taken)
	t.Logf("%d moves; after %d the second member held the task", steps, taken)
}
