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

// orderingGroup is the webhooks that are delivered one at a time.
type orderingGroup struct {
	destination api.DestinationID
	key         api.OrderingKey
}

func groupOf(w *inflight.Webhook) orderingGroup { return orderingGroup{w.Destination, w.OrderingKey} }

// park takes a webhook out of the policy's hands: it stays logged and pending, but nobody here calls its destination.
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

// resumeParked passes a parked webhook to the policy if its destination may be called now, and then those that waited
// behind it.
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
// be accepted.
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

// expireParked ends a parked webhook in time, as the policy ends its own.
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

// WaitsForEarlier reports whether a webhook that is not accepted yet has to wait here for an earlier one of its key,
// which is parked: it must not overtake it on the way to the destination's owner. It waits for a turn; it may be called
// from any goroutine.
func (l *Loop) WaitsForEarlier(w *inflight.Webhook) (waits bool) {
	if w.OrderingKey == 0 {
		return false
	}
	l.runInTurn(func() { waits = l.isOrdered(w) && l.hasEarlierParked(w) })
	return waits
}

// ParkedWebhooks returns the parked webhooks that match, in the order of acceptance, and how many matching ones can't be
// handed off yet: those in a call, and those behind one of their key that is. All that may not be called any more are
// parked first. It waits for a turn; it may be called from any goroutine.
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

// parkedSnapshot copies the webhook as it is in this turn: whether it is in doubt changes in others.
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
