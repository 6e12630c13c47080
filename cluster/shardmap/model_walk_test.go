package shardmap

import (
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/webhook/api"
)

// Beyond the reach of the search: long walks with every fault, chosen by chance, each calmed at its end.
func TestEachWebhookHasOneOwnerOnLongWalks(t *testing.T) {
	repeats := []api.Semantics{api.AtMostOnce, api.Deduplicated, api.Idempotent}
	chance, steps, passed, forked := rand.New(rand.NewPCG(35, 2)), 0, 0, 0
	for n := range 6000 * (1 + 20*deeper) {
		left := may{crashes: 3, folders: int8(n / 3 % 2), doubles: 4, fulls: 2, moves: 3, backs: 2,
			losts: 3, ends: 3,
			grants: 8, alone: 2, unknowns: 1, times: int8(n % 2 * 2), clients: int8(n / 2 % 2 * 3)}
		w := newWorld(int8(2+n%2), int8(1+n/4%2), repeats[n%3], left, wrong{})
		var told []string
		for range 100 {
			moves := w.moves(nil)
			if len(moves) == 0 {
				break
			}
			m := moves[chance.IntN(len(moves))]
			told = append(told, w.tells(m))
			m.do(w, m.i, m.n)
			require.Empty(t, w.broke(), strings.Join(told, "\n"))
			steps++
		}
		story := strings.Join(told, "\n") + "\n"
		require.Empty(t, w.calms(&story), story)
		for i := range w.webhooks {
			if w.forked[i] {
				forked++
			}
		}
		if w.home().Owner != who[0] {
			passed++
		}
	}
	assert.Positive(t, passed)
	assert.Positive(t, forked)
	t.Logf("%d moves; %d walks end at another home, %d webhooks were forked", steps, passed, forked)
}
