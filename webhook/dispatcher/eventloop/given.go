package eventloop

import (
	"log/slog"

	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// byID lists what is held of those named.
func byID[V any](d *Decider, named map[inflight.RequestID]V) map[inflight.RequestID]*inflight.Webhook {
	all := map[inflight.RequestID]*inflight.Webhook{}
	for of := range named {
		if w := d.held[d.ids[of]]; w != nil {
			all[of] = w
		}
	}
	return all
}

// Sends gives webhooks that are parked here away: until Frees or Over nobody here calls for them, and from
// at on each may have run. Each comes with the attempts that it is given away with. False: nothing was done,
// as one is parked here no more, was called for here meanwhile, or it can't be written.
func (d *Decider) Sends(all map[inflight.RequestID]int, at api.Micros) (ok bool) {
	d.inTurn(func() {
		of := byID(d, all)
		if len(of) < len(all) {
			return
		}
		ran := map[inflight.RequestID]bool{}
		for id, w := range of {
			e := d.journal.Entry(w.ID)
			if e == nil || d.parked[w.ID] == nil || w.InDoubt || e.Attempts != all[id] {
				return
			}
			ran[id] = e.MayRun != api.Never
		}
		for id, w := range of {
			w.InDoubt, w.Given = true, true
			e, since := d.journal.Entry(w.ID), at
			if ran[id] {
				since = e.MayRun
			}
			// It counts as an attempt: without one the module does not ask whether it may have run.
			d.journal.Past(w.ID, e.Attempts+1, since, e.Zone)
		}
		if err := d.journal.Commit(); err != nil {
			slog.Error("journal not written", "err", err)
			for id, w := range of {
				d.free(w, Back{Never: true, Ran: ran[id]})
			}
			return
		}
		ok = true
	})
	return ok
}

// Back is what is known of a webhook that was given away and comes back.
type Back struct {
	Never bool // it was never taken there, and never will be
	Ran   bool // it may have run before it was given away
}

func (d *Decider) free(w *inflight.Webhook, b Back) {
	w.InDoubt, w.Given = false, false
	e := d.journal.Entry(w.ID)
	if e == nil || !b.Never || e.MayRun == api.Never {
		return
	}
	if b.Ran {
		d.journal.Past(w.ID, e.Attempts-1, e.MayRun, e.Zone)
	} else {
		d.journal.Past(w.ID, e.Attempts-1, api.Never, 0)
	}
}

// Frees takes webhooks back that were given away.
func (d *Decider) Frees(all map[inflight.RequestID]Back) {
	d.inTurn(func() {
		for id, w := range byID(d, all) {
			if w.InDoubt && d.parked[w.ID] != nil {
				d.free(w, all[id])
			}
		}
		d.regate()
	})
}

// lastWord guards against two ends: what was given away has a while after its time for the word of whoever
// has it, who ends it in time. It tells whether that is still to come.
func (d *Decider) lastWord(w *inflight.Webhook) bool {
	until := w.TTL + inflight.AnswerWithin
	if !w.Given || d.now >= until {
		return false
	}
	d.dues.Add(int64(until), func() { d.expire(w.ID) })
	return true
}

// GivenAway is for webhooks of an earlier life that were given away then, before anybody here calls for them.
func (d *Decider) GivenAway(ids []inflight.RequestID) {
	want := setOf(ids)
	d.inTurn(func() {
		for _, w := range byID(d, want) {
			w.InDoubt, w.Given = true, true
			if d.parked[w.ID] == nil {
				d.module.Withdraw(w.ID)
				d.park(w)
			}
		}
	})
}

// Over ends webhooks by the word of whoever they were given to, and tells whether that is written. What is
// not held any more is over. What is called for here, since that one was out of reach, ends so only by a
// success.
func (d *Decider) Over(all []inflight.End) (written bool) {
	how := map[inflight.RequestID]inflight.End{}
	for _, e := range all {
		how[e.RequestID] = e
	}
	d.inTurn(func() {
		for id, w := range byID(d, how) {
			e := how[id]
			if d.out[w.ID] || !w.InDoubt && e.How != inflight.EndDelivered {
				continue
			}
			if d.parked[w.ID] == nil {
				d.module.Withdraw(w.ID)
			}
			d.unpark(w.ID)
			w.Step("over_elsewhere", 0, api.Micros(e.How))
			switch e.How {
			case inflight.EndDelivered:
				d.journal.End(w.ID, nil)
				d.drop(w)
			case inflight.EndRejected:
				d.Reject(w.ID, e.RetryIn)
			default:
				d.DeadLetter(w.ID)
			}
		}
		err := d.journal.Commit()
		if written = err == nil; err != nil {
			slog.Error("journal not written", "err", err)
		}
		d.regate()
	})
	return written
}

func setOf(ids []inflight.RequestID) map[inflight.RequestID]bool {
	all := map[inflight.RequestID]bool{}
	for _, id := range ids {
		all[id] = true
	}
	return all
}
