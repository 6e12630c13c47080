package engine

import (
	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// finishWebhook closes a webhook's stay here; its client may come again after a rejection.
func (m *Simulation) finishWebhook(d *dispatcher, h *webhook, how event.FinalStatus, advised api.Micros) {
	h.finished = true
	d.openWebhooks--
	if d.member != nil {
		delete(d.member.parked, h.id)
	}
	o := &m.requests[h.request]
	m.Bus.Emit(m.webhookEvent(event.Finished, d, h, event.Event{Final: how, Duration: m.now - o.submittedAt}))
	if h.call < 0 {
		delete(d.webhooks, h.id)
	}
	switch how {
	case event.Rejected:
		m.scheduleResubmission(h.request, advised)
	default:
		m.closeCopy(h.request)
	}
}
