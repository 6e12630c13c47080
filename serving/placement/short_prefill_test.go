package placement

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/attempt"
)

func TestShortPrefill_IsMarked(t *testing.T) {
	w := newFixture(t, "e1", modelEndpoints("e1", 1)...)
	isShort := func(route string, blocks ...PrefixBlock) bool {
		request := Request{Route: w.route(route), Model: "m", Blocks: blocks, TimeLeft: w.route(route).LatencyTarget}
		choice, decision := w.Pick(w.now, request)
		require.Equal(t, Picked, decision.Kind)
		w.ReportOutcome(w.now, choice.Reservation, attempt.Succeeded)
		return choice.ShortPrefill
	}
	assert.False(t, isShort("review", PrefixBlock{"long", 6500}), "the complete prompt has to be prefilled")
	assert.True(t, isShort("review", PrefixBlock{"b", 6000}, PrefixBlock{"other", 500}), "the owner is expected to have the shared blocks cached")
	assert.False(t, isShort("review", PrefixBlock{"b", 6000}, PrefixBlock{"third", 4000}))
	assert.False(t, isShort("review"), "the prompt's length is unknown")
}

func TestShortPrefill_QueuesAtHighestPriority(t *testing.T) {
	w := newFixture(t, "e1", modelEndpoints("e1", 1)...)
	long := Request{
		Route:    w.route("review"),
		Model:    "m",
		Blocks:   []PrefixBlock{{"long", 9000}},
		TimeLeft: w.route("review").LatencyTarget,
	}
	_, decision := w.Pick(w.now, long)
	require.Equal(t, Picked, decision.Kind)
	short := long
	short.Blocks = []PrefixBlock{{"short", 300}}
	choice, decision := w.Pick(w.now, short)
	require.Equal(t, Picked, decision.Kind)
	assert.True(t, choice.ShortPrefill)
	assert.Zero(t, choice.Reservation.call.priority)
}
