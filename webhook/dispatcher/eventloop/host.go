package eventloop

import (
	"log/slog"

	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/callback"
	"rowanlink/webhook/dispatcher/inflight"
	"rowanlink/webhook/dispatcher/upstream"
)

var _ api.Host = (*Loop)(nil)

// Now implements api.Host: it returns the time at which the turn began.
func (l *Loop) Now() api.Micros { return l.now }

// StartAttempt implements api.Host: the call is made at the end of the turn.
func (l *Loop) StartAttempt(id api.WebhookID, endpoint api.EndpointID, timeout, latest api.Micros) {
	w := l.webhooks[id]
	if w == nil {
		return
	}
	w.Trace("attempt", endpoint, timeout)
	l.inFlight[id] = true
	l.attempts = append(l.attempts, attempt{
		endpoint: endpoint,
		Attempt:  upstream.Attempt{Webhook: w, Timeout: timeout, Latest: latest},
	})
}

// CancelAttempt implements api.Host.
func (l *Loop) CancelAttempt(id api.WebhookID, _ int) { l.cancels = append(l.cancels, id) }

// Reject implements api.Host: it rejects by the answer if the client still waits for one, else by callback.
func (l *Loop) Reject(id api.WebhookID, retryAfter api.Micros) {
	w := l.webhooks[id]
	if w == nil {
		return
	}
	if l.unanswered[id] != nil {
		delete(l.unanswered, id)
		l.log.Finish(id, nil)
		l.remove(w)
		l.afterCommit = append(l.afterCommit, func() { w.Answer(inflight.Rejected, retryAfter) })
		return
	}
	if l.notifyResult(w, inflight.StatusRejected, retryAfter) {
		return
	}
	l.inbox.RejectedByCallback.Add(1)
	l.observeEnd(w, Rejected)
	w.Trace("rejected", 0, retryAfter)
	l.enqueueCallback(w, callback.Rejected(w.RequestID, retryAfter))
}

// DeadLetter implements api.Host: it is reported by callback.
func (l *Loop) DeadLetter(id api.WebhookID) {
	w := l.webhooks[id]
	if w == nil || l.notifyResult(w, inflight.StatusDeadLettered, 0) {
		return
	}
	l.inbox.DeadLettered.Add(1)
	l.observeEnd(w, DeadLettered)
	w.Trace("dead_lettered", 0, 0)
	l.enqueueCallback(w, callback.DeadLettered(w.RequestID))
}

// enqueueCallback finishes a webhook, and enqueues its callback once the log is written.
func (l *Loop) enqueueCallback(w *inflight.Webhook, line []byte) {
	line = l.nameSubscriber(w, line)
	l.log.Finish(w.ID, line)
	l.remove(w)
	l.afterCommit = append(l.afterCommit, func() { l.callbacks.Enqueue(w.ID, line) })
}

// SetTimer implements api.Host.
func (l *Loop) SetTimer(after api.Micros, timer api.TimerID) {
	l.timers.Add(int64(l.now+after), func() { l.policy.TimerFired(timer) })
}

// CloseIdleConnections implements api.Host: they are closed at the end of the turn.
func (l *Loop) CloseIdleConnections(endpoint api.EndpointID) {
	l.idleToClose = append(l.idleToClose, endpoint)
}

// Log implements api.Host.
func (l *Loop) Log(text string) { slog.Info("policy", "event", text) }
