package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rowanlink/serving/attempt"
)

// TestRetryAfter_LeavesTimeForACall: whatever a client is told, it can return by then and still be served, if it had the
// time for a call at all. The latency target plays no part.
func TestRetryAfter_LeavesTimeForACall(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		w, taken := singleSlot(t)
		callTime := time.Duration(rapid.IntRange(10, 800).Draw(r, "call")) * time.Millisecond
		for range 20 {
			w.now = w.now.Add(callTime)
			w.ReportOutcome(w.now, taken, attempt.Succeeded)
			taken = w.takeAllSlots("plain")[0]
		}
		w.now = w.now.Add(time.Duration(rapid.IntRange(0, 800).Draw(r, "elapsed")) * time.Millisecond)
		request := withTarget(w.request("plain", 0), time.Duration(rapid.IntRange(1, 3000).Draw(r, "target"))*time.Millisecond)
		request.TimeLeft = time.Duration(rapid.IntRange(1, 6000).Draw(r, "left")) * time.Millisecond
		for range rapid.IntRange(0, 40).Draw(r, "waiting") {
			_, decision := w.Pick(w.now, request)
			if decision.Kind == Reject {
				break
			}
		}
		_, decision := w.Pick(w.now, request)
		told := w.RetryAfter(w.now, request)
		if decision.Kind == Reject {
			told = decision.Delay
		}
		usual := w.services["plain"].callTime(w.now)
		assert.LessOrEqual(r, told, max(request.TimeLeft-usual-sameZoneLatency, 0))
		assert.GreaterOrEqual(r, told, time.Duration(0))
	})
}

// TestRetryAfter_ThenThereIsRoom: a request that was rejected because too many wait before it gets its slot in time if it
// returns when it was told to, within the third of its time for which clients honor that.
func TestRetryAfter_ThenThereIsRoom(t *testing.T) {
	const callTime = 200 * time.Millisecond
	w, taken := singleSlot(t)
	for range 30 {
		w.now = w.now.Add(callTime)
		w.ReportOutcome(w.now, taken, attempt.Succeeded)
		taken = w.takeAllSlots("plain")[0]
	}
	request := w.request("plain", 0)
	request.TimeLeft = 3 * time.Second
	var waiting []Request
	for {
		next := request
		_, decision := w.Pick(w.now, next)
		if decision.Kind == Reject {
			request.TimeLeft -= min(decision.Delay, request.TimeLeft/3)
			assert.Greater(t, decision.Delay, callTime, "several calls come first")
			break
		}
		next.Ticket = decision.Ticket
		waiting = append(waiting, next)
	}
	end := w.now.Add(time.Second)
	for w.now.Before(end) {
		w.now = w.now.Add(callTime)
		w.ReportOutcome(w.now, taken, attempt.Succeeded)
		choice, decision := w.Pick(w.now, waiting[0])
		require.Equal(t, Picked, decision.Kind)
		taken, waiting = choice.Reservation, waiting[1:]
		for _, other := range waiting {
			_, decision = w.Pick(w.now, other)
			require.Equal(t, Wait, decision.Kind)
		}
	}
	_, decision := w.Pick(w.now, request)
	assert.Equal(t, Wait, decision.Kind, "it will be served in time")
}

// TestRetryAfter_EndOfBackoff: after rejections by all endpoints, clients are told to return when the first of them is
// sent requests again.
func TestRetryAfter_EndOfBackoff(t *testing.T) {
	w := newFixture(t, "e1", plainEndpoints("plain", "e1", "e2")...)
	request := w.request("plain", 0)
	for range 2 {
		choice, decision := w.Pick(w.now, request)
		require.Equal(t, Picked, decision.Kind)
		w.ReportOutcome(w.now, choice.Reservation, attempt.Rejected)
		request.TriedEndpoints = append(request.TriedEndpoints, choice.Endpoint.ID)
	}
	first := min(w.endpoints["plain-0"].health.backoffUntil.Sub(w.now), w.endpoints["plain-1"].health.backoffUntil.Sub(w.now))
	require.Positive(t, first)
	told := w.RetryAfter(w.now, request)
	assert.GreaterOrEqual(t, told, first)
	assert.LessOrEqual(t, told, 2*first)
}
