package engine

import (
	"slices"

	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// notification is input for a dispatcher's policy that waits for the next iteration. Its kind tells which fields apply.
type notification struct {
	kind       notificationKind
	id         api.WebhookID
	endpoint   api.EndpointID
	outcome    api.Outcome
	attempt    int
	latency    api.Micros
	retryAfter api.Micros
	timer      api.TimerID
	endpoints  []api.EndpointEntry
	complete   bool  // endpoints are the complete list
	handoff    int32 // by which a webhook was received, or noHandoff
}

type notificationKind uint8

const (
	notifyAcceptance notificationKind = iota // a webhook was accepted
	notifyOutcome                            // an attempt ended
	notifyTimer                              // a timer of the policy fired
	notifyEndpoints                          // endpoints changed
	notifyOwnership                          // the shard map or the leases changed
)

// deliverQueuedEndpoints delivers the endpoint changes in the inbox ahead of the next iteration.
func (d *dispatcher) deliverQueuedEndpoints() {
	d.inbox = slices.DeleteFunc(d.inbox, func(n notification) bool {
		if n.kind == notifyEndpoints {
			d.updateEndpoints(n)
		}
		return n.kind == notifyEndpoints
	})
}

func (d *dispatcher) updateEndpoints(n notification) {
	if d.sim.Bus.HasSubscribers(event.EndpointUpdated) {
		for _, e := range n.endpoints {
			if n.complete && e.Status == api.EndpointActive {
				continue
			}
			d.sim.Bus.Emit(event.Event{
				At:          d.sim.now,
				Kind:        event.EndpointUpdated,
				Dispatcher:  d.number,
				Endpoint:    e.Endpoint,
				Destination: e.Destination,
				Status:      e.Status,
			})
		}
	}
	d.policy.UpdateEndpoints(d.scaleRates(n.endpoints), n.complete)
}

// webhookEvent fills in the fields of an event that identify a webhook.
func (m *Simulation) webhookEvent(kind event.Kind, d *dispatcher, w *webhook, e event.Event) event.Event {
	request := &m.requests[w.request]
	e.At = m.now
	e.Kind = kind
	e.Dispatcher = d.number
	e.Webhook = w.id
	e.Request = event.RequestID(w.request)
	e.EventType = request.eventType
	e.Destination = request.destination
	e.OrderingKey = request.orderingKey
	e.Deadline = request.deadline
	if e.Route == 0 {
		e.Route = event.Route(m.destinations[request.destination].route)
	}
	return e
}
