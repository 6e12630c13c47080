package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestSilenceWithinBegunAnswersRaisesDoubt: an endpoint that goes dark in the middle of its answers is left out before
// any new request has waited there in vain, and taken again when it goes on.
func TestSilenceWithinBegunAnswersRaisesDoubt(t *testing.T) {
	w := newWorld(t, "e1", modelEndpoints("e1", 2)...)
	request := w.request("review", 1)
	dark, verdict := w.Pick(w.now, request)
	require.Equal(t, Picked, verdict.Kind)
	w.ReportProgress(w.now.Add(200*time.Millisecond), dark.Reservation)
	chosen := func(after time.Duration) bool {
		choice, verdict := w.Pick(w.now.Add(after), request)
		require.Equal(t, Picked, verdict.Kind)
		w.ReportOutcome(w.now.Add(after), choice.Reservation, 0)
		return choice.Endpoint.ID == dark.Endpoint.ID
	}
	for step := range 20 { // events come
		at := time.Duration(250+50*step) * time.Millisecond
		w.ReportProgress(w.now.Add(at), dark.Reservation)
		assert.True(t, chosen(at), "the owner of the prompt's parts")
	}
	silence := 1200 * time.Millisecond
	assert.True(t, chosen(silence+200*time.Millisecond), "others' prompts are read in between")
	// the choice above succeeded and is itself a sign of life; from there on there is none
	assert.False(t, chosen(silence+1100*time.Millisecond))
	w.ReportProgress(w.now.Add(silence+1200*time.Millisecond), dark.Reservation)
	known := w.endpoints[dark.Endpoint.ID]
	assert.Zero(t, known.overdue(w.now.Add(silence+1210*time.Millisecond)), "it goes on")
}
