package eventloop

import "rowanlink/webhook/dispatcher/inflight"

// ParkedWebhooks lists what is parked and whose webhooks match, in the order taken, and counts calls out of such; it
// waits for the turn. All that may not be called any more is parked first, and what comes behind one of its
// key that is out counts as out: guards against a webhook handed on before an earlier one of its key.
func (d *Loop) ParkedWebhooks(match func(*inflight.Webhook) bool) (all []Parked, out int) {
	done := make(chan struct{})
	d.inbox.Post(func() {
		defer close(done)
		d.reevaluate()
		stays := map[orderingGroup]bool{}
		for _, id := range d.sortedIDs() {
			w, e := d.webhooks[id], d.log.Pending(id)
			if e == nil || !match(w) {
				continue
			}
			of := orderingGroup{w.Destination, w.OrderingKey}
			if ordered := d.isOrdered(w); d.parked[id] != nil && d.unanswered[id] == nil && !(ordered && stays[of]) {
				one := *w // as it is in this turn: what it says of doubt changes in others
				all = append(all, Parked{&one, w.InDoubt, e.Attempts, e.MayHaveRunAt, e.Zone})
			} else {
				out++
				stays[of] = stays[of] || ordered
			}
		}
	})
	d.wait(done)
	return all, out
}
