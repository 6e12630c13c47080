package engine

import (
	"slices"

	eventpkg "rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// news is what waits for the next turn.
type news struct {
	kind    uint8
	id      api.WebhookID
	ep      api.EndpointID
	what    api.Outcome
	attempt int
	took    api.Micros
	wait    api.Micros
	timer   api.TimerID
	list    []api.EndpointEntry
	whole   bool
	offer   int32 // by which a webhook was sent here, or none
}

// hearList tells the module of the list that waits.
func (d *dispatcher) hearList() {
	d.inbox = slices.DeleteFunc(d.inbox, func(n news) bool {
		if n.kind == newsList {
			d.listed(n)
		}
		return n.kind == newsList
	})
}

func (d *dispatcher) listed(n news) {
	if d.m.Bus.HasSubscribers(eventpkg.EndpointUpdated) {
		for _, e := range n.list {
			if e.Status != api.EndpointActive || !n.whole {
				d.m.Bus.Emit(eventpkg.Event{At: d.m.now, Kind: eventpkg.EndpointUpdated, Dispatcher: d.number, Endpoint: e.Endpoint,
					Destination: e.Destination, Status: e.Status})
			}
		}
	}
	d.module.UpdateEndpoints(d.parted(n.list), n.whole)
}

// about is an event that concerns a webhook.
func (m *Model) about(what eventpkg.Kind, d *dispatcher, h *held, e eventpkg.Event) eventpkg.Event {
	o := &m.origins[h.origin]
	e.At, e.Kind, e.Dispatcher, e.Webhook, e.Request = m.now, what, d.number, h.id, eventpkg.RequestID(h.origin)
	e.EventType, e.Destination, e.OrderingKey, e.Deadline = o.evt, o.dest, o.key, o.ttl
	if e.Route == 0 {
		e.Route = eventpkg.Route(m.dests[o.dest].route)
	}
	return e
}
