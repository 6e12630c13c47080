package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/attempt"
	"rowanlink/serving/state"
)

// TestZone_IsAvoidedAfterThreeUnresponsiveEndpoints: if a whole zone fails, a proxy avoids it without having tried each
// of its many endpoints. The suspicion ends when an endpoint of the zone shows activity, and after zoneSuspicionTTL.
func TestZone_IsAvoidedAfterThreeUnresponsiveEndpoints(t *testing.T) {
	endpoints := append(modelEndpoints("e1", 20), modelEndpoints("e2", 20)...)
	inFailedZone := func(choice Choice) bool { return choice.Endpoint.Zone == "e1" }
	// sendRequests sends requests with distinct prompts, fails those that go to the failed zone, and counts them.
	sendRequests := func(w *pickerFixture, from, count int) (failed int) {
		for number := range count {
			choice, decision := w.Pick(w.now, w.request("review", from+number))
			require.Equal(t, Picked, decision.Kind)
			outcome := attempt.Succeeded
			if inFailedZone(choice) {
				outcome = attempt.ConnectFailed
				failed++
			}
			w.ReportOutcome(w.now, choice.Reservation, outcome)
		}
		return failed
	}
	w := newFixture(t, "e1", endpoints...)
	failed := sendRequests(w, 0, 200)
	assert.LessOrEqual(t, failed, 2*zoneSuspectThreshold)
	assert.Positive(t, failed)

	w.now = w.now.Add(zoneSuspicionTTL + time.Second)
	failedAgain := sendRequests(w, 200, 200)
	assert.Positive(t, failedAgain, "after a while the zone is tried again")
	assert.LessOrEqual(t, failedAgain, 2*zoneSuspectThreshold)

	w.now = w.now.Add(zoneSuspicionTTL + time.Second)
	choice, decision := w.Pick(w.now, w.request("review", 400))
	require.Equal(t, Picked, decision.Kind)
	for tried := 0; !inFailedZone(choice) && tried < 100; tried++ {
		w.ReportOutcome(w.now, choice.Reservation, attempt.Succeeded)
		choice, _ = w.Pick(w.now, w.request("review", 401+tried))
	}
	require.True(t, inFailedZone(choice))
	w.ReportOutcome(w.now, choice.Reservation, attempt.Succeeded)
	assert.False(t, w.ensureZone("e1").isSuspect(w.now), "it responds again")
}

// TestZone_ActivityEndsSuspicion: one endpoint that responds shows that the zone is up.
func TestZone_ActivityEndsSuspicion(t *testing.T) {
	now := time.Unix(1000, 0)
	var z zone
	healthy := &endpoint{zone: &z}
	failing := []*endpoint{{info: state.Endpoint{ID: "a"}}, {info: state.Endpoint{ID: "b"}}, {info: state.Endpoint{ID: "c"}}}
	for range 5 {
		for _, e := range failing {
			z.recordUnresponsive(now, e)
			z.recordUnresponsive(now, e)
			healthy.recordActivity(now)
			assert.False(t, z.isSuspect(now))
		}
	}
	for index, e := range failing {
		assert.False(t, z.isSuspect(now), "after %d", index)
		z.recordUnresponsive(now, e)
	}
	assert.True(t, z.isSuspect(now.Add(zoneSuspicionTTL)))
	assert.False(t, z.isSuspect(now.Add(zoneSuspicionTTL+1)))
	z.recordUnresponsive(now.Add(2*zoneSuspicionTTL), failing[0])
	assert.False(t, z.isSuspect(now.Add(2*zoneSuspicionTTL)), "expired observations don't count")
}
