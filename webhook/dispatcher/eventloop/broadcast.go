package eventloop

import (
	"log/slog"

	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// SubmitBroadcast accepts all webhooks of a broadcast or none, in one write. It waits for a turn; it may be called from
// any goroutine.
func (l *Loop) SubmitBroadcast(all []*inflight.Webhook) (answer inflight.Answer) {
	l.runInTurn(func() { answer = l.submitBroadcast(all) })
	return answer
}

func (l *Loop) submitBroadcast(all []*inflight.Webhook) inflight.Answer {
	if !l.admitsBroadcast(all) {
		return inflight.Rejected
	}
	for _, w := range all {
		if _, pending := l.idOf[w.RequestID]; pending {
			return inflight.Duplicate
		}
	}
	if err := l.logBroadcast(all); err != nil {
		slog.Error("broadcast not written", "webhooks", len(all), "err", err)
		l.inbox.LogErrors.Add(1)
		return inflight.Rejected
	}
	for _, w := range all {
		l.add(w)
	}
	for _, w := range all {
		l.begin(w, api.PriorAttempts{MayHaveRunAt: api.Never})
	}
	return inflight.Accepted
}

func (l *Loop) admitsBroadcast(all []*inflight.Webhook) bool {
	if !l.lifecycle.AcceptsWebhooks() || len(all) == 0 {
		return false
	}
	inTime := l.now-all[0].ReceivedAt <= inflight.AnswerTimeout
	return inTime && len(l.webhooks)+len(all) <= l.settings.BufferSize
}

// logBroadcast writes all webhooks, or takes back what was recorded of them.
func (l *Loop) logBroadcast(all []*inflight.Webhook) error {
	recorded := 0
	var err error
	for ; recorded < len(all) && err == nil; recorded++ {
		all[recorded].ID = l.nextID
		l.nextID++
		err = l.logAccepted(all[recorded])
	}
	if err == nil {
		err = l.log.Commit()
	}
	if err != nil {
		for _, w := range all[:recorded] {
			l.log.Undo(w.ID)
		}
	}
	return err
}
