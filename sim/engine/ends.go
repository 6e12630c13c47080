package engine

import (
	eventpkg "rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// end closes a webhook's stay here; its client may come again after a rejection.
func (m *Model) end(d *dispatcher, h *held, how eventpkg.FinalStatus, advised api.Micros) {
	h.ended = true
	d.open--
	if d.member != nil {
		delete(d.member.parked, h.id)
	}
	o := &m.origins[h.origin]
	m.Bus.Emit(m.about(eventpkg.Finished, d, h, eventpkg.Event{Final: how, Duration: m.now - o.cameAt}))
	if h.call < 0 {
		delete(d.held, h.id)
	}
	switch how {
	case eventpkg.Rejected:
		m.comeAgain(h.origin, advised)
	default:
		m.close(h.origin)
	}
}
