package engine

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"rowanlink/webhook/api"
)

// endpointChange is a change of the endpoint list.
type endpointChange struct {
	at    api.Micros
	entry api.EndpointEntry
}

// buildDestinations makes the destinations, from a random stream of their own: they are the same for every policy.
func (m *Simulation) buildDestinations() {
	random := newRandom(m.scenario.Seed, destinationStream)
	m.buildDestinationWeights()
	totalShare := 0.0
	for i := range m.scenario.DestinationKinds {
		totalShare += m.scenario.DestinationKinds[i].Share
	}
	m.destinations = make([]destination, m.scenario.Destinations.Count)
	for i := range m.destinations {
		m.buildDestination(api.DestinationID(i), totalShare, random)
	}
	m.initialEndpoints = make([]api.EndpointEntry, len(m.endpoints))
	for i := range m.endpoints {
		m.initialEndpoints[i] = m.endpointEntry(int32(i), api.EndpointActive)
	}
}

// buildDestinationWeights distributes the traffic by Zipf's law.
func (m *Simulation) buildDestinationWeights() {
	m.destinationWeights = make([]float64, m.scenario.Destinations.Active)
	sum := 0.0
	for i := range m.destinationWeights {
		sum += m.trafficWeight(i)
		m.destinationWeights[i] = sum
	}
}

func (m *Simulation) trafficWeight(i int) float64 {
	return math.Pow(float64(i+1), -m.scenario.Clients.DestinationSkew)
}

func (m *Simulation) buildDestination(id api.DestinationID, totalShare float64, random *rand.Rand) {
	s, d := m.scenario, &m.destinations[id]
	d.kindIndex = randomKind(s.DestinationKinds, totalShare, random)
	d.kind = &s.DestinationKinds[d.kindIndex]
	if int(id) < len(m.destinationWeights) {
		totalWeight := m.destinationWeights[len(m.destinationWeights)-1]
		d.expectedRate = s.Clients.Rate * m.trafficWeight(int(id)) / totalWeight
	}
	count := d.kind.Endpoints[0] + random.IntN(d.kind.Endpoints[1]-d.kind.Endpoints[0]+1)
	rate := max(d.expectedRate*d.kind.Headroom, d.kind.MinRate)
	rateError := randomInRange(random, s.Dispatchers.RateError)
	routes := 1
	if d.kind.SeparateRoutes {
		routes = count
	}
	d.route = int32(len(m.routes))
	for range routes {
		routeRate := rate / float64(routes)
		m.routes = append(m.routes, route{
			destination:  id,
			kind:         d.kind,
			rate:         routeRate,
			statedRate:   routeRate * rateError,
			warmingSince: never,
			tokens:       1,
		})
	}
	for i := range count {
		zone := api.ZoneID((int(id) + i) % len(s.Network.Zones))
		m.servers = append(m.servers, newServer(d.kind, rate, count, zone))
		m.addEndpoint(id, d.route+int32(i%routes), zone, int32(len(m.servers)-1))
	}
}

func randomKind(kinds []DestinationKind, totalShare float64, random *rand.Rand) api.DestinationKindID {
	at := random.Float64() * totalShare
	kind := 0
	for kind < len(kinds)-1 && at >= kinds[kind].Share {
		at -= kinds[kind].Share
		kind++
	}
	return api.DestinationKindID(kind)
}

// newServer makes one of several servers that bear a destination's rate together.
func newServer(kind *DestinationKind, rate float64, count int, zone api.ZoneID) server {
	concurrency := math.Ceil(kind.SpareCapacity * rate / float64(count) * kind.ServiceTime.micros().Seconds())
	queueCapacity := math.Ceil(kind.QueueTime.micros().Seconds() * rate / float64(count))
	return server{zone: zone, concurrency: int(concurrency), queueCapacity: int(queueCapacity)}
}

func (m *Simulation) addEndpoint(destination api.DestinationID, route int32, zone api.ZoneID, server int32) int32 {
	n := int32(len(m.endpoints))
	m.endpoints = append(m.endpoints, endpoint{destination: destination, route: route, zone: zone, server: server})
	m.destinations[destination].endpoints = append(m.destinations[destination].endpoints, n)
	m.routes[route].endpoints = append(m.routes[route].endpoints, n)
	return n
}

// idOf returns the ID of the endpoint at an index. Endpoint IDs begin at 1.
func idOf(endpoint int32) api.EndpointID { return api.EndpointID(endpoint + 1) }

// indexOf is the inverse of idOf; the index of no endpoint is -1.
func indexOf(id api.EndpointID) int32 { return int32(id) - 1 }

// endpointEntry returns an endpoint's entry in the endpoint list.
func (m *Simulation) endpointEntry(i int32, status api.EndpointStatus) api.EndpointEntry {
	e := &m.endpoints[i]
	entry := api.EndpointEntry{
		Endpoint:    idOf(i),
		Destination: e.destination,
		Kind:        m.destinations[e.destination].kindIndex,
		Zone:        e.zone,
		Status:      status,
	}
	if m.scenario.Dispatchers.RatesListed {
		entry.Rate = m.routes[e.route].statedRate
	}
	return entry
}

// publishEndpointChange records a change of the endpoint list and notifies each dispatcher after a delay of its own.
func (m *Simulation) publishEndpointChange(i int32, status api.EndpointStatus) {
	m.endpointChanges = append(m.endpointChanges, endpointChange{m.now, m.endpointEntry(i, status)})
	for n := range m.dispatchers {
		m.dispatchers[n].scheduleEndpointUpdate()
	}
}

// randomDestination picks the destination of an arrival: one of a hot spot, or by the traffic's distribution.
func (m *Simulation) randomDestination(random *rand.Rand) api.DestinationID {
	for _, spot := range m.hotSpots {
		if random.Float64() < spot.share {
			return spot.destinations[random.IntN(len(spot.destinations))]
		}
	}
	x := random.Float64() * m.destinationWeights[len(m.destinationWeights)-1]
	at, _ := slices.BinarySearchFunc(m.destinationWeights, x, cmp.Compare[float64])
	return api.DestinationID(min(at, len(m.destinationWeights)-1))
}
