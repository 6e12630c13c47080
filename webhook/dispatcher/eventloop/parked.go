package eventloop

import (
	"slices"

	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// orderingGroup is what order is kept by.
type orderingGroup struct {
	dest api.DestinationID
	key  api.OrderingKey
}

func (d *Loop) park(w *inflight.Webhook) {
	if d.parked[w.ID] = w; w.OrderingKey != 0 {
		of := orderingGroup{w.Destination, w.OrderingKey}
		at, _ := slices.BinarySearch(d.parkedByKey[of], w.ID)
		d.parkedByKey[of] = slices.Insert(d.parkedByKey[of], at, w.ID)
	}
	w.Trace("parked", 0, 0)
	d.timers.Add(int64(w.Deadline-2*d.settings.MinTurnInterval), func() { d.expire(w.ID) })
}

func (d *Loop) unpark(id api.WebhookID) {
	w := d.parked[id]
	if delete(d.parked, id); w == nil || w.OrderingKey == 0 {
		return
	}
	of := orderingGroup{w.Destination, w.OrderingKey}
	d.parkedByKey[of] = slices.DeleteFunc(d.parkedByKey[of], func(other api.WebhookID) bool { return other == id })
	if len(d.parkedByKey[of]) == 0 {
		delete(d.parkedByKey, of)
	}
}

// resumeParked hands to the module what may be called by now, and then what waited behind it.
func (d *Loop) resumeParked(id api.WebhookID) bool {
	w, e := d.parked[id], d.log.Pending(id)
	if w == nil || e == nil || !d.mayCall(w) {
		return false
	}
	d.unpark(id)
	w.Trace("unparked", 0, 0)
	d.recoverWebhook(w, e.Attempts, e.MayHaveRunAt, e.Zone)
	for _, next := range slices.Clone(d.parkedByKey[orderingGroup{w.Destination, w.OrderingKey}]) {
		if !d.resumeParked(next) {
			break
		}
	}
	return true
}

// hasEarlierParked is whether an earlier one of a webhook's key is parked here; 0 as id: it has yet to be taken.
func (d *Loop) hasEarlierParked(w *inflight.Webhook) bool {
	for _, id := range d.parkedByKey[orderingGroup{w.Destination, w.OrderingKey}] {
		if w.ID != 0 && id >= w.ID {
			return false
		}
		if d.isOrdered(d.parked[id]) {
			return true
		}
	}
	return false
}

// expire guards against a webhook lost while it is parked: it ends in time, as the module ends those it has.
func (d *Loop) expire(id api.WebhookID) {
	e := d.log.Pending(id)
	if w := d.parked[id]; w != nil && e != nil && !d.awaitsRelay(w) {
		if d.unpark(id); e.MayHaveRunAt != api.Never || w.InDoubt {
			d.DeadLetter(id)
		} else {
			d.Reject(id, 0)
		}
	}
}
