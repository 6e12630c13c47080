package placement

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/serving/attempt"
	"rowanlink/serving/state"
)

// TestObservations_ReportFailuresOnly: rejections and canceled calls are no sign of an endpoint's health.
func TestObservations_ReportFailuresOnly(t *testing.T) {
	for outcome, reported := range map[attempt.Outcome]bool{
		attempt.Succeeded: false, attempt.Rejected: false, attempt.Canceled: false, attempt.Misdirected: false,
		attempt.Failed: true, attempt.Broken: true, attempt.ConnectFailed: true, attempt.TimedOut: true,
	} {
		w := newFixture(t, "e1", modelEndpoints("e1", 4)...)
		w.applyOutcome(w.now, &call{endpoint: w.endpoints["e1-0"], sentAt: w.now}, outcome)
		pending, urgent := w.PendingObservations()
		assert.Equal(t, reported, pending, outcome)
		assert.False(t, urgent)
		assert.Equal(t, reported, len(w.TakeObservations()) == 1, outcome)
		assert.Empty(t, w.TakeObservations(), "each is reported once")
	}
}

func TestReportUnacknowledged_EjectsAndReportsUrgently(t *testing.T) {
	w := newFixture(t, "e1", modelEndpoints("e1", 4)...)
	w.ReportUnacknowledged(w.now, []string{"e1-0", "unknown"})
	assert.False(t, w.endpoints["e1-0"].health.isEjected(), "more than half of the endpoints in use: the cause is this machine's own link")
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
	assert.Empty(t, w.TakeObservations(), "reported already")
}

// TestPick_AvoidsEndpointsReportedAsFailing: other proxies have reported that calls to an endpoint fail.
func TestPick_AvoidsEndpointsReportedAsFailing(t *testing.T) {
	w := newFixture(t, "e1", modelEndpoints("e1", 4)...)
	w.snapshot.Endpoints[0].Failing = true
	w.update()
	for range 20 {
		choice, decision := w.Pick(w.now, w.request("urgent", 1))
		assert.Equal(t, Picked, decision.Kind)
		assert.NotEqual(t, w.snapshot.Endpoints[0].ID, choice.Endpoint.ID)
	}
	for index := range w.snapshot.Endpoints {
		w.snapshot.Endpoints[index].Failing = true
	}
	w.update()
	assert.False(t, w.endpoints["e1-0"].isSuspect(), "if most are reported as failing, the reports are ignored")
}
