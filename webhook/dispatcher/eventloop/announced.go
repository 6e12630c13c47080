package eventloop

import (
	"log/slog"

	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// inTurn has something done in the next turn and waits for it.
func (d *Loop) inTurn(do func()) {
	done := make(chan struct{})
	d.x.Post(func() {
		defer close(done)
		do()
	})
	d.awaits(done)
}

// SubmitBroadcast takes all webhooks of an announcement on or none, in one write.
func (d *Loop) SubmitBroadcast(all []*inflight.Webhook) (what inflight.Answer) {
	d.inTurn(func() { what = d.announce(all) })
	return what
}

func (d *Loop) announce(all []*inflight.Webhook) inflight.Answer {
	if !d.life.AcceptsWebhooks() || len(all) == 0 || d.now-all[0].ReceivedAt > inflight.AnswerTimeout ||
		len(d.held)+len(all) > d.facts.BufferSize {
		return inflight.Rejected
	}
	for _, w := range all {
		if _, held := d.ids[w.RequestID]; held {
			return inflight.Duplicate
		}
	}
	n := 0
	var err error
	for ; n < len(all) && err == nil; n++ {
		all[n].ID = d.nextID
		d.nextID++
		err = d.accept(all[n])
	}
	if err == nil {
		err = d.journal.Commit()
	}
	if err != nil {
		slog.Error("announcement not written", "webhooks", len(all), "err", err)
		d.x.JournalErrors.Add(1)
		for _, w := range all[:n] {
			d.journal.Undo(w.ID)
		}
		return inflight.Rejected
	}
	for _, w := range all {
		d.held[w.ID], d.ids[w.RequestID] = w, w.ID
	}
	for _, w := range all {
		d.begins(w, 0, api.Never, 0)
	}
	return inflight.Accepted
}

// NotifyInsteadOfPlatform has somebody told of the ends of webhooks of an earlier life, in place of the platform. It tells
// what those have ended with by now, and of the others which are held.
func (d *Loop) NotifyInsteadOfPlatform(ids []inflight.RequestID, ends func(api.WebhookID,
	inflight.Result)) (over map[api.WebhookID]inflight.Result, held map[inflight.RequestID]bool) {
	want := setOf(ids)
	over, held = map[api.WebhookID]inflight.Result{}, map[inflight.RequestID]bool{}
	d.inTurn(func() {
		for id, w := range byID(d, want) {
			w.OnFinished, held[id] = ends, true
		}
		for id, e := range d.told {
			if want[id] {
				over[e.id] = e.Result
			} else { // its owner has heard it
				d.journal.CallbackDelivered(e.id)
			}
		}
		d.told = nil
		d.regate()
	})
	return over, held
}
