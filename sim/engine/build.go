package engine

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"rowanlink/webhook/api"
)

// change is one line of news for the list.
type change struct {
	at    api.Micros
	entry api.EndpointEntry
}

// build draws the destinations from the scenario's own stream: the same for every module.
func (m *Model) build() {
	s, chance := m.plan, stream(m.plan.Seed, 1)
	busy := s.Destinations.Busy
	m.weights = make([]float64, busy) // cumulative
	sum := 0.0
	for i := range m.weights {
		sum += math.Pow(float64(i+1), -s.Clients.Skew)
		m.weights[i] = sum
	}
	shares := 0.0
	for i := range s.Kinds {
		shares += s.Kinds[i].Share
	}
	m.dests = make([]destination, s.Destinations.Count)
	for i := range m.dests {
		d := &m.dests[i]
		pick := chance.Float64() * shares
		for d.kindID = 0; int(d.kindID) < len(s.Kinds)-1 && pick >= s.Kinds[d.kindID].Share; d.kindID++ {
			pick -= s.Kinds[d.kindID].Share
		}
		d.kind = &s.Kinds[d.kindID]
		if i < busy {
			d.busiest = s.Clients.Rate * math.Pow(float64(i+1), -s.Clients.Skew) / sum
		}
		n := d.kind.Endpoints[0] + chance.IntN(d.kind.Endpoints[1]-d.kind.Endpoints[0]+1)
		perS := max(d.busiest*d.kind.Headroom, d.kind.Least)
		wrong := within(chance, s.Dispatchers.RateError)
		routes := 1
		if d.kind.Apart {
			routes = n
		}
		d.route = int32(len(m.routes))
		for range routes {
			each := perS / float64(routes)
			m.routes = append(m.routes, route{dest: api.DestinationID(i), kind: d.kind, perS: each,
				stated: each * wrong, backAt: never, tokens: 1})
		}
		for e := range n {
			zone := api.ZoneID((i + e) % len(s.Net.Zones))
			atOnce := math.Ceil(d.kind.Spare * perS / float64(n) * api.Micros(d.kind.Answer).Seconds())
			depth := math.Ceil(api.Micros(d.kind.Queue).Seconds() * perS / float64(n))
			m.servers = append(m.servers, server{zone: zone, atOnce: int(atOnce), depth: int(depth)})
			m.addEndpoint(api.DestinationID(i), d.route+int32(e%routes), zone, int32(len(m.servers)-1))
		}
	}
	m.base = make([]api.EndpointEntry, len(m.endpoints))
	for i := range m.endpoints {
		m.base[i] = m.entry(int32(i), api.EndpointActive)
	}
}

func (m *Model) addEndpoint(dest api.DestinationID, r int32, zone api.ZoneID, server int32) int32 {
	n := int32(len(m.endpoints))
	m.endpoints = append(m.endpoints, endpoint{dest: dest, route: r, zone: zone, server: server})
	m.dests[dest].endpoints = append(m.dests[dest].endpoints, n)
	m.routes[r].endpoints = append(m.routes[r].endpoints, n)
	return n
}

// idOf and indexOf go between an endpoint's place and its id, of which 0 is none.
func idOf(endpoint int32) api.EndpointID   { return api.EndpointID(endpoint + 1) }
func indexOf(id api.EndpointID) (at int32) { return int32(id) - 1 }

// entry is what the list says of an endpoint.
func (m *Model) entry(i int32, standing api.EndpointStatus) api.EndpointEntry {
	e := &m.endpoints[i]
	d := &m.dests[e.dest]
	l := api.EndpointEntry{Endpoint: idOf(i), Destination: e.dest, Kind: d.kindID, Zone: e.zone, Status: standing}
	if m.plan.Dispatchers.RatesStated {
		l.Rate = m.routes[e.route].stated
	}
	return l
}

// list notes a change of the list; each dispatcher hears of it after its own delay.
func (m *Model) list(i int32, standing api.EndpointStatus) {
	m.changes = append(m.changes, change{m.now, m.entry(i, standing)})
	for n := range m.dispatchers {
		d := &m.dispatchers[n]
		delay := within(m.chance, m.plan.Dispatchers.ListDelay).us() + d.listLate
		m.after(delay, event{kind: evList, a: int32(n), b: int32(len(m.changes)), gen: d.life})
	}
}

// drawDestination follows the skew, or a hot destination's share where there is one.
func (m *Model) drawDestination(chance *rand.Rand) api.DestinationID {
	for _, h := range m.hot {
		if chance.Float64() < h.share {
			return h.to[chance.IntN(len(h.to))]
		}
	}
	x := chance.Float64() * m.weights[len(m.weights)-1]
	at, _ := slices.BinarySearchFunc(m.weights, x, func(w, x float64) int { return cmp.Compare(w, x) })
	return api.DestinationID(min(at, len(m.weights)-1))
}
