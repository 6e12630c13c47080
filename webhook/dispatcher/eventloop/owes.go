package eventloop

import "rowanlink/webhook/dispatcher/inflight"

// ParkedWebhooks lists what is parked and whose webhooks match, in the order taken, and counts calls out of such; it
// waits for the turn. All that may not be called any more is parked first, and what comes behind one of its
// key that is out counts as out: guards against a webhook handed on before an earlier one of its key.
func (d *Loop) ParkedWebhooks(match func(*inflight.Webhook) bool) (all []Parked, out int) {
	done := make(chan struct{})
	d.x.Post(func() {
		defer close(done)
		d.regate()
		stays := map[turnOf]bool{}
		for _, id := range d.sorted() {
			w, e := d.held[id], d.journal.Pending(id)
			if e == nil || !match(w) {
				continue
			}
			of := turnOf{w.Destination, w.OrderingKey}
			if ordered := d.ordered(w); d.parked[id] != nil && d.fresh[id] == nil && !(ordered && stays[of]) {
				one := *w // as it is in this turn: what it says of doubt changes in others
				all = append(all, Parked{&one, w.InDoubt, e.Attempts, e.MayHaveRunAt, e.Zone})
			} else {
				out++
				stays[of] = stays[of] || ordered
			}
		}
	})
	d.awaits(done)
	return all, out
}
