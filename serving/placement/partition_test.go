package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/attempt"
)

func TestPromptWork_ShortSteps(t *testing.T) {
	east := []string{"east"}
	for _, test := range []struct {
		name       string
		requests   int
		routes     map[string]*routeWork
		east, west uint8
	}{
		{name: "nothing measured", requests: 0},
		{name: "too few requests", requests: 3, routes: map[string]*routeWork{"a": {short: 1, long: 9}}},
		{name: "only long prompts", requests: 99, routes: map[string]*routeWork{"a": {long: 9}}},
		{name: "only short prompts", requests: 99, routes: map[string]*routeWork{"a": {short: 9}}},
		{name: "a fifth", requests: 99, routes: map[string]*routeWork{"a": {short: 1}, "b": {long: 4}}, east: 4, west: 4},
		{name: "most", requests: 99, routes: map[string]*routeWork{"a": {short: 9, long: 1}}, east: 8, west: 8},
		{name: "short ones at home", requests: 99, east: 3,
			routes: map[string]*routeWork{"a": {homes: east, short: 1}, "b": {long: 10}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			work := promptWork{requests: test.requests, routes: test.routes}
			assert.Equal(t, test.east, work.shortSteps("east", 2))
			assert.Equal(t, test.west, work.shortSteps("west", 2))
		})
	}
}

// TestPick_SeparatesShortPrompts: in a large region, short prompts don't go to endpoints that prefill long ones, also
// those of other proxies.
func TestPick_SeparatesShortPrompts(t *testing.T) {
	endpoints := modelEndpoints("e1", 60)
	long, short := map[string]bool{}, map[string]bool{}
	for proxy := range 20 {
		w := newNamedFixture(t, fmt.Sprint("proxy", proxy), endpoints...)
		for number := range 200 {
			tokens := 600
			if number%2 == 0 {
				tokens = 6000
			}
			request := w.unsharedRequest(number)
			request.PromptTokens, request.Blocks[0].Tokens = tokens, tokens
			choice, decision := w.Pick(w.now, request)
			require.Equal(t, Picked, decision.Kind)
			w.now = w.now.Add(initialBaseLatency + time.Duration(float64(tokens)/initialPrefillRate)*time.Millisecond)
			w.ReportProgress(w.now, choice.Reservation)
			w.ReportOutcome(w.now, choice.Reservation, attempt.Succeeded)
			switch {
			case number < 100: // shares of the work aren't settled yet
			case number%2 == 0:
				long[choice.Endpoint.ID] = true
			default:
				short[choice.Endpoint.ID] = true
			}
		}
	}
	for id := range short {
		assert.False(t, long[id], id)
	}
	assert.GreaterOrEqual(t, len(short), 5)
	assert.GreaterOrEqual(t, len(long), 30)
}
