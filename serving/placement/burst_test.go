package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"rowanlink/serving/attempt"
)

// burst simulates requests that arrive at the same time for one idle endpoint, in steps of a millisecond.
type burst struct {
	*pickerFixture
	request          Request
	callTime         time.Duration // of each call
	startedAt        time.Time
	retryAt          []time.Time // of the waiting requests: when each calls Pick again
	endAt            []time.Time // of the calls in flight
	reservations     []Reservation
	rejectedAfter    []time.Duration // time that each rejected request had waited
	freeAtRejection  []int           // free slots of the endpoint's window at each rejection
	aheadAtRejection []int           // other requests that waited
	served           int
}

func newBurst(w *pickerFixture, requests int, request Request, took time.Duration) *burst {
	b := &burst{pickerFixture: w, request: request, callTime: took, startedAt: w.now}
	for range requests {
		b.retryAt = append(b.retryAt, w.now)
	}
	return b
}

// run simulates until every request has been sent or rejected.
func (b *burst) run() {
	for len(b.retryAt) > 0 {
		b.finishCalls()
		waiting := b.retryAt
		b.retryAt = nil
		for _, at := range waiting {
			if b.now.Before(at) {
				b.retryAt = append(b.retryAt, at)
				continue
			}
			b.pick()
		}
		b.now = b.now.Add(time.Millisecond)
	}
}

// finishCalls ends the calls that have taken their time.
func (b *burst) finishCalls() {
	for len(b.endAt) > 0 && !b.now.Before(b.endAt[0]) {
		b.ReportOutcome(b.now, b.reservations[0], attempt.Succeeded)
		b.endAt, b.reservations = b.endAt[1:], b.reservations[1:]
		b.served++
	}
}

// pick calls Pick for one request.
func (b *burst) pick() {
	request := b.request
	request.QueuedFor = b.now.Sub(b.startedAt)
	request.TimeLeft -= request.QueuedFor
	choice, decision := b.Pick(b.now, request)
	switch decision.Kind {
	case Picked:
		b.endAt = append(b.endAt, b.now.Add(b.callTime))
		b.reservations = append(b.reservations, choice.Reservation)
	case Wait:
		b.retryAt = append(b.retryAt, b.now.Add(decision.Delay))
	case Reject:
		b.rejectedAfter = append(b.rejectedAfter, request.QueuedFor)
		e := b.endpoints["plain-0"]
		b.aheadAtRejection = append(b.aheadAtRejection, len(e.service.queue.tickets))
		b.freeAtRejection = append(b.freeAtRejection, e.concurrencyLimit(b.now)-e.inFlight)
	}
}

// TestBurst_IsRejectedOnlyAtTheEndOfItsQueueTime: nothing is rejected while a slot is free that can serve it in time
// beside the calls that the region's other proxy is assumed to make, nor so late that the client could not be served
// elsewhere, nor before the last moment in which a slot may become free in time, unless those that
// wait can't all get one until then, with all the slots that this proxy may use.
func TestBurst_IsRejectedOnlyAtTheEndOfItsQueueTime(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		endpoints := plainEndpoints("plain", "e1")
		endpoints[0].Slots = rapid.IntRange(1, 16).Draw(r, "slots")
		w := newFixture(t, "e1", endpoints...)
		target := time.Duration(rapid.IntRange(60, 2000).Draw(r, "target")) * time.Millisecond
		request := withTarget(w.request("plain", 0), target)
		request.TimeLeft = time.Duration(rapid.IntRange(100, 6000).Draw(r, "left")) * time.Millisecond
		took := time.Duration(rapid.IntRange(1, 1000).Draw(r, "took")) * time.Millisecond
		b := newBurst(w, rapid.IntRange(1, 40).Draw(r, "requests"), request, took)
		b.run()
		for index, after := range b.rejectedAfter {
			if b.freeAtRejection[index] > 0 {
				assert.Less(r, request.TimeLeft-after, sameZoneLatency+took*3/2, "a slot is free")
			}
			elsewhere := min(time.Second, request.TimeLeft/3)
			end := request.TimeLeft - elsewhere - sameZoneLatency
			if b.freeAtRejection[index] <= 0 {
				assert.LessOrEqual(r, after, max(end, 0)+minPollInterval)
			}
			slots := max(endpoints[0].Slots*3/4, 1)
			othersTime := took * time.Duration(b.aheadAtRejection[index]) / time.Duration(slots)
			assert.GreaterOrEqual(r, after+took+minPollInterval, end-othersTime, "%d wait", b.aheadAtRejection[index])
		}
	})
}

// TestBurst_OfShortCallsIsServed: 20 calls of 30 ms at 8 slots, of which this proxy uses its part at first, take 150 ms at
// most. They may queue for 250 ms: two thirds of their client's time.
func TestBurst_OfShortCallsIsServed(t *testing.T) {
	endpoints := plainEndpoints("plain", "e1")
	endpoints[0].Slots = 8
	w := newFixture(t, "e1", endpoints...)
	request := w.request("plain", 0)
	request.TimeLeft = 376 * time.Millisecond
	b := newBurst(w, 20, request, 30*time.Millisecond)
	b.run()
	assert.Empty(t, b.rejectedAfter)
	assert.Equal(t, 20, b.served+len(b.endAt))
}
