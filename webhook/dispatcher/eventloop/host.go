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
	if w := d.webhooks[id]; w != nil {
		w.Trace("attempt", ep, patience)
		d.inFlight[id] = true
		d.attempts = append(d.attempts, attempt{ep, upstream.Attempt{Webhook: w, Timeout: patience, Latest: latest}})
	}
}

func (d *Loop) CancelAttempt(id api.WebhookID, _ int) { d.cancels = append(d.cancels, id) }

// Reject hands a webhook back: by the answer where its client still waits for one, else by notice.
func (d *Loop) Reject(id api.WebhookID, advised api.Micros) {
	w := d.webhooks[id]
	if w == nil {
		return
	}
	if d.unanswered[id] != nil {
		delete(d.unanswered, id)
		d.log.Finish(id, nil)
		d.remove(w)
		d.afterCommit = append(d.afterCommit, func() { w.Answer(inflight.Rejected, advised) })
		return
	}
	if d.notifyResult(w, inflight.StatusRejected, advised) {
		return
	}
	d.inbox.HandedBack.Add(1)
	d.notifyEnded(w, Rejected)
	w.Trace("handed_back", 0, advised)
	d.enqueueCallback(w, callback.Rejected(w.RequestID, advised))
}

func (d *Loop) DeadLetter(id api.WebhookID) {
	if w := d.webhooks[id]; w != nil && !d.notifyResult(w, inflight.StatusDeadLettered, 0) {
		d.inbox.GivenUp.Add(1)
		d.notifyEnded(w, DeadLettered)
		w.Trace("dead_lettered", 0, 0)
		d.enqueueCallback(w, callback.DeadLettered(w.RequestID))
	}
}

func (d *Loop) enqueueCallback(w *inflight.Webhook, notice []byte) {
	notice = d.nameSubscriber(w, notice)
	d.log.Finish(w.ID, notice)
	d.remove(w)
	d.afterCommit = append(d.afterCommit, func() { d.callbacks.Enqueue(w.ID, notice) })
}

func (d *Loop) SetTimer(in api.Micros, timer api.TimerID) {
	d.timers.Add(int64(d.now+in), func() { d.policy.TimerFired(timer) })
}

func (d *Loop) CloseIdleConnections(ep api.EndpointID) { d.idleToClose = append(d.idleToClose, ep) }

func (d *Loop) Log(text string) { slog.Info("module", "says", text) }
