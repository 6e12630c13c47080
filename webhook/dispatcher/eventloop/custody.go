package eventloop

import (
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
	"rowanlink/webhook/dispatcher/wal"
)

// RecoveredIDs lists the request ids of what an earlier life still owes; before Begin only.
func (d *Loop) RecoveredIDs() (all []inflight.RequestID) {
	for _, e := range d.journal.Entries() {
		if w, err := inflight.DecodeWebhook(e.ID, e.Payload); err == nil && !e.Finished {
			all = append(all, w.RequestID)
		}
	}
	return all
}

// PendingIDs lists the request ids of all that is held; it waits for the turn.
func (d *Loop) PendingIDs() (all []inflight.RequestID) {
	done := make(chan struct{})
	d.x.Post(func() {
		defer close(done)
		for _, w := range d.held {
			all = append(all, w.RequestID)
		}
	})
	d.awaits(done)
	return all
}

// MarkInDoubt marks what is still parked here, before it is offered to another member, and lists that: from then on
// nobody here calls for it before that is settled. true: it was in no doubt before. It waits for the turn.
func (d *Loop) MarkInDoubt(ids []api.WebhookID) map[api.WebhookID]bool {
	fresh, done := map[api.WebhookID]bool{}, make(chan struct{})
	d.x.Post(func() {
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

// FinishTransferred ends webhooks that another member has in its journal, and waits until that is written: nothing is
// owed for them here any more.
func (d *Loop) FinishTransferred(ids []api.WebhookID) {
	done := make(chan struct{})
	d.x.Post(func() {
		for _, id := range ids {
			if w := d.parked[id]; w != nil {
				d.unpark(id)
				w.Trace("passed", 0, 0)
				d.journal.Finish(id, nil)
				d.drop(w)
			}
		}
		d.ends = append(d.ends, func() { close(done) })
	})
	d.awaits(done)
}

// ResolveInDoubt ends the doubt whether another member has webhooks: they are this one's.
func (d *Loop) ResolveInDoubt(all []inflight.RequestID) {
	if len(all) == 0 {
		return
	}
	d.x.Post(func() {
		for _, of := range all {
			if w := d.parked[d.ids[of]]; w != nil && w.InDoubt {
				w.InDoubt = false
				d.frees(w.ID)
			}
		}
	})
}

// DeadLetterInDoubt ends what is in doubt and will not be settled: it may have run.
func (d *Loop) DeadLetterInDoubt(id api.WebhookID) {
	d.x.Post(func() {
		if w := d.parked[id]; w != nil && w.InDoubt {
			d.unpark(id)
			d.DeadLetter(id)
		}
	})
}

// MergePriorAttempts takes what webhooks in doubt bring along from the member that had them, beside what is known here,
// and waits until that is written, if it could be: then they are to be Settled. What is held here no more has
// ended.
func (d *Loop) MergePriorAttempts(all map[inflight.RequestID]*inflight.PriorAttempts) (written bool) {
	done := make(chan struct{})
	d.x.Post(func() {
		for of, p := range all {
			id := d.ids[of]
			if e := d.journal.Pending(id); e != nil && d.parked[id] != nil {
				ran, zone := p.MayHaveRunAt, p.Zone
				if ran == api.Never || e.MayHaveRunAt != api.Never && e.MayHaveRunAt < ran {
					ran, zone = e.MayHaveRunAt, e.Zone
				}
				d.journal.SetPriorAttempts(id, max(p.Attempts, e.Attempts), ran, zone)
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
func past(j *wal.Log, w *inflight.Webhook) (attempts int, mayRun api.Micros,
	zone api.ZoneID) {
	if p := w.Prior; p != nil {
		j.SetPriorAttempts(w.ID, p.Attempts, p.MayHaveRunAt, p.Zone)
	}
	e := j.Pending(w.ID)
	return e.Attempts, e.MayHaveRunAt, e.Zone
}
