package eventloop

import (
	"slices"

	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// Parked is a webhook that is pending here, but whose destination this member may not call now.
type Parked struct {
	*inflight.Webhook
	MayBeElsewhere bool // another member may have it
	Attempts       int
	MayHaveRunAt   api.Micros // start of the first attempt that may have run, or Never
	Zone           api.ZoneID
}

// orderingGroup identifies webhooks that are delivered one at a time: those of one key for one destination.
type orderingGroup struct {
	destination api.DestinationID
	key         api.OrderingKey
}

func groupOf(w *inflight.Webhook) orderingGroup { return orderingGroup{w.Destination, w.OrderingKey} }

// park adds a webhook that the policy doesn't hold to the parked ones: it stays logged and pending, but this member makes
// no calls for it.
func (l *Loop) park(w *inflight.Webhook) {
	l.parked[w.ID] = w
	if w.OrderingKey != 0 {
		group := groupOf(w)
		at, _ := slices.BinarySearch(l.parkedByKey[group], w.ID)
		l.parkedByKey[group] = slices.Insert(l.parkedByKey[group], at, w.ID)
	}
	w.Trace("parked", 0, 0)
	l.timers.Add(int64(w.Deadline-2*l.settings.MinTurnInterval), func() { l.expireParked(w.ID) })
}

func (l *Loop) unpark(id api.WebhookID) {
	w := l.parked[id]
	delete(l.parked, id)
	if w == nil || w.OrderingKey == 0 {
		return
	}
	group := groupOf(w)
	l.parkedByKey[group] = slices.DeleteFunc(l.parkedByKey[group], func(other api.WebhookID) bool { return other == id })
	if len(l.parkedByKey[group]) == 0 {
		delete(l.parkedByKey, group)
	}
}

// resumeParked passes a parked webhook to the policy if its destination may be called now, and then those of its key that
// waited behind it. It reports whether the webhook was passed on.
func (l *Loop) resumeParked(id api.WebhookID) bool {
	w, entry := l.parked[id], l.log.Pending(id)
	if w == nil || entry == nil || !l.mayCall(w) {
		return false
	}
	l.unpark(id)
	w.Trace("unparked", 0, 0)
	l.recoverWebhook(w, priorAttempts(entry))
	for _, next := range slices.Clone(l.parkedByKey[groupOf(w)]) {
		if !l.resumeParked(next) {
			break
		}
	}
	return true
}

// hasEarlierParked reports whether an earlier webhook of the same key is parked here. A webhook without an id has yet to
// be accepted, so that all parked ones are earlier.
func (l *Loop) hasEarlierParked(w *inflight.Webhook) bool {
	for _, id := range l.parkedByKey[groupOf(w)] {
		if w.ID != 0 && id >= w.ID {
			return false
		}
		if l.isOrdered(l.parked[id]) {
			return true
		}
	}
	return false
}

// expireParked ends a parked webhook before its deadline, as the policy does with its own: one that may have run is
// dead-lettered, any other one is rejected.
func (l *Loop) expireParked(id api.WebhookID) {
	w, entry := l.parked[id], l.log.Pending(id)
	if w == nil || entry == nil || l.awaitsRelay(w) {
		return
	}
	l.unpark(id)
	if entry.MayHaveRunAt != api.Never || w.InDoubt {
		l.DeadLetter(id)
	} else {
		l.Reject(id, 0)
	}
}

// WaitsForEarlier reports whether an earlier webhook of the same key is parked here. If so, a webhook that is not accepted
// yet has to wait here too: it must not overtake the earlier one on the way to the destination's owner. It waits for a
// turn; it may be called from any goroutine.
func (l *Loop) WaitsForEarlier(w *inflight.Webhook) (waits bool) {
	if w.OrderingKey == 0 {
		return false
	}
	l.runInTurn(func() { waits = l.isOrdered(w) && l.hasEarlierParked(w) })
	return waits
}

// ParkedWebhooks returns the parked webhooks that match, in the order of acceptance. busy is the number of matching
// webhooks that can't be handed off yet: those in a call, and those that come after such a webhook in the order of their
// key. Before that, all webhooks that this member may no longer call for are parked. It waits for a turn; it may be called
// from any goroutine.
func (l *Loop) ParkedWebhooks(matches func(*inflight.Webhook) bool) (all []Parked, busy int) {
	l.runInTurn(func() {
		l.reevaluate()
		blocked := map[orderingGroup]bool{}
		for _, id := range l.sortedIDs() {
			w, entry := l.webhooks[id], l.log.Pending(id)
			if entry == nil || !matches(w) {
				continue
			}
			ordered := l.isOrdered(w)
			if l.parked[id] != nil && l.unanswered[id] == nil && (!ordered || !blocked[groupOf(w)]) {
				all = append(all, parkedSnapshot(w, priorAttempts(entry)))
				continue
			}
			busy++
			blocked[groupOf(w)] = blocked[groupOf(w)] || ordered
		}
	})
	return all, busy
}

// parkedSnapshot copies the webhook as it is in this turn, since InDoubt may change in later turns.
func parkedSnapshot(w *inflight.Webhook, prior api.PriorAttempts) Parked {
	snapshot := *w
	return Parked{
		Webhook:        &snapshot,
		MayBeElsewhere: w.InDoubt,
		Attempts:       prior.Count,
		MayHaveRunAt:   prior.MayHaveRunAt,
		Zone:           prior.Zone,
	}
}
