package eventloop

import (
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// admit takes a submitted webhook through the admission checks; the last one accepts it.
func (l *Loop) admit(w *inflight.Webhook) {
	for _, check := range l.admission {
		if !check(w) {
			return
		}
	}
}

// reject answers for a webhook that is not accepted. One that another member may have is neither rejected nor accepted.
func (l *Loop) reject(w *inflight.Webhook) {
	if w.MustKeep {
		w.Answer(inflight.Undetermined, 0)
	} else {
		w.Answer(inflight.Rejected, 0)
	}
}

// admitInTime rejects webhooks whose client no longer waits, and all when none is accepted any more. One that another
// member may have is kept nevertheless: nobody else would resolve it.
func (l *Loop) admitInTime(w *inflight.Webhook) bool {
	if w.MustKeep {
		return true
	}
	if !l.lifecycle.AcceptsWebhooks() || l.now-w.ReceivedAt > inflight.AnswerTimeout {
		w.Answer(inflight.Rejected, 0)
		return false
	}
	return true
}

// admitWithinBuffer rejects webhooks while the buffer is full, except those that must be kept: there are no more of these
// than clients' connections.
func (l *Loop) admitWithinBuffer(w *inflight.Webhook) bool {
	if len(l.webhooks) >= l.settings.BufferSize && !w.MustKeep {
		w.Answer(inflight.Rejected, 0)
		return false
	}
	return true
}

// admitOnce refuses a webhook whose request id is pending already.
func (l *Loop) admitOnce(w *inflight.Webhook) bool {
	if _, pending := l.idOf[w.RequestID]; pending {
		w.Answer(inflight.Duplicate, 0)
		return false
	}
	return true
}

// acceptWebhook logs the webhook and passes it to the policy.
func (l *Loop) acceptWebhook(w *inflight.Webhook) bool {
	w.ID = l.nextID
	if err := l.logAccepted(w); err != nil {
		l.inbox.LogErrors.Add(1)
		l.reject(w)
		return false
	}
	l.nextID++
	l.add(w)
	l.unanswered[w.ID] = w
	l.accepted = append(l.accepted, w.ID)
	l.begin(w, l.logPriorAttempts(w))
	return true
}

// logAccepted logs a webhook with its event type's name: by the index alone the next incarnation, whose settings may have
// another event type there, could retry a webhook that must not be retried.
func (l *Loop) logAccepted(w *inflight.Webhook) error {
	err := l.log.Accept(w.ID, w.Encode())
	if err == nil && int(w.EventType) < len(l.eventTypes) {
		l.log.SetEventType(w.ID, l.eventTypes[w.EventType])
	}
	return err
}

// logPriorAttempts logs the attempts that another member made for a webhook just accepted.
func (l *Loop) logPriorAttempts(w *inflight.Webhook) api.PriorAttempts {
	if prior := w.Prior; prior != nil {
		l.log.SetPriorAttempts(w.ID, prior.Attempts, prior.MayHaveRunAt, prior.Zone)
	}
	return priorAttempts(l.log.Pending(w.ID))
}
