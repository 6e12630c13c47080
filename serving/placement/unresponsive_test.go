package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestOverdue_StreamWithoutEvents: an endpoint whose streams stop in the middle is avoided before a new request has
// timed out there, and used again when the streams continue.
func TestOverdue_StreamWithoutEvents(t *testing.T) {
	w := newFixture(t, "e1", modelEndpoints("e1", 2)...)
	request := w.request("review", 1)
	hanging, decision := w.Pick(w.now, request)
	require.Equal(t, Picked, decision.Kind)
	w.ReportProgress(w.now.Add(200*time.Millisecond), hanging.Reservation)
	chosen := func(after time.Duration) bool {
		choice, decision := w.Pick(w.now.Add(after), request)
		require.Equal(t, Picked, decision.Kind)
		w.ReportOutcome(w.now.Add(after), choice.Reservation, 0)
		return choice.Endpoint.ID == hanging.Endpoint.ID
	}
	for step := range 20 { // events arrive
		at := time.Duration(250+50*step) * time.Millisecond
		w.ReportProgress(w.now.Add(at), hanging.Reservation)
		assert.True(t, chosen(at), "the owner of the prompt's blocks")
	}
	gap := 1200 * time.Millisecond
	assert.True(t, chosen(gap+200*time.Millisecond), "other prompts are prefilled in between")
	// the last activity is the success of the call above
	assert.False(t, chosen(gap+1100*time.Millisecond))
	w.ReportProgress(w.now.Add(gap+1200*time.Millisecond), hanging.Reservation)
	known := w.endpoints[hanging.Endpoint.ID]
	assert.Zero(t, known.overdue(w.now.Add(gap+1210*time.Millisecond)), "the stream continues")
}
