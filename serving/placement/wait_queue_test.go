package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/attempt"
	"rowanlink/serving/state"
)

// wait calls Pick for a request that has to wait, and stores its ticket.
func (w *pickerFixture) wait(t testing.TB, request *Request) {
	_, decision := w.Pick(w.now, *request)
	require.Equal(t, Wait, decision.Kind)
	require.NotNil(t, decision.Ticket)
	request.Ticket, request.Waited = decision.Ticket, true
}

// signaled reports whether the request's ticket has been signaled since the last call.
func signaled(request Request) bool {
	if request.Ticket == nil {
		return false
	}
	select {
	case <-request.Ticket.Ready():
		return true
	default:
		return false
	}
}

// singleSlot returns a fixture with one endpoint of one slot, which is taken.
func singleSlot(t testing.TB) (*pickerFixture, Reservation) {
	endpoints := plainEndpoints("plain", "e1")
	endpoints[0].Slots = 1
	w := newFixture(t, "e1", endpoints...)
	return w, w.takeAllSlots("plain")[0]
}

func TestWaitQueue_EarliestDeadlineFirst(t *testing.T) {
	w, taken := singleSlot(t)
	patient, urgent := w.request("plain", 1), w.request("plain", 2)
	urgent.TimeLeft = 3 * time.Second
	w.wait(t, &patient)
	w.wait(t, &urgent)
	w.ReportOutcome(w.now, taken, attempt.Succeeded)
	assert.True(t, signaled(urgent), "the request with less time left is told at once that a slot is free")
	assert.False(t, signaled(patient))
	w.wait(t, &patient)
	late := w.request("plain", 3)
	w.wait(t, &late)
	choice, decision := w.Pick(w.now, urgent)
	require.Equal(t, Picked, decision.Kind)
	w.ReportOutcome(w.now, choice.Reservation, attempt.Succeeded)
	assert.True(t, signaled(patient), "of requests with the same deadline, the one that asked first is the next")
	assert.False(t, signaled(late))
}

// TestWaitQueue_PrecedenceBeforeDeadline: the operator's precedence ranks before the time left and the latency target.
func TestWaitQueue_PrecedenceBeforeDeadline(t *testing.T) {
	w := newFixture(t, "e1", modelEndpoints("e1", 1)...)
	w.endpoints["e1-0"].window = 1
	taken := w.takeAllSlots("review")
	ranked, hurried := w.request("urgent", 1), w.request("review", 2)
	hurried.TimeLeft = 3 * time.Second
	hurried = withTarget(hurried, 50*time.Millisecond)
	w.wait(t, &hurried)
	w.wait(t, &ranked)
	w.ReportOutcome(w.now, taken[0], attempt.Canceled) // the window stays at one
	assert.True(t, signaled(ranked))
	assert.False(t, signaled(hurried))
	w.wait(t, &hurried)
	_, decision := w.Pick(w.now, ranked)
	assert.Equal(t, Picked, decision.Kind)
}

// TestWaitQueue_NewRequestsDoNotPass: a new request leaves a free slot to one that waits, unless there is one for both.
func TestWaitQueue_NewRequestsDoNotPass(t *testing.T) {
	w, taken := singleSlot(t)
	first := w.request("plain", 1)
	first.QueuedFor, first.TimeLeft = time.Second, 5*time.Second
	w.wait(t, &first)
	w.ReportOutcome(w.now, taken, attempt.Succeeded)
	newcomer := w.request("plain", 2)
	w.wait(t, &newcomer)
	w.snapshot.Endpoints = append(w.snapshot.Endpoints, state.Endpoint{ID: "plain-9", Service: "plain", Zone: "e1",
		Address: "10.0.1.9:80", Slots: 6, Sequence: 1})
	w.update()
	_, decision := w.Pick(w.now, newcomer)
	assert.Equal(t, Picked, decision.Kind, "slots are free for both")
}

// TestWaitQueue_OnlyForEndpointsThatTheRequestMayUse: a request of high priority that is bound to a full region holds up
// nobody in another one.
func TestWaitQueue_OnlyForEndpointsThatTheRequestMayUse(t *testing.T) {
	w := newFixture(t, "e1", append(modelEndpoints("e2", 1), modelEndpoints("w1", 1)...)...)
	w.endpoints["e2-0"].window = 1
	bound := w.request("home", 1)
	_, decision := w.Pick(w.now, bound)
	require.Equal(t, Picked, decision.Kind)
	route := *bound.Route
	route.Precedence = 0
	bound.Route = &route
	w.wait(t, &bound)
	choice, decision := w.Pick(w.now, w.request("review", 2))
	require.Equal(t, Picked, decision.Kind)
	assert.Equal(t, "w1", choice.Endpoint.Zone)
}

// TestWaitQueue_DisconnectedClientsAreForgotten: a request whose Pick isn't called any more holds up nobody.
func TestWaitQueue_DisconnectedClientsAreForgotten(t *testing.T) {
	w, taken := singleSlot(t)
	gone := w.request("plain", 1)
	w.wait(t, &gone)
	w.ReportOutcome(w.now, taken, attempt.Succeeded)
	w.now = w.now.Add(3 * slotPollInterval)
	_, decision := w.Pick(w.now, w.request("plain", 2))
	assert.Equal(t, Picked, decision.Kind)
	assert.Empty(t, w.services["plain"].queue.tickets)
}

