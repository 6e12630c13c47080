package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"rowanlink/serving/attempt"
)

// burst plays parallel requests that come at once to one endpoint at rest, in steps of a millisecond.
type burst struct {
	*world
	request Request
	took    time.Duration // each at the endpoint
	started time.Time
	looks   []time.Time // of the requests that wait: when each asks again
	ends    []time.Time // of the calls out
	tickets []Reservation
	refused []time.Duration // after which requests were refused
	busy    []int           // the calls out at each refusal
	served  int
}

func newBurst(w *world, requests int, request Request, took time.Duration) *burst {
	b := &burst{world: w, request: request, took: took, started: w.now}
	for range requests {
		b.looks = append(b.looks, w.now)
	}
	return b
}

func (b *burst) play() {
	for len(b.looks) > 0 {
		b.finish()
		waiting := b.looks
		b.looks = nil
		for _, look := range waiting {
			if b.now.Before(look) {
				b.looks = append(b.looks, look)
				continue
			}
			b.ask()
		}
		b.now = b.now.Add(time.Millisecond)
	}
}

// finish ends the calls whose time is over.
func (b *burst) finish() {
	for len(b.ends) > 0 && !b.now.Before(b.ends[0]) {
		b.ReportOutcome(b.now, b.tickets[0], attempt.Succeeded)
		b.ends, b.tickets = b.ends[1:], b.tickets[1:]
		b.served++
	}
}

// ask looks for a place for one request.
func (b *burst) ask() {
	b.request.QueuedFor = b.now.Sub(b.started)
	choice, verdict := b.Pick(b.now, b.request)
	switch verdict.Kind {
	case Picked:
		b.ends, b.tickets = append(b.ends, b.now.Add(b.took)), append(b.tickets, choice.Reservation)
	case Wait:
		b.looks = append(b.looks, b.now.Add(verdict.Delay))
	case Reject:
		b.refused, b.busy = append(b.refused, b.request.QueuedFor), append(b.busy, len(b.ends))
	}
}

// TestABurstIsRefusedOnlyAtTheEndOfItsPatience: nothing is refused while less than half of the slots are taken, nor
// before the last moment in which a place may come free.
func TestABurstIsRefusedOnlyAtTheEndOfItsPatience(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		endpoints := plainEndpoints("plain", "e1")
		endpoints[0].Slots = rapid.IntRange(1, 16).Draw(r, "slots")
		w := newWorld(t, "e1", endpoints...)
		request := w.request("plain", 0)
		route := *request.Route
		route.Target = time.Duration(rapid.IntRange(60, 2000).Draw(r, "target")) * time.Millisecond
		request.Route = &route
		took := time.Duration(rapid.IntRange(1, 1000).Draw(r, "took")) * time.Millisecond
		b := newBurst(w, rapid.IntRange(1, 40).Draw(r, "requests"), request, took)
		b.play()
		for index, after := range b.refused {
			assert.GreaterOrEqual(r, 2*b.busy[index], endpoints[0].Slots, "half of the slots are taken")
			assert.GreaterOrEqual(r, after, route.Target/4-queueTimeSlack-minPollInterval)
			assert.Less(r, after, route.Target/4)
		}
	})
}

// TestABurstOfShortCallsIsServed: 20 calls of 30 ms at 8 slots take 150 ms from half of the slots upward, within a
// quarter of a second.
func TestABurstOfShortCallsIsServed(t *testing.T) {
	endpoints := plainEndpoints("plain", "e1")
	endpoints[0].Slots = 8
	w := newWorld(t, "e1", endpoints...)
	b := newBurst(w, 20, w.request("plain", 0), 30*time.Millisecond)
	b.play()
	assert.Empty(t, b.refused)
	assert.Equal(t, 20, b.served+len(b.ends))
}
