package shardmap

import (
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/webhook/api"
)

// Long random walks with every kind of fault reach states that are too deep for the search. Each walk is quiesced at
// its end.
func TestModelWalk_OneCustodianOnLongRandomWalks(t *testing.T) {
	semantics := []api.Semantics{api.AtMostOnce, api.Deduplicated, api.Idempotent}
	random := rand.New(rand.NewPCG(35, 2))
	steps, moved, forked := 0, 0, 0
	for n := range 6000 * (1 + 20*extraDepth) {
		budget := faultBudget{
			crashes:         3,
			folderLosses:    int8(n / 3 % 2),
			duplicates:      4,
			rejections:      2,
			moves:           3,
			reverts:         2,
			failovers:       3,
			expiries:        3,
			grants:          8,
			isolations:      2,
			unknownOutcomes: 1,
			clockTicks:      int8(n % 2 * 2),
			clients:         int8(n / 2 % 2 * 3),
		}
		md := newModel(int8(2+n%2), int8(1+n/4%2), semantics[n%3], budget, mutation{})
		var lines []string
		for range 100 {
			enabled := md.transitions(nil)
			if len(enabled) == 0 {
				break
			}
			m := enabled[random.IntN(len(enabled))]
			lines = append(lines, md.describe(m))
			m.apply(md, m.target, m.webhook)
			require.Empty(t, md.findViolation(), strings.Join(lines, "\n"))
			steps++
		}
		trace := strings.Join(lines, "\n") + "\n"
		require.Empty(t, md.quiesce(&trace), trace)
		for i := range md.webhooks {
			if md.forked[i] {
				forked++
			}
		}
		if md.loggedRange().Owner != memberIDs[0] {
			moved++
		}
	}
	assert.Positive(t, moved)
	assert.Positive(t, forked)
	t.Logf("%d transitions; %d walks end at another owner, %d webhooks were forked", steps, moved, forked)
}
