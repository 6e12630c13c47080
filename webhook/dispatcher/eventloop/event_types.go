package eventloop

import (
	"math"
	"slices"

	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// unknownEventType is an event type that no settings name: webhooks of it are not retried.
const unknownEventType = math.MaxUint8

// SetEventTypes sets the names of event types by index. It may be called only before Begin or in a turn. Names that a
// shorter list lacks stay: webhooks with these event types may be pending, or were parsed under the previous settings.
func (l *Loop) SetEventTypes(names []string) {
	if len(names) > len(l.eventTypes) {
		l.eventTypes = names
	}
}

// eventTypeID returns the index that an event type of an earlier incarnation has now.
func (l *Loop) eventTypeID(name string) api.EventTypeID {
	if i := slices.Index(l.eventTypes, name); i >= 0 {
		return api.EventTypeID(i)
	}
	return unknownEventType
}

// recoverWebhook passes a webhook to the policy. One that was accepted without an idempotency key is not retried under
// settings that require one, since no destination would recognize the duplicate.
func (l *Loop) recoverWebhook(w *inflight.Webhook, prior api.PriorAttempts) {
	all := l.settings.EventTypes
	if w.Token == "" && int(w.EventType) < len(all) && all[w.EventType].Semantics == api.Deduplicated {
		w.EventType = unknownEventType
	}
	l.policy.Recover(api.Webhook{
		ID:          w.ID,
		EventType:   w.EventType,
		Tenant:      w.Tenant,
		OrderingKey: w.OrderingKey,
		Deadline:    w.Deadline,
		Destination: w.Destination,
	}, prior)
}
