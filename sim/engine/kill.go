package engine

import (
	"maps"
	"slices"

	eventpkg "rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// kill ends a dispatcher outright. With its journal, all that is not over is its own again at the next start;
// without, clients hand in again what may be repeated, once they notice.
func (m *Model) kill(d *dispatcher, t *Trouble) {
	if !d.up {
		return
	}
	if t.InTurn && !d.muted {
		d.killInTurn = t
		return
	}
	back := m.now + t.For.us()
	e := eventpkg.Event{At: m.now, Kind: eventpkg.Killed, Dispatcher: d.number, Until: back}
	if !t.Journal && t.Kind != "restart" {
		e.Final = eventpkg.StateLost
	}
	m.Bus.Emit(e)
	d.up, d.unseenUntil = false, m.now+m.plan.Clients.Notice.us()
	if t.Kind == "restart" {
		d.unseenUntil = m.now
	}
	// What waited for a turn was handed in, but never answered: its clients come again.
	for _, n := range d.inbox {
		if n.kind == newsTake && n.offer == none {
			m.unanswered(n.id, d)
		} else if n.kind == newsTake {
			m.homes.unanswered(d, n)
		}
	}
	if m.homes != nil {
		m.homes.dies(d, t)
	}
	// Guards repeatability: what is held is walked in its order, never a map's.
	ids := slices.Sorted(maps.Keys(d.held))
	for _, id := range ids {
		h := d.held[id]
		if h.call >= 0 && h.mayRun == never {
			h.mayRun, h.zone = h.sentAt, h.sentZone
		}
	}
	for i := range m.calls {
		if k := &m.calls[i]; k.d == d.number && k.at != callFree && k.at != callClosed {
			m.hangUp(int32(i))
		}
	}
	for _, e := range slices.Sorted(maps.Keys(d.links)) {
		d.CloseIdleConnections(idOf(e))
	}
	for _, id := range ids {
		h := d.held[id]
		h.call = -1
		switch {
		case h.ended:
		case h.unsaid && !t.Journal: // who sent it here still has it
			m.Bus.Emit(m.about(eventpkg.Finished, d, h, eventpkg.Event{Final: eventpkg.StateLost}))
			m.close(h.origin)
		case t.Journal || t.Kind == "restart":
			d.kept = append(d.kept, h)
		default:
			h.ended = true
			m.Bus.Emit(m.about(eventpkg.Finished, d, h, eventpkg.Event{Final: eventpkg.StateLost}))
			o := &m.origins[h.origin]
			evt := &m.plan.Events[o.evt]
			again := h.mayRun == never || evt.Repeat == "idempotent" ||
				evt.Repeat == "tokened" && !evt.ByZone && m.now+m.plan.Clients.Notice.us() < h.mayRun+evt.Window.us()
			if !again || m.now+m.plan.Clients.Notice.us() >= o.ttl {
				m.close(h.origin)
				continue
			}
			m.after(m.plan.Clients.Notice.us(), event{kind: evHandIn, a: h.origin})
		}
	}
	d.held, d.inbox, d.module = map[api.WebhookID]*held{}, nil, nil
	m.after(t.For.us(), event{kind: evStart, a: d.number})
}

// killMuted ends a dispatcher in the turn that it is in: its journal is written, but nothing of that turn has
// left, neither answers nor calls.
func (m *Model) killMuted(d *dispatcher) {
	t := d.killInTurn
	for _, k := range d.made {
		for _, i := range m.calls[k].items {
			i.h.call = -1
			if i.h.mayRun == never { // the journal can't tell that it never left
				i.h.mayRun, i.h.zone = i.h.sentAt, i.h.sentZone
			}
		}
		m.drop(k)
	}
	took := slices.Clone(d.tookInTurn)
	d.made = d.made[:0]
	if !t.Journal {
		for _, h := range took { // died with its dispatcher before its client heard: not a dead one's to hand on
			h.mayRun = never
		}
	}
	m.kill(d, t)
	if t.Journal {
		for _, h := range took {
			if !h.unsaid {
				m.unheard(h.origin)
			}
		}
	}
}
