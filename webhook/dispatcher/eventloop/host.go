package eventloop

import (
	"log/slog"

	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/callback"
	"rowanlink/webhook/dispatcher/inflight"
	"rowanlink/webhook/dispatcher/upstream"
)

// Now is the time of the turn.
func (d *Decider) Now() api.Micros { return d.now }

func (d *Decider) StartAttempt(id api.WebhookID, ep api.EndpointID, patience, latest api.Micros) {
	if w := d.held[id]; w != nil {
		w.Step("attempt", ep, patience)
		d.out[id] = true
		d.attempts = append(d.attempts, attempt{ep, upstream.Try{Webhook: w, Patience: patience, Latest: latest}})
	}
}

func (d *Decider) CancelAttempt(id api.WebhookID, _ int) { d.cancels = append(d.cancels, id) }

// Reject hands a webhook back: by the answer where its client still waits for one, else by notice.
func (d *Decider) Reject(id api.WebhookID, advised api.Micros) {
	w := d.held[id]
	if w == nil {
		return
	}
	if d.fresh[id] != nil {
		delete(d.fresh, id)
		d.journal.End(id, nil)
		d.drop(w)
		d.ends = append(d.ends, func() { w.Answer(inflight.Rejected, advised) })
		return
	}
	if d.relayed(w, inflight.EndRejected, advised) {
		return
	}
	d.x.HandedBack.Add(1)
	d.witness(w, HandedBack)
	w.Step("handed_back", 0, advised)
	d.owe(w, callback.HandedBack(w.RequestID, advised))
}

func (d *Decider) DeadLetter(id api.WebhookID) {
	if w := d.held[id]; w != nil && !d.relayed(w, inflight.EndDeadLettered, 0) {
		d.x.GivenUp.Add(1)
		d.witness(w, DeadLettered)
		w.Step("dead_lettered", 0, 0)
		d.owe(w, callback.GivenUp(w.RequestID))
	}
}

func (d *Decider) owe(w *inflight.Webhook, notice []byte) {
	notice = d.named(w, notice)
	d.journal.End(w.ID, notice)
	d.drop(w)
	d.ends = append(d.ends, func() { d.finals.Owe(w.ID, notice) })
}

func (d *Decider) SetTimer(in api.Micros, timer api.TimerID) {
	d.dues.Add(int64(d.now+in), func() { d.module.TimerFired(timer) })
}

func (d *Decider) CloseIdleConnections(ep api.EndpointID) { d.hangUps = append(d.hangUps, ep) }

func (d *Decider) Log(text string) { slog.Info("module", "says", text) }
