package eventloop

import (
	"log/slog"

	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// runInTurn has something done in the next turn and waits for it.
func (d *Loop) runInTurn(do func()) {
	done := make(chan struct{})
	d.inbox.Post(func() {
		defer close(done)
		do()
	})
	d.wait(done)
}

// SubmitBroadcast takes all webhooks of an announcement on or none, in one write.
func (d *Loop) SubmitBroadcast(all []*inflight.Webhook) (what inflight.Answer) {
	d.runInTurn(func() { what = d.submitBroadcast(all) })
	return what
}

func (d *Loop) submitBroadcast(all []*inflight.Webhook) inflight.Answer {
	if !d.lifecycle.AcceptsWebhooks() || len(all) == 0 || d.now-all[0].ReceivedAt > inflight.AnswerTimeout ||
		len(d.webhooks)+len(all) > d.settings.BufferSize {
		return inflight.Rejected
	}
	for _, w := range all {
		if _, held := d.idOf[w.RequestID]; held {
			return inflight.Duplicate
		}
	}
	n := 0
	var err error
	for ; n < len(all) && err == nil; n++ {
		all[n].ID = d.nextID
		d.nextID++
		err = d.logAccepted(all[n])
	}
	if err == nil {
		err = d.log.Commit()
	}
	if err != nil {
		slog.Error("announcement not written", "webhooks", len(all), "err", err)
		d.inbox.JournalErrors.Add(1)
		for _, w := range all[:n] {
			d.log.Undo(w.ID)
		}
		return inflight.Rejected
	}
	for _, w := range all {
		d.webhooks[w.ID], d.idOf[w.RequestID] = w, w.ID
	}
	for _, w := range all {
		d.begin(w, 0, api.Never, 0)
	}
	return inflight.Accepted
}

// NotifyInsteadOfPlatform has somebody told of the ends of webhooks of an earlier life, in place of the platform. It tells
// what those have ended with by now, and of the others which are held.
func (d *Loop) NotifyInsteadOfPlatform(ids []inflight.RequestID, ends func(api.WebhookID,
	inflight.Result)) (over map[api.WebhookID]inflight.Result, held map[inflight.RequestID]bool) {
	want := toSet(ids)
	over, held = map[api.WebhookID]inflight.Result{}, map[inflight.RequestID]bool{}
	d.runInTurn(func() {
		for id, w := range selectPending(d, want) {
			w.OnFinished, held[id] = ends, true
		}
		for id, e := range d.recoveredResults {
			if want[id] {
				over[e.id] = e.Result
			} else { // its owner has heard it
				d.log.CallbackDelivered(e.id)
			}
		}
		d.recoveredResults = nil
		d.reevaluate()
	})
	return over, held
}
