package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rowanlink/serving/attempt"
	"rowanlink/serving/state"
	"rowanlink/serving/subscription"
)

func TestWindow_Invariants(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		w := newFixture(t, "e1", modelEndpoints("e1", 2)...)
		var reservations []Reservation
		for range 300 {
			w.now = w.now.Add(time.Duration(rapid.IntRange(0, 100).Draw(r, "ms")) * time.Millisecond)
			if len(reservations) > 0 && rapid.Bool().Draw(r, "end") {
				outcome := attempt.Outcome(rapid.IntRange(0, 7).Draw(r, "outcome"))
				if outcome != attempt.Misdirected {
					w.ReportOutcome(w.now, reservations[0], outcome)
					reservations = reservations[1:]
				}
				continue
			}
			choice, decision := w.Pick(w.now, w.request("urgent", rapid.IntRange(0, 9).Draw(r, "subject")))
			if decision.Kind == Picked {
				reservations = append(reservations, choice.Reservation)
				e := choice.Reservation.call.endpoint
				assert.LessOrEqual(r, e.inFlight, e.concurrencyLimit(w.now))
				assert.False(r, w.now.Before(e.health.backoffUntil), "a backoff delays every call")
			}
			for _, e := range w.endpoints {
				assert.GreaterOrEqual(r, e.window, 1.0)
				assert.LessOrEqual(r, e.window, 0.75*128)
				assert.GreaterOrEqual(r, e.inFlight, 0)
				assert.GreaterOrEqual(r, e.backlogBefore(priorityLevels-1), 0)
			}
		}
	})
}

// TestWindow_AllProxiesTogetherStartWithinTheSlots: before anything is known of an endpoint, the proxies of its region
// together send it no more than it has slots for.
func TestWindow_AllProxiesTogetherStartWithinTheSlots(t *testing.T) {
	for _, proxies := range []int{1, 2, 7, 30, 200} {
		w := newFixture(t, "e1")
		w.snapshot.Proxies = subscription.ProxyCounts{Live: 2 * proxies, MaxRunning: 2 * proxies, LiveInRegion: proxies}
		w.snapshot.Endpoints = modelEndpoints("e1", 1)
		w.update()
		sent := w.endpoints["e1-0"].concurrencyLimit(w.now)
		assert.GreaterOrEqual(t, sent, 1)
		assert.LessOrEqual(t, proxies*sent, max(128, proxies))
		assert.Greater(t, proxies*(sent+1), 96, "and not much less than windows may use")
	}
}

func TestWindow_GrowsByOneAndHalvesOncePerBurst(t *testing.T) {
	w := newFixture(t, "e1", modelEndpoints("e1", 1)...)
	e := w.endpoints["e1-0"]
	first := e.window
	var reservations []Reservation
	for range 10 {
		choice, decision := w.Pick(w.now, w.request("review", 1))
		require.Equal(t, Picked, decision.Kind)
		reservations = append(reservations, choice.Reservation)
	}
	w.now = w.now.Add(time.Second)
	w.ReportOutcome(w.now, reservations[0], attempt.Succeeded)
	w.ReportOutcome(w.now, reservations[0], attempt.Succeeded) // the second report is ignored
	assert.Equal(t, first+1, e.window)
	for _, reservation := range reservations[1:] {
		w.ReportOutcome(w.now, reservation, attempt.Rejected)
	}
	assert.Equal(t, (first+1)/2, e.window)
	assert.Equal(t, 0, e.inFlight)
}

// TestWindow_FullWindowWaitsWithinQueueTime: six seconds of the client's time less one for another attempt elsewhere.
func TestWindow_FullWindowWaitsWithinQueueTime(t *testing.T) {
	w := newFixture(t, "e1", plainEndpoints("plain", "e1", "e2")...)
	request := w.request("plain", 0)
	for {
		if _, decision := w.Pick(w.now, request); decision.Kind != Picked {
			break
		}
	}
	_, decision := w.Pick(w.now, request)
	assert.Equal(t, Wait, decision.Kind)
	assert.LessOrEqual(t, decision.Delay, 40*time.Millisecond)
	request.QueuedFor = 4990 * time.Millisecond
	request.TimeLeft = 1010 * time.Millisecond
	_, decision = w.Pick(w.now, request)
	assert.Equal(t, Wait, decision.Kind)
	request.QueuedFor = 4999 * time.Millisecond
	request.TimeLeft = 1001 * time.Millisecond
	_, decision = w.Pick(w.now, request)
	assert.Equal(t, Reject, decision.Kind)
	assert.LessOrEqual(t, decision.Delay, time.Second)
}

