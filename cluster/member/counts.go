package member

import (
	"slices"

	"rowanlink/cluster/shardmap"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// in is whether a webhook's destination lies in a range.
func (o *owing) in(r shardmap.Range) func(*inflight.Webhook) bool {
	chart := o.forwarding.homes.Map()
	return func(w *inflight.Webhook) bool { return chart.Holds(r, w.Destination) }
}

// Out counts calls out of a range.
func (o *owing) Out(r shardmap.Range) int {
	chart := o.forwarding.homes.Map()
	_, out := o.decider.Owes(func(w *inflight.Webhook) bool { return chart.Counts(r, w.Destination) })
	return out
}

// OutOf counts calls out of destinations.
func (o *owing) OutOf(of []api.DestinationID) int {
	_, out := o.decider.Owes(func(w *inflight.Webhook) bool { return slices.Contains(of, w.Destination) })
	return out
}

// Owes counts what of a range is here and has not gone over, as far as is known.
func (o *owing) Owes(r shardmap.Range) int {
	all, _ := o.decider.Owes(o.in(r))
	return len(all)
}

// Told is whether a move's target knows what was learned here. Guards a told wait, an outage and a cold
// start: they go over before the right to call does.
func (o *owing) Told(r shardmap.Range) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.told[r.Move.ID]
}

// Undecided counts what may have gone over by a move and has no answer.
func (o *owing) Undecided(move shardmap.MoveID) int { return o.forwarding.names.By(move) }
