package engine

import (
	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// finishWebhook closes a webhook's stay here; its client may come again after a rejection.
func (m *Simulation) finishWebhook(d *dispatcher, w *webhook, how event.FinalStatus, retryAfter api.Micros) {
	w.finished = true
	d.openWebhooks--
	if d.member != nil {
		delete(d.member.parked, w.id)
	}
	request := &m.requests[w.request]
	m.Bus.Emit(m.webhookEvent(event.Finished, d, w, event.Event{Final: how, Duration: m.now - request.submittedAt}))
	if w.call < 0 {
		delete(d.webhooks, w.id)
	}
	switch how {
	case event.Rejected:
		m.scheduleResubmission(w.request, retryAfter)
	default:
		m.closeCopy(w.request)
	}
}