func TestPick_LowerPriorityYields(t *testing.T) {
	w := newFixture(t, "e1", modelEndpoints("e1", 1)...)
	w.endpoints["e1-0"].window = 1
	first, decision := w.Pick(w.now, w.request("urgent", 1))
	require.Equal(t, Picked, decision.Kind)
	_, decision = w.Pick(w.now, w.request("urgent", 1))
	require.Equal(t, Wait, decision.Kind)
	w.ReportOutcome(w.now, first.Reservation, attempt.Succeeded)
	_, decision = w.Pick(w.now, w.request("review", 1))
	assert.Equal(t, Wait, decision.Kind, "a request of higher priority waits")
	_, decision = w.Pick(w.now, w.request("urgent", 1))
	assert.Equal(t, Picked, decision.Kind)
}

func TestEjection_OneProbeAtATime(t *testing.T) {
	w := newFixture(t, "e1", modelEndpoints("e1", 4)...)
	e := w.endpoints["e1-0"]
	for range ejectionThreshold {
		for w.now.Before(e.health.backoffUntil) {
			w.now = w.now.Add(10 * time.Millisecond)
		}
		w.now = w.now.Add(time.Millisecond)
		w.applyOutcome(w.now, &call{endpoint: e, sentAt: w.now}, attempt.Failed)
	}
	assert.True(t, e.health.isEjected())
	assert.Equal(t, []state.Observation{{EndpointID: e.info.ID, Failures: ejectionThreshold}}, w.TakeObservations())
	assert.Empty(t, w.TakeObservations())

	w.now = e.health.backoffUntil.Add(time.Millisecond)
	for index := 1; index < 4; index++ { // leaves only the ejected endpoint
		w.snapshot.Endpoints[index].State = state.EndpointDraining
	}
	w.update()
	e.service.majorityEjected = false
	probe, decision := w.Pick(w.now, w.request("urgent", 1))
	require.Equal(t, Picked, decision.Kind)
	_, decision = w.Pick(w.now, w.request("urgent", 1))
	assert.Equal(t, Wait, decision.Kind, "one probe at a time")
	w.ReportOutcome(w.now, probe.Reservation, attempt.Succeeded)
	assert.False(t, e.health.isEjected())
	assert.Empty(t, w.TakeObservations(), "a success is not reported: the ejection expires by itself")
}

func TestEjection_MajorityHasShortBackoff(t *testing.T) {
	w := newFixture(t, "e1", modelEndpoints("e1", 2)...)
	for range 400 {
		choice, decision := w.Pick(w.now, w.request("urgent", 1))
		if decision.Kind == Picked {
			w.ReportOutcome(w.now.Add(time.Millisecond), choice.Reservation, attempt.ConnectFailed)
		}
		w.now = w.now.Add(20 * time.Millisecond)
	}
	for _, e := range w.endpoints {
		assert.True(t, e.health.isEjected())
		assert.LessOrEqual(t, e.health.backoffUntil.Sub(w.now), maxMajorityBackoff)
	}
}

func TestOutcome_OwnConnectionLimitIsNoFailure(t *testing.T) {
	w := newFixture(t, "e1", modelEndpoints("e1", 1)...)
	e := w.endpoints["e1-0"]
	window, health := e.window, e.health
	choice, decision := w.Pick(w.now, w.request("review", 1))
	require.Equal(t, Picked, decision.Kind)
	w.ReportOutcome(w.now, choice.Reservation, attempt.AtConnectionLimit)
	assert.Equal(t, window, e.window)
	assert.Equal(t, health, e.health)
	assert.Zero(t, e.inFlight, "the slot is free again")
	assert.Empty(t, w.TakeObservations())
}
