package observe

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/emulator/seen"
	"rowanlink/webhook/api"
)

func watch() (*Watch, *seen.Bus) {
	w, b := NewWatch(
		Terms{Facts: api.Facts{Slots: 8, TurnGap: api.Second, EventTypes: []api.EventType{
			{
				TTL: 20 * api.Second,
			}, {TTL: 20 * api.Second, Repeat: api.Tokened, TokenWindow: 5 * api.Second,
				TokenByZone: true}, {TTL: 20 * api.Second, Ordered: true}}}, AnswerGrace: 100},
	), &seen.Bus{}
	w.Join(b)
	return w, b
}

func TestASendInTheMicrosecondInWhichAToldWaitEndsIsInTime(t *testing.T) {
	const told, long = 100 * api.Second, api.Second / 2
	for early, broken := range map[api.Micros]int{0: 0, 1: 1} {
		w, b := watch()
		b.Emit(seen.Event{At: told, What: seen.Taken, Webhook: 1, TTL: told + api.Second})
		b.Emit(seen.Event{At: told, What: seen.Heard, Webhook: 2, Outcome: api.Full, Wait: long})
		b.Emit(
			seen.Event{At: told, What: seen.Heard, Webhook: 3, Outcome: api.Full, Wait: 10},
		) // the longest holds
		b.Emit(seen.Event{At: told + long - early, What: seen.Sent, Webhook: 1, Endpoint: 1})
		assert.Equal(t, broken, w.Broken["wait"])
	}
}

func TestABreachNamesTheWebhooksLastEvents(t *testing.T) {
	w, b := watch()
	one := seen.Event{At: 1, Webhook: 7, Dispatcher: 3, Destination: 5, Type: 1, TTL: 20 * api.Second}
	step := func(at api.Micros, what seen.What, change func(*seen.Event)) {
		e := one
		e.At, e.What = at, what
		if change != nil {
			change(&e)
		}
		b.Emit(e)
	}
	step(1, seen.Taken, nil)
	step(2, seen.Sent, nil)
	step(3, seen.Heard, func(e *seen.Event) { e.Outcome = api.TimedOut })
	step(4, seen.Sent, func(e *seen.Event) { e.Attempt, e.Zone = 1, 1 })
	step(5, seen.Ended, func(e *seen.Event) { e.End = seen.Rejected })
	step(6, seen.Ended, func(e *seen.Event) { e.End = seen.DeadLettered })
	assert.Equal(t, map[string]int{"twice": 2, "lost": 1}, w.Broken)
	zone := w.Breaches[0]
	assert.Equal(t, "tokened by zone, sent to another zone", zone.Text)
	assert.Equal(t, api.WebhookID(7), zone.Webhook)
	assert.Equal(t, int32(3), zone.Dispatcher)
	assert.Equal(t, api.DestinationID(5), zone.Destination)
	assert.Len(t, zone.Last, 4)
	assert.Contains(t, zone.String(), "0.000003s heard dispatcher 3 attempt 0: timed out")
}

func TestOrderAsksForARestAfterWhatMayStillRun(t *testing.T) {
	for after, broken := range map[api.Micros]int{api.Second - 1: 1, api.Second: 0} {
		w, b := watch()
		e := seen.Event{At: 1, Type: 2, Key: 9, TTL: 20 * api.Second}
		send := func(at api.Micros, id api.WebhookID, what seen.What, out api.Outcome, end seen.End) {
			e.At, e.Webhook, e.What, e.Outcome, e.End = at, id, what, out, end
			b.Emit(e)
		}
		send(1, 1, seen.Taken, 0, 0)
		send(1, 2, seen.Taken, 0, 0)
		send(2, 1, seen.Sent, 0, 0)
		send(3, 1, seen.Heard, api.Reset, 0)
		send(3, 1, seen.Ended, 0, seen.DeadLettered)
		send(3+after, 2, seen.Sent, 0, 0)
		assert.Equal(t, broken, w.Broken["order"])
	}
}

func TestWhatIsStillOwedAtTheEndIsLost(t *testing.T) {
	w, b := watch()
	b.Emit(seen.Event{At: 1, What: seen.Taken, Webhook: 1, TTL: 50})
	b.Emit(seen.Event{At: 1, What: seen.Taken, Webhook: 2, TTL: 5000})
	w.Close(1000)
	assert.Equal(t, map[string]int{"lost": 1}, w.Broken)
}
