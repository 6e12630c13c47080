package member

import (
	"slices"

	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// inRange is whether a webhook's destination lies in a range.
func (o *Handoff) inRange(r shardmap.Range) func(*inflight.Webhook) bool {
	chart := o.forwarding.ownership.Map()
	return func(w *inflight.Webhook) bool { return chart.Contains(r, w.Destination) }
}

// PendingOffer counts calls out of a range.
func (o *Handoff) CallsInFlight(r shardmap.Range) int {
	chart := o.forwarding.ownership.Map()
	_, out := o.decider.Owes(func(w *inflight.Webhook) bool { return chart.CountsToward(r, w.Destination) })
	return out
}

// CallsInFlightTo counts calls out of destinations.
func (o *Handoff) CallsInFlightTo(of []api.DestinationID) int {
	_, out := o.decider.Owes(func(w *inflight.Webhook) bool { return slices.Contains(of, w.Destination) })
	return out
}

// PendingWebhooks counts what of a range is here and has not gone over, as far as is known.
func (o *Handoff) PendingWebhooks(r shardmap.Range) int {
	all, _ := o.decider.Owes(o.inRange(r))
	return len(all)
}

// StateTransferred is whether a move's target knows what was learned here. Guards a told wait, an outage and a cold
// start: they go over before the right to call does.
func (o *Handoff) StateTransferred(r shardmap.Range) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.stateSent[r.Move.ID]
}

// InDoubt counts what may have gone over by a move and has no answer.
func (o *Handoff) InDoubt(move shardmap.MoveID) int { return o.forwarding.custody.PendingByMove(move) }
