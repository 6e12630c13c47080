package eventloop

import (
	"math"
	"slices"

	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// unknownEventType is an event type that no settings name: what is of it is not repeated.
const unknownEventType = math.MaxUint8

// SetEventTypes tells the names of event types by their places; before Begin, or in a turn. Those beyond the last
// keep theirs: webhooks of them may be held, or come from a client that was let in before.
func (d *Loop) SetEventTypes(names []string) {
	if len(names) > len(d.eventTypes) {
		d.eventTypes = names
	}
}

// logAccepted journals a webhook with its event type's name: guards against the place alone being read by the next
// life, whose settings may have another one there, of which an attempt may be repeated.
func (d *Loop) logAccepted(w *inflight.Webhook) error {
	err := d.log.Accept(w.ID, w.Encode())
	if err == nil && int(w.EventType) < len(d.eventTypes) {
		d.log.SetEventType(w.ID, d.eventTypes[w.EventType])
	}
	return err
}

// recoverWebhook hands a webhook to the module. Guards against a second effect: one that was taken on without a token
// is not repeated by settings that ask for one, since nobody would know the repeat.
func (d *Loop) recoverWebhook(w *inflight.Webhook, attempts int, mayRun api.Micros, zone api.ZoneID) {
	all := d.settings.EventTypes
	if w.Token == "" && int(w.EventType) < len(all) && all[w.EventType].Semantics == api.Deduplicated {
		w.EventType = unknownEventType
	}
	d.policy.Recover(api.Webhook{
		ID:          w.ID,
		EventType:   w.EventType,
		Tenant:      w.Tenant,
		OrderingKey: w.OrderingKey,
		Deadline:    w.Deadline,
		Destination: w.Destination,
	}, api.PriorAttempts{Count: attempts, MayHaveRunAt: mayRun, Zone: zone})
}

// eventTypeID is where an event type of an earlier life stands by now.
func (d *Loop) eventTypeID(name string) api.EventTypeID {
	if at := slices.Index(d.eventTypes, name); at >= 0 {
		return api.EventTypeID(at)
	}
	return unknownEventType
}
