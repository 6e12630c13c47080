package placement

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/attempt"
)

// TestPrefixRegion_OneOwnerForLongPrefixes: shared blocks whose prefill takes longer than reaching another region are
// prefilled at one endpoint of the whole system, short ones at one endpoint of each region.
func TestPrefixRegion_OneOwnerForLongPrefixes(t *testing.T) {
	all := append(modelEndpoints("e1", 4), modelEndpoints("w1", 4)...)
	east, west := newFixture(t, "e1", all...), newFixture(t, "w1", all...)
	pickID := func(w *pickerFixture, request Request) string {
		choice, decision := w.Pick(w.now, request)
		require.Equal(t, Picked, decision.Kind)
		w.ReportOutcome(w.now, choice.Reservation, attempt.Succeeded)
		return choice.Endpoint.ID
	}
	zones := map[string]int{}
	for subject := range 40 {
		request := east.request("review", subject)
		ownerID := pickID(east, request)
		assert.Equal(t, ownerID, pickID(west, request))
		zones[ownerID[:2]]++
		assert.Equal(t, "e1", pickID(east, east.request("home", subject))[:2], "home regions are binding")

		short := east.shortRequest("review", subject)
		assert.Equal(t, "e1", pickID(east, short)[:2])
		assert.Equal(t, "w1", pickID(west, short)[:2])
	}
	assert.Greater(t, zones["e1"], 5)
	assert.Greater(t, zones["w1"], 5)
}
