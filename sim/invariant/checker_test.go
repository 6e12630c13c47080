package invariant

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

func newChecker() (*Checker, *event.Bus) {
	w, b := NewChecker(
		Thresholds{Settings: api.Settings{MaxInFlight: 8, OrderingGap: api.Second, EventTypes: []api.EventType{
			{
				TTL: 20 * api.Second,
			}, {TTL: 20 * api.Second, Semantics: api.Deduplicated, DedupWindow: 5 * api.Second,
				DedupByZone: true}, {TTL: 20 * api.Second, Ordered: true}}}, AnswerGrace: 100},
	), &event.Bus{}
	w.Subscribe(b)
	return w, b
}

func TestRetryAfter_AttemptInItsLastMicrosecondIsAllowed(t *testing.T) {
	const told, long = 100 * api.Second, api.Second / 2
	for early, broken := range map[api.Micros]int{0: 0, 1: 1} {
		w, b := newChecker()
		b.Emit(event.Event{At: told, Kind: event.Accepted, Webhook: 1, Deadline: told + api.Second})
		b.Emit(event.Event{At: told, Kind: event.AttemptEnded, Webhook: 2, Outcome: api.Rejected, RetryAfter: long})
		b.Emit(
			event.Event{At: told, Kind: event.AttemptEnded, Webhook: 3, Outcome: api.Rejected, RetryAfter: 10},
		) // the longest holds
		b.Emit(event.Event{At: told + long - early, Kind: event.AttemptStarted, Webhook: 1, Endpoint: 1})
		assert.Equal(t, broken, w.ViolationCount["wait"])
	}
}

func TestChecker_ViolationHasTheHistoryOfItsWebhook(t *testing.T) {
	w, b := newChecker()
	one := event.Event{At: 1, Webhook: 7, Dispatcher: 3, Destination: 5, EventType: 1, Deadline: 20 * api.Second}
	step := func(at api.Micros, what event.Kind, change func(*event.Event)) {
		e := one
		e.At, e.Kind = at, what
		if change != nil {
			change(&e)
		}
		b.Emit(e)
	}
	step(1, event.Accepted, nil)
	step(2, event.AttemptStarted, nil)
	step(3, event.AttemptEnded, func(e *event.Event) { e.Outcome = api.TimedOut })
	step(4, event.AttemptStarted, func(e *event.Event) { e.Attempt, e.Zone = 1, 1 })
	step(5, event.Finished, func(e *event.Event) { e.Final = event.Rejected })
	step(6, event.Finished, func(e *event.Event) { e.Final = event.DeadLettered })
	assert.Equal(t, map[string]int{"twice": 2, "lost": 1}, w.ViolationCount)
	zone := w.Violations[0]
	assert.Equal(t, "deduplicated by zone, attempted in another zone", zone.Text)
	assert.Equal(t, api.WebhookID(7), zone.Webhook)
	assert.Equal(t, int32(3), zone.Dispatcher)
	assert.Equal(t, api.DestinationID(5), zone.Destination)
	assert.Len(t, zone.History, 4)
	assert.Contains(t, zone.String(), "0.000003s attempt ended dispatcher 3 attempt 0: timed out")
}

func TestOrdering_GapAfterAttemptThatMayStillRun(t *testing.T) {
	for after, broken := range map[api.Micros]int{api.Second - 1: 1, api.Second: 0} {
		w, b := newChecker()
		e := event.Event{At: 1, EventType: 2, OrderingKey: 9, Deadline: 20 * api.Second}
		send := func(at api.Micros, id api.WebhookID, what event.Kind, out api.Outcome, end event.FinalStatus) {
			e.At, e.Webhook, e.Kind, e.Outcome, e.Final = at, id, what, out, end
			b.Emit(e)
		}
		send(1, 1, event.Accepted, 0, 0)
		send(1, 2, event.Accepted, 0, 0)
		send(2, 1, event.AttemptStarted, 0, 0)
		send(3, 1, event.AttemptEnded, api.ConnectionReset, 0)
		send(3, 1, event.Finished, 0, event.DeadLettered)
		send(3+after, 2, event.AttemptStarted, 0, 0)
		assert.Equal(t, broken, w.ViolationCount["order"])
	}
}

func TestDelivery_UnfinishedWebhookIsLost(t *testing.T) {
	w, b := newChecker()
	b.Emit(event.Event{At: 1, Kind: event.Accepted, Webhook: 1, Deadline: 50})
	b.Emit(event.Event{At: 1, Kind: event.Accepted, Webhook: 2, Deadline: 5000})
	w.Finish(1000)
	assert.Equal(t, map[string]int{"lost": 1}, w.ViolationCount)
}
