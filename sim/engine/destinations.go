package engine

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"rowanlink/webhook/api"
)

// endpointChange is one line of news for the list.
type endpointChange struct {
	at    api.Micros
	entry api.EndpointEntry
}

// buildDestinations draws the destinations from the scenario's own stream: the same for every module.
func (m *Simulation) buildDestinations() {
	s, chance := m.scenario, newRandom(m.scenario.Seed, 1)
	busy := s.Destinations.Active
	m.destinationWeights = make([]float64, busy) // cumulative
	sum := 0.0
	for i := range m.destinationWeights {
		sum += math.Pow(float64(i+1), -s.Clients.DestinationSkew)
		m.destinationWeights[i] = sum
	}
	shares := 0.0
	for i := range s.DestinationKinds {
		shares += s.DestinationKinds[i].Share
	}
	m.destinations = make([]destination, s.Destinations.Count)
	for i := range m.destinations {
		d := &m.destinations[i]
		pick := chance.Float64() * shares
		for d.kindIndex = 0; int(d.kindIndex) < len(s.DestinationKinds)-1 && pick >= s.DestinationKinds[d.kindIndex].Share; d.kindIndex++ {
			pick -= s.DestinationKinds[d.kindIndex].Share
		}
		d.kind = &s.DestinationKinds[d.kindIndex]
		if i < busy {
			d.expectedRate = s.Clients.Rate * math.Pow(float64(i+1), -s.Clients.DestinationSkew) / sum
		}
		n := d.kind.Endpoints[0] + chance.IntN(d.kind.Endpoints[1]-d.kind.Endpoints[0]+1)
		perS := max(d.expectedRate*d.kind.Headroom, d.kind.MinRate)
		wrong := randomInRange(chance, s.Dispatchers.RateError)
		routes := 1
		if d.kind.SeparateRoutes {
			routes = n
		}
		d.route = int32(len(m.routes))
		for range routes {
			each := perS / float64(routes)
			m.routes = append(m.routes, route{destination: api.DestinationID(i), kind: d.kind, rate: each,
				statedRate: each * wrong, warmingSince: never, tokens: 1})
		}
		for e := range n {
			zone := api.ZoneID((i + e) % len(s.Network.Zones))
			atOnce := math.Ceil(d.kind.SpareCapacity * perS / float64(n) * api.Micros(d.kind.ServiceTime).Seconds())
			depth := math.Ceil(api.Micros(d.kind.QueueTime).Seconds() * perS / float64(n))
			m.servers = append(m.servers, server{zone: zone, concurrency: int(atOnce), queueCapacity: int(depth)})
			m.addEndpoint(api.DestinationID(i), d.route+int32(e%routes), zone, int32(len(m.servers)-1))
		}
	}
	m.initialEndpoints = make([]api.EndpointEntry, len(m.endpoints))
	for i := range m.endpoints {
		m.initialEndpoints[i] = m.endpointEntry(int32(i), api.EndpointActive)
	}
}

func (m *Simulation) addEndpoint(dest api.DestinationID, r int32, zone api.ZoneID, server int32) int32 {
	n := int32(len(m.endpoints))
	m.endpoints = append(m.endpoints, endpoint{destination: dest, route: r, zone: zone, server: server})
	m.destinations[dest].endpoints = append(m.destinations[dest].endpoints, n)
	m.routes[r].endpoints = append(m.routes[r].endpoints, n)
	return n
}

// idOf and indexOf go between an endpoint's place and its id, of which 0 is none.
func idOf(endpoint int32) api.EndpointID   { return api.EndpointID(endpoint + 1) }
func indexOf(id api.EndpointID) (at int32) { return int32(id) - 1 }

// endpointEntry is what the list says of an endpoint.
func (m *Simulation) endpointEntry(i int32, standing api.EndpointStatus) api.EndpointEntry {
	e := &m.endpoints[i]
	d := &m.destinations[e.destination]
	l := api.EndpointEntry{Endpoint: idOf(i), Destination: e.destination, Kind: d.kindIndex, Zone: e.zone, Status: standing}
	if m.scenario.Dispatchers.RatesListed {
		l.Rate = m.routes[e.route].statedRate
	}
	return l
}

// publishEndpointChange notes a change of the list; each dispatcher hears of it after its own delay.
func (m *Simulation) publishEndpointChange(i int32, standing api.EndpointStatus) {
	m.endpointChanges = append(m.endpointChanges, endpointChange{m.now, m.endpointEntry(i, standing)})
	for n := range m.dispatchers {
		d := &m.dispatchers[n]
		delay := randomInRange(m.random, m.scenario.Dispatchers.EndpointUpdateDelay).micros() + d.extraUpdateDelay
		m.schedule(delay, scheduledEvent{kind: evEndpointUpdate, subject: int32(n), detail: int32(len(m.endpointChanges)), generation: d.incarnation})
	}
}

// randomDestination follows the skew, or a hot destination's share where there is one.
func (m *Simulation) randomDestination(chance *rand.Rand) api.DestinationID {
	for _, h := range m.hotSpots {
		if chance.Float64() < h.share {
			return h.destinations[chance.IntN(len(h.destinations))]
		}
	}
	x := chance.Float64() * m.destinationWeights[len(m.destinationWeights)-1]
	at, _ := slices.BinarySearchFunc(m.destinationWeights, x, func(w, x float64) int { return cmp.Compare(w, x) })
	return api.DestinationID(min(at, len(m.destinationWeights)-1))
}
