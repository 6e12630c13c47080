package engine

import (
	"slices"

	eventpkg "rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// trouble begins a trouble or ends it. What holds at an endpoint is counted by sort, so that troubles overlap
// and may end in any order.
func (m *Model) trouble(n int32, begins bool) {
	t := &m.plan.Troubles[n]
	if begins && t.For > 0 && t.Kind != "kill" && t.Kind != "restart" {
		m.after(t.For.us(), event{kind: evOver, a: n})
	}
	switch t.Kind {
	case "kill":
		for _, i := range t.Dispatchers {
			m.dispatchers[i].startsStale = t.Stale.us()
			m.kill(&m.dispatchers[i], t)
		}
	case "restart":
		for _, i := range t.Dispatchers {
			m.dispatchers[i].leaving, m.dispatchers[i].startsStale = true, t.Stale.us()
			m.after(t.Drain.us(), event{kind: evKill, a: int32(i), b: n})
		}
	case "freeze":
		for _, i := range t.Dispatchers {
			if d := &m.dispatchers[i]; begins && d.up {
				d.frozenUntil = max(d.frozenUntil, m.now+t.For.us())
				m.Bus.Emit(eventpkg.Event{At: m.now, Kind: eventpkg.Paused, Dispatcher: d.number, Duration: t.For.us()})
			}
		}
	case "list_late":
		for _, i := range t.Dispatchers {
			by := t.Delay.us()
			if !begins {
				by = -by
			}
			m.dispatchers[i].listLate += by
		}
	case "burst":
		if begins {
			m.bursts = append(m.bursts, t.Size)
		} else {
			without(&m.bursts, t.Size)
		}
	case "hot":
		m.hot = slices.DeleteFunc(m.hot, func(h hot) bool { return h.trouble == n })
		if begins {
			var to []api.DestinationID
			for _, e := range m.struck(t) {
				to = append(to, m.endpoints[e].dest)
			}
			if to = slices.Compact(to); len(to) > 0 {
				m.hot = append(m.hot, hot{t.Size, to, n})
			}
		}
	case "replace":
		if begins {
			for _, e := range m.targets(n) {
				m.replace(e, n)
			}
		}
	case "flap":
		m.flip(n, begins)
	case "limit": // of a route, however many of its endpoints are struck
		met := map[int32]bool{}
		for _, e := range m.targets(n) {
			if route := m.endpoints[e].route; !met[route] {
				met[route] = true
				t.share(&m.routes[route].lowered, begins)
			}
		}
	default:
		for _, e := range m.targets(n) {
			m.strike(e, func(s *server) { t.hold(s, begins) })
		}
	}
}

// targets are drawn when a trouble begins and stay the same until it ends.
func (m *Model) targets(n int32) []int32 {
	if m.targeted == nil {
		m.targeted = map[int32][]int32{}
	}
	if _, ok := m.targeted[n]; !ok {
		m.targeted[n] = m.struck(&m.plan.Troubles[n])
	}
	return m.targeted[n]
}

func (t *Trouble) hold(s *server, begins bool) {
	by := 1
	if !begins {
		by = -1
	}
	switch t.Kind {
	case "down", "flap":
		s.down += by
		if t.Silent {
			s.silent += by
		}
	case "hang":
		s.hung += by
	case "shut":
		s.shut += by
	case "slow":
		t.share(&s.slow, begins)
	case "errors":
		t.share(&s.errors, begins)
	case "resets":
		t.share(&s.resets, begins)
	case "lost":
		t.share(&s.bad, begins)
	}
}

// share has a trouble's size hold beside those of others, or no longer.
func (t *Trouble) share(of *[]float64, begins bool) {
	if begins {
		*of = append(*of, t.Size)
	} else {
		without(of, t.Size)
	}
}

func without(all *[]float64, one float64) {
	if i := slices.Index(*all, one); i >= 0 {
		*all = slices.Delete(*all, i, i+1)
	}
}

// flip has flapping endpoints go down or come up; they end up.
func (m *Model) flip(n int32, down bool) {
	t := &m.plan.Troubles[n]
	if m.flapped == nil {
		m.flapped = map[int32]bool{}
	}
	if m.flapped[n] != down {
		m.flapped[n] = down
		for _, e := range m.targets(n) {
			m.strike(e, func(s *server) { t.hold(s, down) })
		}
	}
	if over := t.At + t.For; m.now+t.Every.us()/2 < over.us() {
		next := event{kind: evFlip, a: n, b: 1}
		if down {
			next.b = 0
		}
		m.after(t.Every.us()/2, next)
	}
}

// replace drains an endpoint and lists a new one, which is another process or takes over the address.
func (m *Model) replace(e, trouble int32) {
	t, old := &m.plan.Troubles[trouble], &m.endpoints[e]
	if old.gone || old.drains {
		return
	}
	old.drains = true
	m.list(e, api.EndpointDraining)
	if t.Address == "new" {
		m.servers = append(m.servers, server{zone: old.zone, atOnce: m.servers[old.server].atOnce,
			depth: m.servers[old.server].depth})
		m.list(m.addEndpoint(old.dest, old.route, old.zone, int32(len(m.servers)-1)), api.EndpointActive)
	}
	m.after(t.Drain.us(), event{kind: evGone, a: e, b: trouble})
}

// leave takes a drained endpoint off the list; its process ends.
func (m *Model) leave(e, trouble int32) {
	t, old := &m.plan.Troubles[trouble], &m.endpoints[e]
	old.gone = true
	m.list(e, api.EndpointRemoved)
	m.strike(e, func(s *server) { s.down++ })
	if t.Address == "same" {
		next := m.addEndpoint(old.dest, old.route, old.zone, old.server)
		m.list(next, api.EndpointActive)
		m.strike(next, func(s *server) { s.down-- })
	}
}
