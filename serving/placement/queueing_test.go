package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rowanlink/serving/attempt"
)

// takeAllSlots fills the concurrency windows of a service's endpoints.
func (w *pickerFixture) takeAllSlots(route string) (reservations []Reservation) {
	for {
		choice, decision := w.Pick(w.now, w.request(route, 0))
		if decision.Kind != Picked {
			decision.Ticket.search.service.queue.remove(decision.Ticket) // this request waits no longer
			return reservations
		}
		reservations = append(reservations, choice.Reservation)
	}
}

// queueUntil calls Pick as a proxy does, until the request is picked or rejected. It returns how long that took. each is
// called before each Pick with the time since the request arrived.
func (w *pickerFixture) queueUntil(request Request, each func(time.Duration)) (time.Duration, Decision) {
	arrivedAt, timeLeft := w.now, request.TimeLeft
	for {
		request.QueuedFor = w.now.Sub(arrivedAt)
		request.TimeLeft = timeLeft - request.QueuedFor
		if each != nil {
			each(request.QueuedFor)
		}
		_, decision := w.Pick(w.now, request)
		if decision.Kind != Wait {
			return request.QueuedFor, decision
		}
		w.now = w.now.Add(decision.Delay)
		request.Waited, request.Ticket = true, decision.Ticket
	}
}

// withTarget returns the request on a copy of its route with another latency target.
func withTarget(request Request, target time.Duration) Request {
	route := *request.Route
	route.LatencyTarget = target
	request.Route = &route
	return request
}

// TestQueueTime_FollowsFromTheClientsTime: while every slot is taken, a request with the same time left waits as long
// whatever its route's latency target, and whether this is its first attempt, a retry or a resumed stream. It is
// rejected while the client has time to be served elsewhere.
func TestQueueTime_FollowsFromTheClientsTime(t *testing.T) {
	attempts := map[string]func(*Request){
		"first attempt":  func(*Request) {},
		"retry":          func(r *Request) { r.TriedEndpoints = []string{"plain-1"} },
		"resumed stream": func(r *Request) { r.Resumed = true },
	}
	for _, timeLeft := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 6 * time.Second} {
		for _, target := range []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, time.Second, 3 * time.Second} {
			for name, prepare := range attempts {
				t.Run(fmt.Sprint(timeLeft, " left, target ", target, ", ", name), func(t *testing.T) {
					w := newFixture(t, "e1", plainEndpoints("plain", "e1", "e2")...)
					w.takeAllSlots("plain")
					request := withTarget(w.request("plain", 0), target)
					request.TimeLeft = timeLeft
					prepare(&request)
					queued, decision := w.queueUntil(request, nil)
					assert.Equal(t, Reject, decision.Kind)
					end := timeLeft - min(time.Second, timeLeft/3) - sameZoneLatency
					assert.InDelta(t, end, queued, float64(minPollInterval))
				})
			}
		}
	}
}

// TestQueueTime_FreedSlotIsUsed: a slot that becomes free while the client still waits serves it.
func TestQueueTime_FreedSlotIsUsed(t *testing.T) {
	for _, tried := range [][]string{nil, {"plain-1"}} {
		w := newFixture(t, "e1", plainEndpoints("plain", "e1", "e2")...)
		taken := w.takeAllSlots("plain")
		const freedAfter = 800 * time.Millisecond
		request := withTarget(w.request("plain", 0), 200*time.Millisecond)
		request.TriedEndpoints = tried
		queued, decision := w.queueUntil(request, func(queued time.Duration) {
			if queued >= freedAfter {
				w.ReportOutcome(w.now, taken[0], attempt.Succeeded)
			}
		})
		assert.Equal(t, Picked, decision.Kind)
		assert.InDelta(t, freedAfter, queued, float64(2*slotPollInterval))
	}
}

// TestQueueTime_GrowsWithTheTimeLeft: a client with more time is never turned away earlier.
func TestQueueTime_GrowsWithTheTimeLeft(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		queueTime := func(timeLeft int) time.Duration {
			w := newFixture(t, "e1", plainEndpoints("plain", "e1")...)
			w.takeAllSlots("plain")
			request := w.request("plain", 0)
			request.TimeLeft = time.Duration(timeLeft) * time.Millisecond
			queued, decision := w.queueUntil(request, nil)
			require.Equal(r, Reject, decision.Kind)
			return queued
		}
		less := rapid.IntRange(1, 8000).Draw(r, "less")
		more := rapid.IntRange(less, 8000).Draw(r, "more")
		assert.LessOrEqual(r, queueTime(less), queueTime(more)+minPollInterval)
	})
}

// TestQueueTime_CallThatEndsTooLate: a request whose call would take longer than its client waits is rejected at once,
// even if a slot is about to become free.
func TestQueueTime_CallThatEndsTooLate(t *testing.T) {
	w := newFixture(t, "e1", plainEndpoints("plain", "e1")...)
	for range 50 {
		choice, decision := w.Pick(w.now, w.request("plain", 0))
		require.Equal(t, Picked, decision.Kind)
		w.now = w.now.Add(400 * time.Millisecond)
		w.ReportOutcome(w.now, choice.Reservation, attempt.Succeeded)
	}
	w.takeAllSlots("plain")
	request := w.request("plain", 0)
	request.TimeLeft = 300 * time.Millisecond
	queued, decision := w.queueUntil(request, nil)
	assert.Equal(t, Reject, decision.Kind)
	assert.Zero(t, queued)
}

// TestPick_LowerPriorityYieldsToTheEnd: a request of lower priority leaves a free slot to one of higher priority that
// waits, for as long as it can wait itself.
func TestPick_LowerPriorityYieldsToTheEnd(t *testing.T) {
	w := newFixture(t, "e1", modelEndpoints("e1", 1)...)
	w.endpoints["e1-0"].window = 1
	first, decision := w.Pick(w.now, w.request("urgent", 1))
	require.Equal(t, Picked, decision.Kind)
	_, decision = w.Pick(w.now, w.request("urgent", 1))
	require.Equal(t, Wait, decision.Kind)
	w.ReportOutcome(w.now, first.Reservation, attempt.Succeeded)
	last := w.request("review", 1)
	last.QueuedFor = 4200 * time.Millisecond
	last.TimeLeft = 1800 * time.Millisecond
	_, decision = w.Pick(w.now, last)
	assert.Equal(t, Wait, decision.Kind)
	last.TimeLeft = 500 * time.Millisecond
	_, decision = w.Pick(w.now, last)
	assert.Equal(t, Reject, decision.Kind, "its client needs the time that is left to be served elsewhere")
}
