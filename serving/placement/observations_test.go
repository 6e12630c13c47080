package placement

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/serving/attempt"
	"rowanlink/serving/state"
)

// TestOutcomesThatAreTold: what an endpoint refuses or a client ends says nothing of its health.
func TestOutcomesThatAreTold(t *testing.T) {
	for outcome, told := range map[attempt.Outcome]bool{
		attempt.Succeeded: false, attempt.Rejected: false, attempt.Canceled: false, attempt.Misdirected: false,
		attempt.Failed: true, attempt.Broken: true, attempt.ConnectFailed: true, attempt.TimedOut: true,
	} {
		w := newWorld(t, "e1", modelEndpoints("e1", 4)...)
		w.applyOutcome(w.now, &call{endpoint: w.endpoints["e1-0"], sentAt: w.now}, outcome)
		some, urgent := w.PendingObservations()
		assert.Equal(t, told, some, outcome)
		assert.False(t, urgent)
		assert.Equal(t, told, len(w.TakeObservations()) == 1, outcome)
		assert.Empty(t, w.TakeObservations(), "each is told once")
	}
}

func TestUnacknowledgedEndpointsArePutAsideAndTold(t *testing.T) {
	w := newWorld(t, "e1", modelEndpoints("e1", 4)...)
	w.ReportUnacknowledged(w.now, []string{"e1-0", "unknown"})
	assert.False(t, w.endpoints["e1-0"].health.isEjected(), "two of no calls in flight: the own link")
	for _, e := range w.endpoints {
		e.inFlight = 1
	}
	w.ReportUnacknowledged(w.now, []string{"e1-0"})
	assert.True(t, w.endpoints["e1-0"].health.isEjected())
	_, urgent := w.PendingObservations()
	assert.True(t, urgent)
	w.ReportUnacknowledged(w.now, []string{"e1-0"})
	assert.Equal(t, []state.Observation{{EndpointID: "e1-0", Unacknowledged: true}}, w.TakeObservations())
	w.ReportUnacknowledged(w.now, []string{"e1-0"})
	assert.Empty(t, w.TakeObservations(), "known already")
}

// TestFailingEndpointsAreAvoided: others have told that calls of an endpoint fail.
func TestFailingEndpointsAreAvoided(t *testing.T) {
	w := newWorld(t, "e1", modelEndpoints("e1", 4)...)
	w.view.Endpoints[0].Failing = true
	w.tell()
	for range 20 {
		choice, verdict := w.Pick(w.now, w.request("urgent", 1))
		assert.Equal(t, Picked, verdict.Kind)
		assert.NotEqual(t, w.view.Endpoints[0].ID, choice.Endpoint.ID)
	}
	for index := range w.view.Endpoints {
		w.view.Endpoints[index].Failing = true
	}
	w.tell()
	assert.False(t, w.endpoints["e1-0"].isSuspect(), "where all fail the cause is elsewhere")
}
