package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/attempt"
	"rowanlink/serving/state"
)

// TestPick_PromptThatCannotBePrefilledInTime: prefilling 9,000 tokens takes 300 ms at the initial rate. The prompt isn't
// sent for a client that waits 100 ms.
func TestPick_PromptThatCannotBePrefilledInTime(t *testing.T) {
	w := newFixture(t, "e1", modelEndpoints("e1", 2)...)
	request := w.request("review", 1)
	request.Blocks, request.PromptTokens = []PrefixBlock{{"long", 9000}}, 9000
	request.TimeLeft = 100 * time.Millisecond
	_, decision := w.Pick(w.now, request)
	assert.Equal(t, Reject, decision.Kind)
	request.TimeLeft = 500 * time.Millisecond
	_, decision = w.Pick(w.now, request)
	assert.Equal(t, Picked, decision.Kind)
}

// afterResponses returns a fixture after responses of the route "urgent" that took the given time for a limit of 400
// tokens.
func afterResponses(t *testing.T, output time.Duration) *pickerFixture {
	w := newFixture(t, "e1", modelEndpoints("e1", 1)...)
	for subject := range 40 {
		request := w.shortRequest("urgent", subject)
		request.TimeLeft, request.MaxOutputTokens = time.Minute, 400
		choice, decision := w.Pick(w.now, request)
		require.Equal(t, Picked, decision.Kind)
		w.now = w.now.Add(150 * time.Millisecond)
		w.ReportProgress(w.now, choice.Reservation)
		w.ReportOutcome(w.now.Add(output), choice.Reservation, attempt.Succeeded)
	}
	w.now = w.now.Add(output)
	return w
}

// TestPick_OutputCountsAsWork: where responses of 400 tokens take four seconds, a request for one isn't sent for a client
// that waits two. One that continues a stream of which 300 tokens have been sent is.
func TestPick_OutputCountsAsWork(t *testing.T) {
	w := afterResponses(t, 4*time.Second)
	request := w.shortRequest("urgent", 1)
	request.TimeLeft, request.MaxOutputTokens = 2*time.Second, 400
	_, decision := w.Pick(w.now, request)
	assert.Equal(t, Reject, decision.Kind)
	request.MaxOutputTokens, request.Resumed = 100, true
	_, decision = w.Pick(w.now, request)
	assert.Equal(t, Picked, decision.Kind)
}

// TestPick_HighTokenLimitIsNotTheExpectedOutput: a client that sets a limit far above what responses of its route take is
// served like the others. So is the first one on a route of which nothing is known.
func TestPick_HighTokenLimitIsNotTheExpectedOutput(t *testing.T) {
	w := afterResponses(t, 500*time.Millisecond)
	for _, route := range []string{"urgent", "review"} {
		request := w.shortRequest(route, 1)
		request.TimeLeft, request.MaxOutputTokens = 2*time.Second, 40_000
		_, decision := w.Pick(w.now, request)
		assert.Equal(t, Picked, decision.Kind, route)
	}
}

// TestPick_EndpointThatIsInTime: of two endpoints, one with a long queue is passed over by a request that could not wait
// for it, even if it has the prompt cached.
func TestPick_EndpointThatIsInTime(t *testing.T) {
	w := newFixture(t, "e1", modelEndpoints("e1", 2)...)
	request := w.request("review", 1)
	owner, _ := w.Pick(w.now, request)
	w.ReportOutcome(w.now, owner.Reservation, attempt.Succeeded)
	w.snapshot.Loads = []state.Load{{EndpointID: owner.Endpoint.ID, Queued: 20, CacheTotal: 180_000, Measurement: 1}}
	w.update()
	request.TimeLeft = 600 * time.Millisecond
	choice, decision := w.Pick(w.now, request)
	require.Equal(t, Picked, decision.Kind)
	assert.NotEqual(t, owner.Endpoint.ID, choice.Endpoint.ID)
}

// TestPick_SlowServiceIsTriedAgain: a service whose calls took longer than a client waits is tried for it again some
// seconds after the last of them.
func TestPick_SlowServiceIsTriedAgain(t *testing.T) {
	w := newFixture(t, "e1", plainEndpoints("plain", "e1")...)
	for range 20 {
		choice, decision := w.Pick(w.now, w.request("plain", 0))
		require.Equal(t, Picked, decision.Kind)
		w.now = w.now.Add(time.Second)
		w.ReportOutcome(w.now, choice.Reservation, attempt.Succeeded)
	}
	request := w.request("plain", 0)
	request.TimeLeft = 300 * time.Millisecond
	_, decision := w.Pick(w.now, request)
	assert.Equal(t, Reject, decision.Kind)
	w.now = w.now.Add(3 * decayTimeConstant)
	_, decision = w.Pick(w.now, request)
	assert.Equal(t, Picked, decision.Kind)
}
