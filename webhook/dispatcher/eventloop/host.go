package eventloop

import (
	"log/slog"

	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/callback"
	"rowanlink/webhook/dispatcher/inflight"
	"rowanlink/webhook/dispatcher/upstream"
)

// Now is the time of the turn.
func (d *Loop) Now() api.Micros { return d.now }

func (d *Loop) StartAttempt(id api.WebhookID, ep api.EndpointID, patience, latest api.Micros) {
	if w := d.held[id]; w != nil {
		w.Trace("attempt", ep, patience)
		d.out[id] = true
		d.attempts = append(d.attempts, attempt{ep, upstream.Attempt{Webhook: w, Timeout: patience, Latest: latest}})
	}
}

func (d *Loop) CancelAttempt(id api.WebhookID, _ int) { d.cancels = append(d.cancels, id) }

// Reject hands a webhook back: by the answer where its client still waits for one, else by notice.
func (d *Loop) Reject(id api.WebhookID, advised api.Micros) {
	w := d.held[id]
	if w == nil {
		return
	}
	if d.fresh[id] != nil {
		delete(d.fresh, id)
		d.journal.Finish(id, nil)
		d.drop(w)
		d.ends = append(d.ends, func() { w.Answer(inflight.Rejected, advised) })
		return
	}
	if d.relayed(w, inflight.StatusRejected, advised) {
		return
	}
	d.x.HandedBack.Add(1)
	d.witness(w, Rejected)
	w.Trace("handed_back", 0, advised)
	d.owe(w, callback.Rejected(w.RequestID, advised))
}

func (d *Loop) DeadLetter(id api.WebhookID) {
	if w := d.held[id]; w != nil && !d.relayed(w, inflight.StatusDeadLettered, 0) {
		d.x.GivenUp.Add(1)
		d.witness(w, DeadLettered)
		w.Trace("dead_lettered", 0, 0)
		d.owe(w, callback.DeadLettered(w.RequestID))
	}
}

func (d *Loop) owe(w *inflight.Webhook, notice []byte) {
	notice = d.named(w, notice)
	d.journal.Finish(w.ID, notice)
	d.drop(w)
	d.ends = append(d.ends, func() { d.finals.Enqueue(w.ID, notice) })
}

func (d *Loop) SetTimer(in api.Micros, timer api.TimerID) {
	d.dues.Add(int64(d.now+in), func() { d.module.TimerFired(timer) })
}

func (d *Loop) CloseIdleConnections(ep api.EndpointID) { d.hangUps = append(d.hangUps, ep) }

func (d *Loop) Log(text string) { slog.Info("module", "says", text) }
