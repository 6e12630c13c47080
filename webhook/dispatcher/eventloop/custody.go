package eventloop

import (
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
	"rowanlink/webhook/dispatcher/wal"
)

// Earlier lists the request ids of what an earlier life still owes; before Begin only.
func (d *Decider) Earlier() (all []inflight.RequestID) {
	for _, e := range d.journal.Entries() {
		if w, err := inflight.FromBytes(e.ID, e.Taken); err == nil && !e.Ended {
			all = append(all, w.RequestID)
		}
	}
	return all
}

// Held lists the request ids of all that is held; it waits for the turn.
func (d *Decider) Held() (all []inflight.RequestID) {
	done := make(chan struct{})
	d.x.Tell(func() {
		defer close(done)
		for _, w := range d.held {
			all = append(all, w.RequestID)
		}
	})
	d.awaits(done)
	return all
}

// Doubt marks what is still parked here, before it is offered to another member, and lists that: from then on
// nobody here calls for it before that is settled. true: it was in no doubt before. It waits for the turn.
func (d *Decider) Doubt(ids []api.WebhookID) map[api.WebhookID]bool {
	fresh, done := map[api.WebhookID]bool{}, make(chan struct{})
	d.x.Tell(func() {
		defer close(done)
		for _, id := range ids {
			if w := d.parked[id]; w != nil && d.fresh[id] == nil {
				fresh[id], w.InDoubt = !w.InDoubt, true
			}
		}
	})
	d.awaits(done)
	return fresh
}

// Passed ends webhooks that another member has in its journal, and waits until that is written: nothing is
// owed for them here any more.
func (d *Decider) Passed(ids []api.WebhookID) {
	done := make(chan struct{})
	d.x.Tell(func() {
		for _, id := range ids {
			if w := d.parked[id]; w != nil {
				d.unpark(id)
				w.Step("passed", 0, 0)
				d.journal.End(id, nil)
				d.drop(w)
			}
		}
		d.ends = append(d.ends, func() { close(done) })
	})
	d.awaits(done)
}

// Settled ends the doubt whether another member has webhooks: they are this one's.
func (d *Decider) Settled(all []inflight.RequestID) {
	if len(all) == 0 {
		return
	}
	d.x.Tell(func() {
		for _, of := range all {
			if w := d.parked[d.ids[of]]; w != nil && w.InDoubt {
				w.InDoubt = false
				d.frees(w.ID)
			}
		}
	})
}

// GiveUp ends what is in doubt and will not be settled: it may have run.
func (d *Decider) GiveUp(id api.WebhookID) {
	d.x.Tell(func() {
		if w := d.parked[id]; w != nil && w.InDoubt {
			d.unpark(id)
			d.DeadLetter(id)
		}
	})
}

// Returned takes what webhooks in doubt bring along from the member that had them, beside what is known here,
// and waits until that is written, if it could be: then they are to be Settled. What is held here no more has
// ended.
func (d *Decider) Returned(all map[inflight.RequestID]*inflight.Past) (written bool) {
	done := make(chan struct{})
	d.x.Tell(func() {
		for of, p := range all {
			id := d.ids[of]
			if e := d.journal.Entry(id); e != nil && d.parked[id] != nil {
				ran, zone := p.MayRun, p.Zone
				if ran == api.Never || e.MayRun != api.Never && e.MayRun < ran {
					ran, zone = e.MayRun, e.Zone
				}
				d.journal.Past(id, max(p.Attempts, e.Attempts), ran, zone)
			}
		}
		d.ends = append(d.ends, func() {
			written = !d.lost
			close(done)
		})
	})
	d.awaits(done)
	return written
}

// past journals what a webhook brings along from another member, beside what was taken.
func past(j *wal.Journal, w *inflight.Webhook) (attempts int, mayRun api.Micros,
	zone api.ZoneID) {
	if p := w.Past; p != nil {
		j.Past(w.ID, p.Attempts, p.MayRun, p.Zone)
	}
	e := j.Entry(w.ID)
	return e.Attempts, e.MayRun, e.Zone
}
