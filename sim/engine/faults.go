package engine

import (
	"slices"

	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// applyFault begins a trouble or ends it. What holds at an endpoint is counted by sort, so that troubles overlap
// and may end in any order.
func (m *Simulation) applyFault(n int32, begins bool) {
	t := &m.scenario.Faults[n]
	if begins && t.Duration > 0 && t.Kind != "kill" && t.Kind != "restart" {
		m.schedule(t.Duration.micros(), scheduledEvent{kind: evFaultEnd, subject: n})
	}
	switch t.Kind {
	case "kill":
		for _, i := range t.Dispatchers {
			m.dispatchers[i].extraStartAge = t.StartupListAge.micros()
			m.killDispatcher(&m.dispatchers[i], t)
		}
	case "restart":
		for _, i := range t.Dispatchers {
			m.dispatchers[i].draining, m.dispatchers[i].extraStartAge = true, t.StartupListAge.micros()
			m.schedule(t.DrainTime.micros(), scheduledEvent{kind: evKill, subject: int32(i), detail: n})
		}
	case "freeze":
		for _, i := range t.Dispatchers {
			if d := &m.dispatchers[i]; begins && d.up {
				d.pausedUntil = max(d.pausedUntil, m.now+t.Duration.micros())
				m.Bus.Emit(event.Event{At: m.now, Kind: event.Paused, Dispatcher: d.number, Duration: t.Duration.micros()})
			}
		}
	case "list_late":
		for _, i := range t.Dispatchers {
			by := t.UpdateDelay.micros()
			if !begins {
				by = -by
			}
			m.dispatchers[i].extraUpdateDelay += by
		}
	case "burst":
		if begins {
			m.burstFactors = append(m.burstFactors, t.Magnitude)
		} else {
			removeFirst(&m.burstFactors, t.Magnitude)
		}
	case "hot":
		m.hotSpots = slices.DeleteFunc(m.hotSpots, func(h hotSpot) bool { return h.fault == n })
		if begins {
			var to []api.DestinationID
			for _, e := range m.selectTargets(t) {
				to = append(to, m.endpoints[e].destination)
			}
			if to = slices.Compact(to); len(to) > 0 {
				m.hotSpots = append(m.hotSpots, hotSpot{t.Magnitude, to, n})
			}
		}
	case "replace":
		if begins {
			for _, e := range m.targetsOf(n) {
				m.replaceEndpoint(e, n)
			}
		}
	case "flap":
		m.flapEndpoints(n, begins)
	case "limit": // of a route, however many of its endpoints are struck
		met := map[int32]bool{}
		for _, e := range m.targetsOf(n) {
			if route := m.endpoints[e].route; !met[route] {
				met[route] = true
				t.applyShare(&m.routes[route].limitFactors, begins)
			}
		}
	default:
		for _, e := range m.targetsOf(n) {
			m.updateServer(e, func(s *server) { t.applyTo(s, begins) })
		}
	}
}

// targetsOf are drawn when a trouble begins and stay the same until it ends.
func (m *Simulation) targetsOf(n int32) []int32 {
	if m.faultTargets == nil {
		m.faultTargets = map[int32][]int32{}
	}
	if _, ok := m.faultTargets[n]; !ok {
		m.faultTargets[n] = m.selectTargets(&m.scenario.Faults[n])
	}
	return m.faultTargets[n]
}

func (t *Fault) applyTo(s *server, begins bool) {
	by := 1
	if !begins {
		by = -1
	}
	switch t.Kind {
	case "down", "flap":
		s.down += by
		if t.Unresponsive {
			s.unresponsive += by
		}
	case "hang":
		s.hung += by
	case "shut":
		s.closed += by
	case "slow":
		t.applyShare(&s.slowFactors, begins)
	case "errors":
		t.applyShare(&s.errorShares, begins)
	case "resets":
		t.applyShare(&s.resetShares, begins)
	case "lost":
		t.applyShare(&s.lostResponseShares, begins)
	}
}

// applyShare has a trouble's size hold beside those of others, or no longer.
func (t *Fault) applyShare(of *[]float64, begins bool) {
	if begins {
		*of = append(*of, t.Magnitude)
	} else {
		removeFirst(of, t.Magnitude)
	}
}

func removeFirst(all *[]float64, one float64) {
	if i := slices.Index(*all, one); i >= 0 {
		*all = slices.Delete(*all, i, i+1)
	}
}

// flapEndpoints has flapping endpoints go down or come up; they end up.
func (m *Simulation) flapEndpoints(n int32, down bool) {
	t := &m.scenario.Faults[n]
	if m.flapDown == nil {
		m.flapDown = map[int32]bool{}
	}
	if m.flapDown[n] != down {
		m.flapDown[n] = down
		for _, e := range m.targetsOf(n) {
			m.updateServer(e, func(s *server) { t.applyTo(s, down) })
		}
	}
	if over := t.At + t.Duration; m.now+t.Period.micros()/2 < over.micros() {
		next := scheduledEvent{kind: evFlap, subject: n, detail: 1}
		if down {
			next.detail = 0
		}
		m.schedule(t.Period.micros()/2, next)
	}
}

// replaceEndpoint drains an endpoint and lists a new one, which is another process or takes over the address.
func (m *Simulation) replaceEndpoint(e, trouble int32) {
	t, old := &m.scenario.Faults[trouble], &m.endpoints[e]
	if old.removed || old.draining {
		return
	}
	old.draining = true
	m.publishEndpointChange(e, api.EndpointDraining)
	if t.Address == "new" {
		m.servers = append(m.servers, server{zone: old.zone, concurrency: m.servers[old.server].concurrency,
			queueCapacity: m.servers[old.server].queueCapacity})
		m.publishEndpointChange(m.addEndpoint(old.destination, old.route, old.zone, int32(len(m.servers)-1)), api.EndpointActive)
	}
	m.schedule(t.DrainTime.micros(), scheduledEvent{kind: evEndpointRemoval, subject: e, detail: trouble})
}

// removeEndpoint takes a drained endpoint off the list; its process ends.
func (m *Simulation) removeEndpoint(e, trouble int32) {
	t, old := &m.scenario.Faults[trouble], &m.endpoints[e]
	old.removed = true
	m.publishEndpointChange(e, api.EndpointRemoved)
	m.updateServer(e, func(s *server) { s.down++ })
	if t.Address == "same" {
		next := m.addEndpoint(old.destination, old.route, old.zone, old.server)
		m.publishEndpointChange(next, api.EndpointActive)
		m.updateServer(next, func(s *server) { s.down-- })
	}
}
