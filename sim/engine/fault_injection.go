package engine

import (
	"slices"

	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// applyFault starts a fault or ends it. The states that faults set at a server are counted by kind, so that faults can
// overlap and end in any order.
func (m *Simulation) applyFault(n int32, starts bool) {
	fault := &m.scenario.Faults[n]
	endsItself := fault.Kind == FaultKill || fault.Kind == FaultRestart // a start is scheduled instead of an end
	if starts && fault.Duration > 0 && !endsItself {
		m.schedule(fault.Duration.micros(), scheduledEvent{kind: evFaultEnd, subject: n})
	}
	switch fault.Kind {
	case FaultKill, FaultRestart, FaultPause, FaultLateUpdates:
		for _, i := range fault.Dispatchers {
			m.applyDispatcherFault(n, &m.dispatchers[i], starts)
		}
	case FaultBurst:
		fault.applyMagnitude(&m.burstFactors, starts)
	case FaultHotSpot:
		m.applyHotSpot(n, starts)
	case FaultReplace:
		if starts {
			for _, e := range m.targetsOf(n) {
				m.replaceEndpoint(e, n)
			}
		}
	case FaultFlap:
		m.flapEndpoints(n, starts)
	case FaultLimit:
		m.applyLimit(n, starts)
	default:
		for _, e := range m.targetsOf(n) {
			m.updateServer(e, func(s *server) { fault.applyTo(s, starts) })
		}
	}
}

func (m *Simulation) applyDispatcherFault(n int32, d *dispatcher, starts bool) {
	fault := &m.scenario.Faults[n]
	switch fault.Kind {
	case FaultKill:
		d.extraStartAge = fault.StartupListAge.micros()
		m.killDispatcher(d, fault)
	case FaultRestart:
		d.draining = true
		d.extraStartAge = fault.StartupListAge.micros()
		m.schedule(fault.DrainTime.micros(), scheduledEvent{kind: evKill, subject: d.number, detail: n})
	case FaultPause:
		if starts && d.up {
			d.pausedUntil = max(d.pausedUntil, m.now+fault.Duration.micros())
			m.Bus.Emit(event.Event{
				At:         m.now,
				Kind:       event.Paused,
				Dispatcher: d.number,
				Duration:   fault.Duration.micros(),
			})
		}
	case FaultLateUpdates:
		if starts {
			d.extraUpdateDelay += fault.UpdateDelay.micros()
		} else {
			d.extraUpdateDelay -= fault.UpdateDelay.micros()
		}
	}
}

func (m *Simulation) applyHotSpot(n int32, starts bool) {
	m.hotSpots = slices.DeleteFunc(m.hotSpots, func(spot hotSpot) bool { return spot.fault == n })
	if !starts {
		return
	}
	fault := &m.scenario.Faults[n]
	var destinations []api.DestinationID
	for _, e := range m.selectTargets(fault) {
		destinations = append(destinations, m.endpoints[e].destination)
	}
	destinations = slices.Compact(destinations)
	if len(destinations) > 0 {
		m.hotSpots = append(m.hotSpots, hotSpot{fault.Magnitude, destinations, n})
	}
}

// applyLimit lowers the limit of each affected route once, however many of its endpoints are targets.
func (m *Simulation) applyLimit(n int32, starts bool) {
	applied := map[int32]bool{}
	for _, e := range m.targetsOf(n) {
		route := m.endpoints[e].route
		if !applied[route] {
			applied[route] = true
			m.scenario.Faults[n].applyMagnitude(&m.routes[route].limitFactors, starts)
		}
	}
}

// targetsOf returns the endpoints of a fault. They are selected when it starts and stay the same until it ends.
func (m *Simulation) targetsOf(n int32) []int32 {
	if m.faultTargets == nil {
		m.faultTargets = map[int32][]int32{}
	}
	if _, ok := m.faultTargets[n]; !ok {
		m.faultTargets[n] = m.selectTargets(&m.scenario.Faults[n])
	}
	return m.faultTargets[n]
}

// applyTo starts or ends the effect of the fault at a server.
func (f *Fault) applyTo(s *server, starts bool) {
	change := 1
	if !starts {
		change = -1
	}
	switch f.Kind {
	case FaultDown, FaultFlap:
		s.down += change
		if f.Unresponsive {
			s.unresponsive += change
		}
	case FaultHang:
		s.hung += change
	case FaultClosed:
		s.closed += change
	case FaultSlow:
		f.applyMagnitude(&s.slowFactors, starts)
	case FaultErrors:
		f.applyMagnitude(&s.errorShares, starts)
	case FaultResets:
		f.applyMagnitude(&s.resetShares, starts)
	case FaultLostResponses:
		f.applyMagnitude(&s.lostResponseShares, starts)
	}
}

// applyMagnitude adds the fault's magnitude to those of the faults that overlap with it, or removes it.
func (f *Fault) applyMagnitude(magnitudes *[]float64, starts bool) {
	if starts {
		*magnitudes = append(*magnitudes, f.Magnitude)
	} else {
		removeFirst(magnitudes, f.Magnitude)
	}
}

func removeFirst(all *[]float64, one float64) {
	if i := slices.Index(*all, one); i >= 0 {
		*all = slices.Delete(*all, i, i+1)
	}
}

// flapEndpoints takes the endpoints of a flapping fault down or brings them up, and schedules the next change. The last one
// brings them up.
func (m *Simulation) flapEndpoints(n int32, down bool) {
	fault := &m.scenario.Faults[n]
	if m.flapDown == nil {
		m.flapDown = map[int32]bool{}
	}
	if m.flapDown[n] != down {
		m.flapDown[n] = down
		for _, e := range m.targetsOf(n) {
			m.updateServer(e, func(s *server) { fault.applyTo(s, down) })
		}
	}
	halfPeriod := fault.Period.micros() / 2
	end := fault.At + fault.Duration
	if m.now+halfPeriod >= end.micros() {
		return
	}
	next := scheduledEvent{kind: evFlap, subject: n, detail: flapGoesDown}
	if down {
		next.detail = flapComesUp
	}
	m.schedule(halfPeriod, next)
}

// replaceEndpoint drains an endpoint. The new one is listed at once where it is another process, and by removeEndpoint
// where it takes over the address.
func (m *Simulation) replaceEndpoint(e, faultIndex int32) {
	fault, old := &m.scenario.Faults[faultIndex], &m.endpoints[e]
	if old.removed || old.draining {
		return
	}
	old.draining = true
	m.publishEndpointChange(e, api.EndpointDraining)
	if fault.Address == addressNew {
		m.servers = append(m.servers, server{
			zone:          old.zone,
			concurrency:   m.servers[old.server].concurrency,
			queueCapacity: m.servers[old.server].queueCapacity,
		})
		next := m.addEndpoint(old.destination, old.route, old.zone, int32(len(m.servers)-1))
		m.publishEndpointChange(next, api.EndpointActive)
	}
	m.schedule(fault.DrainTime.micros(), scheduledEvent{kind: evEndpointRemoval, subject: e, detail: faultIndex})
}

// removeEndpoint takes a drained endpoint off the list and ends its process.
func (m *Simulation) removeEndpoint(e, faultIndex int32) {
	fault, old := &m.scenario.Faults[faultIndex], &m.endpoints[e]
	old.removed = true
	m.publishEndpointChange(e, api.EndpointRemoved)
	m.updateServer(e, func(s *server) { s.down++ })
	if fault.Address == addressSame {
		next := m.addEndpoint(old.destination, old.route, old.zone, old.server)
		m.publishEndpointChange(next, api.EndpointActive)
		m.updateServer(next, func(s *server) { s.down-- })
	}
}
