package eventloop

import (
	"log/slog"

	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// selectPending lists what is held of those named.
func selectPending[V any](d *Loop, named map[inflight.RequestID]V) map[inflight.RequestID]*inflight.Webhook {
	all := map[inflight.RequestID]*inflight.Webhook{}
	for of := range named {
		if w := d.webhooks[d.idOf[of]]; w != nil {
			all[of] = w
		}
	}
	return all
}

// HandToRelay gives webhooks that are parked here away: until Frees or Over nobody here calls for them, and from
// at on each may have run. Each comes with the attempts that it is given away with. False: nothing was done,
// as one is parked here no more, was called for here meanwhile, or it can't be written.
func (d *Loop) HandToRelay(all map[inflight.RequestID]int, at api.Micros) (ok bool) {
	d.runInTurn(func() {
		of := selectPending(d, all)
		if len(of) < len(all) {
			return
		}
		ran := map[inflight.RequestID]bool{}
		for id, w := range of {
			e := d.log.Pending(w.ID)
			if e == nil || d.parked[w.ID] == nil || w.InDoubt || e.Attempts != all[id] {
				return
			}
			ran[id] = e.MayHaveRunAt != api.Never
		}
		for id, w := range of {
			w.InDoubt, w.AtRelay = true, true
			e, since := d.log.Pending(w.ID), at
			if ran[id] {
				since = e.MayHaveRunAt
			}
			// It counts as an attempt: without one the module does not ask whether it may have run.
			d.log.SetPriorAttempts(w.ID, e.Attempts+1, since, e.Zone)
		}
		if err := d.log.Commit(); err != nil {
			slog.Error("journal not written", "err", err)
			for id, w := range of {
				d.clearInDoubt(w, TakenBack{NeverReceived: true, MayHaveRun: ran[id]})
			}
			return
		}
		ok = true
	})
	return ok
}

// TakenBack is what is known of a webhook that was given away and comes back.
type TakenBack struct {
	NeverReceived bool // it was never taken there, and never will be
	MayHaveRun    bool // it may have run before it was given away
}

func (d *Loop) clearInDoubt(w *inflight.Webhook, b TakenBack) {
	w.InDoubt, w.AtRelay = false, false
	e := d.log.Pending(w.ID)
	if e == nil || !b.NeverReceived || e.MayHaveRunAt == api.Never {
		return
	}
	if b.MayHaveRun {
		d.log.SetPriorAttempts(w.ID, e.Attempts-1, e.MayHaveRunAt, e.Zone)
	} else {
		d.log.SetPriorAttempts(w.ID, e.Attempts-1, api.Never, 0)
	}
}

// TakeBack takes webhooks back that were given away.
func (d *Loop) TakeBack(all map[inflight.RequestID]TakenBack) {
	d.runInTurn(func() {
		for id, w := range selectPending(d, all) {
			if w.InDoubt && d.parked[w.ID] != nil {
				d.clearInDoubt(w, all[id])
			}
		}
		d.reevaluate()
	})
}

// awaitsRelay guards against two ends: what was given away has a while after its time for the word of whoever
// has it, who ends it in time. It tells whether that is still to come.
func (d *Loop) awaitsRelay(w *inflight.Webhook) bool {
	until := w.Deadline + inflight.AnswerTimeout
	if !w.AtRelay || d.now >= until {
		return false
	}
	d.timers.Add(int64(until), func() { d.expire(w.ID) })
	return true
}

// RestoreAtRelay is for webhooks of an earlier life that were given away then, before anybody here calls for them.
func (d *Loop) RestoreAtRelay(ids []inflight.RequestID) {
	want := toSet(ids)
	d.runInTurn(func() {
		for _, w := range selectPending(d, want) {
			w.InDoubt, w.AtRelay = true, true
			if d.parked[w.ID] == nil {
				d.policy.Withdraw(w.ID)
				d.park(w)
			}
		}
	})
}

// FinishByRelay ends webhooks by the word of whoever they were given to, and tells whether that is written. What is
// not held any more is over. What is called for here, since that one was out of reach, ends so only by a
// success.
func (d *Loop) FinishByRelay(all []inflight.Result) (written bool) {
	how := map[inflight.RequestID]inflight.Result{}
	for _, e := range all {
		how[e.RequestID] = e
	}
	d.runInTurn(func() {
		for id, w := range selectPending(d, how) {
			e := how[id]
			if d.inFlight[w.ID] || !w.InDoubt && e.Status != inflight.StatusDelivered {
				continue
			}
			if d.parked[w.ID] == nil {
				d.policy.Withdraw(w.ID)
			}
			d.unpark(w.ID)
			w.Trace("over_elsewhere", 0, api.Micros(e.Status))
			switch e.Status {
			case inflight.StatusDelivered:
				d.log.Finish(w.ID, nil)
				d.remove(w)
			case inflight.StatusRejected:
				d.Reject(w.ID, e.RetryAfter)
			default:
				d.DeadLetter(w.ID)
			}
		}
		err := d.log.Commit()
		if written = err == nil; err != nil {
			slog.Error("journal not written", "err", err)
		}
		d.reevaluate()
	})
	return written
}

func toSet(ids []inflight.RequestID) map[inflight.RequestID]bool {
	all := map[inflight.RequestID]bool{}
	for _, id := range ids {
		all[id] = true
	}
	return all
}