// TestWaitQueue_CanceledWait: when a client disconnects after its request was signaled, the next one is.
func TestWaitQueue_CanceledWait(t *testing.T) {
	w, taken := singleSlot(t)
	gone, next := w.request("plain", 1), w.request("plain", 2)
	w.wait(t, &gone)
	w.wait(t, &next)
	w.ReportOutcome(w.now, taken, attempt.Succeeded)
	assert.True(t, signaled(gone))
	assert.False(t, signaled(next))
	w.CancelWait(w.now, gone.Ticket)
	assert.True(t, signaled(next))
}

// TestWaitQueue_SplitRequestStaysWithItsService: a request on a split route that waits for one service isn't drawn again
// for another one, so that the services get their shares.
func TestWaitQueue_SplitRequestStaysWithItsService(t *testing.T) {
	w := newFixture(t, "e1", append(plainEndpoints("plain", "e1"), plainEndpoints("other", "e1")...)...)
	w.takeAllSlots("plain")
	request := w.request("split", 0)
	for {
		choice, decision := w.Pick(w.now, request)
		if decision.Kind == Wait {
			require.Equal(t, "plain", decision.Service)
			request.Ticket, request.Service = decision.Ticket, decision.Service
			break
		}
		w.ReportOutcome(w.now, choice.Reservation, attempt.Succeeded)
	}
	for range 100 {
		w.now = w.now.Add(20 * time.Millisecond)
		_, decision := w.Pick(w.now, request)
		require.Equal(t, Wait, decision.Kind)
	}
}

// TestWaitQueue_TooLongToBeServed: behind more requests than can be served in its time, a request is rejected at once,
// with its client's time left to go elsewhere.
func TestWaitQueue_TooLongToBeServed(t *testing.T) {
	w, taken := singleSlot(t)
	for range 30 {
		w.now = w.now.Add(200 * time.Millisecond)
		w.ReportOutcome(w.now, taken, attempt.Succeeded)
		taken = w.takeAllSlots("plain")[0]
	}
	served, rejected := 0, 0
	for subject := range 60 {
		request := w.request("plain", subject)
		request.TimeLeft = 3 * time.Second
		_, decision := w.Pick(w.now, request)
		if decision.Kind == Wait {
			served++
			continue
		}
		rejected++
	}
	const servable = 10 // in the two seconds after which a client still has one to go elsewhere
	assert.GreaterOrEqual(t, served, servable)
	assert.LessOrEqual(t, served, servable*3/2, "the mean duration of few calls is taken for less than it is")
	assert.Equal(t, 60-served, rejected)
}

// overload simulates requests that arrive at a steady rate at one endpoint, in steps of a millisecond.
type overload struct {
	*pickerFixture
	callTime, timeLeft time.Duration
	queue              []overloadRequest
	calls              []overloadCall

	inTime, late, rejected, rejectedLate int
}

// overloadRequest is a request that waits for an endpoint.
type overloadRequest struct {
	request           Request
	arrivedAt, pollAt time.Time
}

// overloadCall is a call in flight.
type overloadCall struct {
	reservation     Reservation
	endAt, deadline time.Time
}

// endCalls ends the calls that have taken their time.
func (o *overload) endCalls() {
	for len(o.calls) > 0 && !o.now.Before(o.calls[0].endAt) {
		ended := o.calls[0]
		o.calls = o.calls[1:]
		o.ReportOutcome(o.now, ended.reservation, attempt.Succeeded)
		if ended.endAt.After(ended.deadline) {
			o.late++
		} else {
			o.inTime++
		}
	}
}

// poll calls Pick for the requests whose wait is over or that have been signaled.
func (o *overload) poll() {
	queue := o.queue
	o.queue = nil
	for _, next := range queue {
		if o.now.Before(next.pollAt) && !signaled(next.request) {
			o.queue = append(o.queue, next)
			continue
		}
		o.pick(next)
	}
}

// pick calls Pick for one request.
func (o *overload) pick(next overloadRequest) {
	next.request.QueuedFor = o.now.Sub(next.arrivedAt)
	next.request.TimeLeft = o.timeLeft - next.request.QueuedFor
	choice, decision := o.Pick(o.now, next.request)
	switch decision.Kind {
	case Picked:
		o.calls = append(o.calls, overloadCall{choice.Reservation, o.now.Add(o.callTime), next.arrivedAt.Add(o.timeLeft)})
	case Wait:
		next.request.Ticket, next.pollAt = decision.Ticket, o.now.Add(decision.Delay)
		o.queue = append(o.queue, next)
	case Reject:
		o.rejected++
		if next.request.TimeLeft < o.timeLeft/3 {
			o.rejectedLate++
		}
	}
}

// TestWaitQueue_OverloadServesAtCapacity: at twice the load that an endpoint can serve, it is busy all the time, and
// those that it can't serve are rejected with time left rather than all running out of time together.
func TestWaitQueue_OverloadServesAtCapacity(t *testing.T) {
	endpoints := plainEndpoints("plain", "e1")
	endpoints[0].Slots = 8
	o := overload{pickerFixture: newFixture(t, "e1", endpoints...), callTime: 100 * time.Millisecond, timeLeft: 2 * time.Second}
	o.endpoints["plain-0"].window = 6
	for step := range 10_000 {
		o.endCalls()
		if step%8 == 0 { // 125 a second; six slots serve 60
			o.queue = append(o.queue, overloadRequest{request: o.request("plain", step), arrivedAt: o.now, pollAt: o.now})
		}
		o.poll()
		o.now = o.now.Add(time.Millisecond)
	}
	t.Logf("%d in time, %d late, %d rejected, %d of them late", o.inTime, o.late, o.rejected, o.rejectedLate)
	assert.Greater(t, o.inTime, 570, "the slots are used nearly all the time")
	assert.Zero(t, o.late)
	assert.Zero(t, o.rejectedLate)
}
