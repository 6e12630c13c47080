package eventloop

import (
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
	"rowanlink/webhook/dispatcher/wal"
)

// RecoveredIDs lists the request ids of what an earlier life still owes; before Begin only.
func (d *Loop) RecoveredIDs() (all []inflight.RequestID) {
	for _, e := range d.log.Entries() {
		if w, err := inflight.DecodeWebhook(e.ID, e.Payload); err == nil && !e.Finished {
			all = append(all, w.RequestID)
		}
	}
	return all
}

// PendingIDs lists the request ids of all that is held; it waits for the turn.
func (d *Loop) PendingIDs() (all []inflight.RequestID) {
	done := make(chan struct{})
	d.inbox.Post(func() {
		defer close(done)
		for _, w := range d.webhooks {
			all = append(all, w.RequestID)
		}
	})
	d.wait(done)
	return all
}

// MarkInDoubt marks what is still parked here, before it is offered to another member, and lists that: from then on
// nobody here calls for it before that is settled. true: it was in no doubt before. It waits for the turn.
func (d *Loop) MarkInDoubt(ids []api.WebhookID) map[api.WebhookID]bool {
	fresh, done := map[api.WebhookID]bool{}, make(chan struct{})
	d.inbox.Post(func() {
		defer close(done)
		for _, id := range ids {
			if w := d.parked[id]; w != nil && d.unanswered[id] == nil {
				fresh[id], w.InDoubt = !w.InDoubt, true
			}
		}
	})
	d.wait(done)
	return fresh
}

// FinishTransferred ends webhooks that another member has in its journal, and waits until that is written: nothing is
// owed for them here any more.
func (d *Loop) FinishTransferred(ids []api.WebhookID) {
	done := make(chan struct{})
	d.inbox.Post(func() {
		for _, id := range ids {
			if w := d.parked[id]; w != nil {
				d.unpark(id)
				w.Trace("passed", 0, 0)
				d.log.Finish(id, nil)
				d.remove(w)
			}
		}
		d.afterCommit = append(d.afterCommit, func() { close(done) })
	})
	d.wait(done)
}

// ResolveInDoubt ends the doubt whether another member has webhooks: they are this one's.
func (d *Loop) ResolveInDoubt(all []inflight.RequestID) {
	if len(all) == 0 {
		return
	}
	d.inbox.Post(func() {
		for _, of := range all {
			if w := d.parked[d.idOf[of]]; w != nil && w.InDoubt {
				w.InDoubt = false
				d.resumeParked(w.ID)
			}
		}
	})
}

// DeadLetterInDoubt ends what is in doubt and will not be settled: it may have run.
func (d *Loop) DeadLetterInDoubt(id api.WebhookID) {
	d.inbox.Post(func() {
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
	d.inbox.Post(func() {
		for of, p := range all {
			id := d.idOf[of]
			if e := d.log.Pending(id); e != nil && d.parked[id] != nil {
				ran, zone := p.MayHaveRunAt, p.Zone
				if ran == api.Never || e.MayHaveRunAt != api.Never && e.MayHaveRunAt < ran {
					ran, zone = e.MayHaveRunAt, e.Zone
				}
				d.log.SetPriorAttempts(id, max(p.Attempts, e.Attempts), ran, zone)
			}
		}
		d.afterCommit = append(d.afterCommit, func() {
			written = !d.commitFailed
			close(done)
		})
	})
	d.wait(done)
	return written
}

// logPriorAttempts journals what a webhook brings along from another member, beside what was taken.
func logPriorAttempts(j *wal.Log, w *inflight.Webhook) (attempts int, mayRun api.Micros,
	zone api.ZoneID) {
	if p := w.Prior; p != nil {
		j.SetPriorAttempts(w.ID, p.Attempts, p.MayHaveRunAt, p.Zone)
	}
	e := j.Pending(w.ID)
	return e.Attempts, e.MayHaveRunAt, e.Zone
}
