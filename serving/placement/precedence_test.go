package placement

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/attempt"
)

// TestPrecedence_PromptSizeDoesNotRank: only the operator's precedence decides in which order an endpoint prefills
// prompts. A short prompt passes neither a longer one of the same precedence nor any of a higher one, whether it is short
// by itself or because its blocks are cached.
func TestPrecedence_PromptSizeDoesNotRank(t *testing.T) {
	w := newFixture(t, "e1", modelEndpoints("e1", 1)...)
	pick := func(route string, blocks ...PrefixBlock) Choice {
		request := w.request(route, 0)
		request.Blocks, request.PromptTokens = blocks, 0
		choice, decision := w.Pick(w.now, request)
		require.Equal(t, Picked, decision.Kind)
		return choice
	}
	cached := pick("review", PrefixBlock{"b", 6000}, PrefixBlock{"one", 4000})
	w.ReportOutcome(w.now, cached.Reservation, attempt.Succeeded)

	pick("urgent", PrefixBlock{"urgent", 3000})
	long := pick("review", PrefixBlock{"long", 9000})
	assert.Equal(t, 3000, long.Reservation.call.tokensAhead)
	for name, blocks := range map[string][]PrefixBlock{
		"short":  {{"short", 300}},
		"cached": {{"b", 6000}, {"two", 300}},
	} {
		choice := pick("review", blocks...)
		assert.Equal(t, 1, choice.Reservation.call.priority, name)
		assert.GreaterOrEqual(t, choice.Reservation.call.tokensAhead, 12_000, "%s: behind all of those", name)
	}
	assert.Equal(t, 3000, pick("urgent", PrefixBlock{"later", 9000}).Reservation.call.tokensAhead)
}
