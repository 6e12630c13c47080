package eventloop

import (
	"slices"

	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// turnOf is what order is kept by.
type turnOf struct {
	dest api.DestinationID
	key  api.OrderingKey
}

func (d *Decider) park(w *inflight.Webhook) {
	if d.parked[w.ID] = w; w.Key != 0 {
		of := turnOf{w.Destination, w.Key}
		at, _ := slices.BinarySearch(d.turns[of], w.ID)
		d.turns[of] = slices.Insert(d.turns[of], at, w.ID)
	}
	w.Step("parked", 0, 0)
	d.dues.Add(int64(w.TTL-2*d.facts.MinTurnInterval), func() { d.expire(w.ID) })
}

func (d *Decider) unpark(id api.WebhookID) {
	w := d.parked[id]
	if delete(d.parked, id); w == nil || w.Key == 0 {
		return
	}
	of := turnOf{w.Destination, w.Key}
	d.turns[of] = slices.DeleteFunc(d.turns[of], func(other api.WebhookID) bool { return other == id })
	if len(d.turns[of]) == 0 {
		delete(d.turns, of)
	}
}

// frees hands to the module what may be called by now, and then what waited behind it.
func (d *Decider) frees(id api.WebhookID) bool {
	w, e := d.parked[id], d.journal.Entry(id)
	if w == nil || e == nil || !d.mayCall(w) {
		return false
	}
	d.unpark(id)
	w.Step("unparked", 0, 0)
	d.resume(w, e.Attempts, e.MayRun, e.Zone)
	for _, next := range slices.Clone(d.turns[turnOf{w.Destination, w.Key}]) {
		if !d.frees(next) {
			break
		}
	}
	return true
}

// behind is whether an earlier one of a webhook's key is parked here; 0 as id: it has yet to be taken.
func (d *Decider) behind(w *inflight.Webhook) bool {
	for _, id := range d.turns[turnOf{w.Destination, w.Key}] {
		if w.ID != 0 && id >= w.ID {
			return false
		}
		if d.ordered(d.parked[id]) {
			return true
		}
	}
	return false
}

// expire guards against a webhook lost while it is parked: it ends in time, as the module ends those it has.
func (d *Decider) expire(id api.WebhookID) {
	e := d.journal.Entry(id)
	if w := d.parked[id]; w != nil && e != nil && !d.lastWord(w) {
		if d.unpark(id); e.MayRun != api.Never || w.InDoubt {
			d.DeadLetter(id)
		} else {
			d.Reject(id, 0)
		}
	}
}
