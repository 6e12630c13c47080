package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/attempt"
	"rowanlink/serving/state"
)

func TestEstimate_UsesFreshLoadReports(t *testing.T) {
	w := newFixture(t, "e1", modelEndpoints("e1", 3)...)
	request := w.request("review", 1)
	first, _ := w.Pick(w.now, request)
	w.ReportOutcome(w.now, first.Reservation, attempt.Succeeded)
	w.snapshot.Loads = []state.Load{{EndpointID: first.Endpoint.ID, Queued: 60, CacheTotal: 180_000, Measurement: 1}}
	w.update()
	second, decision := w.Pick(w.now, request)
	require.Equal(t, Picked, decision.Kind)
	assert.NotEqual(t, first.Endpoint.ID, second.Endpoint.ID, "its queueing delay exceeds the time saved by the cached prefix")
	w.ReportOutcome(w.now, second.Reservation, attempt.Succeeded)
	w.now = w.now.Add(loadReportTTL + time.Millisecond)
	third, _ := w.Pick(w.now, request)
	assert.Contains(t, []string{first.Endpoint.ID, second.Endpoint.ID}, third.Endpoint.ID, "the report has expired")
}

func TestEstimate_GrowsWithPrefillBacklog(t *testing.T) {
	w := newFixture(t, "e1", modelEndpoints("e1", 1)...)
	var expected []time.Duration
	var reservations []Reservation
	for subject := range 5 {
		choice, _ := w.Pick(w.now, w.request("review", subject))
		expected = append(expected, choice.ExpectedFirstByte)
		reservations = append(reservations, choice.Reservation)
	}
	assert.IsIncreasing(t, expected)
	urgent, _ := w.Pick(w.now, w.request("urgent", 6))
	assert.Less(t, urgent.ExpectedFirstByte, expected[2], "higher priorities are prefilled first")
	for _, reservation := range reservations {
		w.ReportProgress(w.now, reservation)
	}
	idle, _ := w.Pick(w.now, w.request("review", 7))
	assert.Less(t, idle.ExpectedFirstByte, expected[4])
}

func TestPick_RejectsWhenQueueDelayExceedsTimeLeft(t *testing.T) {
	w := newFixture(t, "e1", modelEndpoints("e1", 1)...)
	for subject := range 20 {
		_, decision := w.Pick(w.now, w.request("review", subject))
		require.Equal(t, Picked, decision.Kind)
	}
	short := w.request("review", 1)
	short.TimeLeft = time.Second
	_, decision := w.Pick(w.now, short)
	assert.Equal(t, Reject, decision.Kind)
	assert.Positive(t, decision.Delay)
	_, decision = w.Pick(w.now, w.request("review", 1))
	assert.Equal(t, Picked, decision.Kind, "enough time is left")
}

func TestOutcome_HangOnEveryCallEjectsEndpoint(t *testing.T) {
	w := newFixture(t, "e1", modelEndpoints("e1", 3)...)
	choice, _ := w.Pick(w.now, w.request("review", 1))
	e := choice.Reservation.call.endpoint
	w.now = w.now.Add(800 * time.Millisecond)
	other, _ := w.Pick(w.now, w.request("review", 1))
	assert.NotEqual(t, choice.Endpoint.ID, other.Endpoint.ID, "overdue")
	w.now = w.now.Add(4 * time.Second)
	w.ReportOutcome(w.now, choice.Reservation, attempt.Canceled)
	assert.True(t, e.health.isEjected())
	assert.True(t, w.now.Before(e.health.backoffUntil))
}

func TestOutcome_CanceledCallWithFirstByteIsNoFailure(t *testing.T) {
	w := newFixture(t, "e1", modelEndpoints("e1", 1)...)
	choice, _ := w.Pick(w.now, w.request("review", 1))
	w.ReportProgress(w.now.Add(time.Second), choice.Reservation)
	w.ReportOutcome(w.now.Add(20*time.Second), choice.Reservation, attempt.Canceled)
	e := choice.Reservation.call.endpoint
	assert.Zero(t, e.health.consecutiveFailures)
	assert.Zero(t, e.health.failureRate)
}

func TestOutcome_RejectionOfOversizedRequestIsNoSignOfLoad(t *testing.T) {
	w := newFixture(t, "e1", modelEndpoints("e1", 1)...)
	request := w.request("review", 1)
	request.PromptTokens = 200_000
	request.TimeLeft = 10 * time.Second // prefilling it takes nearly seven
	choice, _ := w.Pick(w.now, request)
	e := choice.Reservation.call.endpoint
	window := e.window
	w.ReportOutcome(w.now.Add(time.Millisecond), choice.Reservation, attempt.Rejected)
	assert.Equal(t, window, e.window)
	assert.False(t, w.now.Before(e.health.backoffUntil))
}

func TestPrefixOwner_IsNotWarmingUp(t *testing.T) {
	w := newFixture(t, "e1", modelEndpoints("e1", 3)...)
	request := w.request("review", 1)
	first, _ := w.Pick(w.now, request)
	w.ReportOutcome(w.now, first.Reservation, attempt.Succeeded)
	for index := range w.snapshot.Endpoints {
		if info := &w.snapshot.Endpoints[index]; info.ID == first.Endpoint.ID {
			info.Sequence, info.WarmupLeftMillis = 2, 60_000
		}
	}
	w.update()
	callsByID := map[string]int{}
	for range 10 {
		choice, _ := w.Pick(w.now, w.request("review", 1))
		w.ReportOutcome(w.now, choice.Reservation, attempt.Succeeded)
		callsByID[choice.Endpoint.ID]++
		w.endpoints[first.Endpoint.ID].prefixCache.clear()
	}
	assert.Zero(t, callsByID[first.Endpoint.ID])
	assert.Len(t, callsByID, 1, "one endpoint replaces it")
}

func TestPick_PlainServiceLeastLoaded(t *testing.T) {
	w := newFixture(t, "e1", plainEndpoints("plain", "e1", "e2", "w1")...)
	callsByZone := map[string]int{}
	for range 4 {
		choice, decision := w.Pick(w.now, w.request("plain", 0))
		require.Equal(t, Picked, decision.Kind)
		callsByZone[choice.Endpoint.Zone]++
	}
	assert.Equal(t, map[string]int{"e1": 2, "e2": 2}, callsByZone)
}

// TestEstimate_RecomputedBlocksCostOtherClientsTime: shared blocks that are prefilled at another endpoint too cost as
// much as the time by which they delay others: each client that waits there, and one whose cached blocks they displace.
func TestEstimate_RecomputedBlocksCostOtherClientsTime(t *testing.T) {
	w := newFixture(t, "e1", modelEndpoints("e1", 1)...)
	e := w.endpoints["e1-0"]
	added := func() time.Duration {
		request := w.request("review", 9)
		s := w.newSearch(w.now, e.service, &request)
		w.prepareSearch(&s)
		return w.estimateCost(&s, e, false).cost - w.estimateCost(&s, e, true).cost
	}
	prefill := e.service.prefillTime(2500 + 3800) // in the request's own time to first byte
	assert.InDelta(t, 2*prefill, added(), float64(maxCostJitter))
	for subject := range 2 {
		_, decision := w.Pick(w.now, w.request("urgent", 4*subject)) // shares no block with the request
		require.Equal(t, Picked, decision.Kind)
	}
	assert.InDelta(t, 4*prefill, added(), float64(maxCostJitter))
}
