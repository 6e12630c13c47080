package engine

import (
	"slices"

	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// notification is what waits for the next turn.
type notification struct {
	kind       uint8
	id         api.WebhookID
	endpoint   api.EndpointID
	outcome    api.Outcome
	attempt    int
	latency    api.Micros
	retryAfter api.Micros
	timer      api.TimerID
	endpoints  []api.EndpointEntry
	complete   bool
	handoff    int32 // by which a webhook was sent here, or none
}

// deliverQueuedEndpoints tells the module of the list that waits.
func (d *dispatcher) deliverQueuedEndpoints() {
	d.inbox = slices.DeleteFunc(d.inbox, func(n notification) bool {
		if n.kind == notifyEndpoints {
			d.updateEndpoints(n)
		}
		return n.kind == notifyEndpoints
	})
}

func (d *dispatcher) updateEndpoints(n notification) {
	if d.m.Bus.HasSubscribers(event.EndpointUpdated) {
		for _, e := range n.endpoints {
			if e.Status != api.EndpointActive || !n.complete {
				d.m.Bus.Emit(event.Event{At: d.m.now, Kind: event.EndpointUpdated, Dispatcher: d.number, Endpoint: e.Endpoint,
					Destination: e.Destination, Status: e.Status})
			}
		}
	}
	d.policy.UpdateEndpoints(d.scaleRates(n.endpoints), n.complete)
}

// webhookEvent is an event that concerns a webhook.
func (m *Simulation) webhookEvent(what event.Kind, d *dispatcher, h *webhook, e event.Event) event.Event {
	o := &m.requests[h.request]
	e.At, e.Kind, e.Dispatcher, e.Webhook, e.Request = m.now, what, d.number, h.id, event.RequestID(h.request)
	e.EventType, e.Destination, e.OrderingKey, e.Deadline = o.eventType, o.destination, o.orderingKey, o.deadline
	if e.Route == 0 {
		e.Route = event.Route(m.destinations[o.destination].route)
	}
	return e
}
