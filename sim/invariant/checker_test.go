package invariant

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// newTestChecker has an idempotent, a deduplicated and an ordered event type.
func newTestChecker() (*Checker, *event.Bus) {
	c := NewChecker(Thresholds{
		Settings: api.Settings{
			MaxInFlight: 8,
			OrderingGap: api.Second,
			EventTypes: []api.EventType{
				{TTL: 20 * api.Second},
				{TTL: 20 * api.Second, Semantics: api.Deduplicated, DedupWindow: 5 * api.Second, DedupByZone: true},
				{TTL: 20 * api.Second, Ordered: true},
			},
		},
		AnswerGrace: 100,
	})
	bus := &event.Bus{}
	c.Subscribe(bus)
	return c, bus
}

func TestRetryAfter_AttemptInItsLastMicrosecondIsAllowed(t *testing.T) {
	const now, delay = 100 * api.Second, api.Second / 2
	for early, violations := range map[api.Micros]int{0: 0, 1: 1} {
		c, bus := newTestChecker()
		bus.Emit(event.Event{At: now, Kind: event.Accepted, Webhook: 1, Deadline: now + api.Second})
		bus.Emit(event.Event{At: now, Kind: event.AttemptEnded, Webhook: 2, Outcome: api.Rejected, RetryAfter: delay})
		// The longest time counts.
		bus.Emit(event.Event{At: now, Kind: event.AttemptEnded, Webhook: 3, Outcome: api.Rejected, RetryAfter: 10})
		bus.Emit(event.Event{At: now + delay - early, Kind: event.AttemptStarted, Webhook: 1, Endpoint: 1})
		assert.Equal(t, violations, c.ViolationCount["wait"])
	}
}

func TestChecker_ViolationHasTheHistoryOfItsWebhook(t *testing.T) {
	c, bus := newTestChecker()
	one := event.Event{At: 1, Webhook: 7, Dispatcher: 3, Destination: 5, EventType: 1, Deadline: 20 * api.Second}
	step := func(at api.Micros, kind event.Kind, change func(*event.Event)) {
		e := one
		e.At, e.Kind = at, kind
		if change != nil {
			change(&e)
		}
		bus.Emit(e)
	}
	step(1, event.Accepted, nil)
	step(2, event.AttemptStarted, nil)
	step(3, event.AttemptEnded, func(e *event.Event) { e.Outcome = api.TimedOut })
	step(4, event.AttemptStarted, func(e *event.Event) { e.Attempt, e.Zone = 1, 1 })
	step(5, event.Finished, func(e *event.Event) { e.Final = event.Rejected })
	step(6, event.Finished, func(e *event.Event) { e.Final = event.DeadLettered })
	assert.Equal(t, map[string]int{"twice": 2, "lost": 1}, c.ViolationCount)
	zone := c.Violations[0]
	assert.Equal(t, "deduplicated by zone, attempted in another zone", zone.Text)
	assert.Equal(t, api.WebhookID(7), zone.Webhook)
	assert.Equal(t, int32(3), zone.Dispatcher)
	assert.Equal(t, api.DestinationID(5), zone.Destination)
	assert.Len(t, zone.History, 4)
	assert.Contains(t, zone.String(), "0.000003s attempt ended dispatcher 3 attempt 0: timed out")
}

func TestOrdering_GapAfterAttemptThatMayStillRun(t *testing.T) {
	for after, violations := range map[api.Micros]int{api.Second - 1: 1, api.Second: 0} {
		c, bus := newTestChecker()
		e := event.Event{At: 1, EventType: 2, OrderingKey: 9, Deadline: 20 * api.Second}
		send := func(at api.Micros, id api.WebhookID, kind event.Kind, outcome api.Outcome, final event.FinalStatus) {
			e.At, e.Webhook, e.Kind, e.Outcome, e.Final = at, id, kind, outcome, final
			bus.Emit(e)
		}
		send(1, 1, event.Accepted, 0, 0)
		send(1, 2, event.Accepted, 0, 0)
		send(2, 1, event.AttemptStarted, 0, 0)
		send(3, 1, event.AttemptEnded, api.ConnectionReset, 0)
		send(3, 1, event.Finished, 0, event.DeadLettered)
		send(3+after, 2, event.AttemptStarted, 0, 0)
		assert.Equal(t, violations, c.ViolationCount["order"])
	}
}

func TestDelivery_UnfinishedWebhookIsLost(t *testing.T) {
	c, bus := newTestChecker()
	bus.Emit(event.Event{At: 1, Kind: event.Accepted, Webhook: 1, Deadline: 50})
	bus.Emit(event.Event{At: 1, Kind: event.Accepted, Webhook: 2, Deadline: 5000})
	c.Finish(1000)
	assert.Equal(t, map[string]int{"lost": 1}, c.ViolationCount)
}
