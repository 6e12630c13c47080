package engine

import (
	"math/rand/v2"
	"slices"

	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

const never = api.Never

// destination is where webhooks are meant for.
type destination struct {
	kind         *DestinationKind
	kindIndex    api.DestinationKindID
	expectedRate float64 // calls a second that its traffic needs, before any trouble
	route        int32   // the first of its routes
	endpoints    []int32
}

// route is what a limit, told waits, outages and the cold belong to.
type route struct {
	destination  api.DestinationID
	kind         *DestinationKind
	rate         float64   // the limit, or what counts as its capacity where there is none
	limitFactors []float64 // shares of it that are left, by trouble
	statedRate   float64
	endpoints    []int32
	out          bool

	tokens      float64 // rate
	tokensAt    api.Micros
	windowStart api.Micros // window
	windowCalls float64

	warmingSince api.Micros // since when it is cold, or never
	warmupLoad   slidingSum // what reached it since, for the tipping
}

// endpoint is one line of the list; server the process behind its address, which a later one may take over.
type endpoint struct {
	destination api.DestinationID
	route       int32
	zone        api.ZoneID
	server      int32
	removed     bool // from the list: it turns away what still comes
	draining    bool
}

type server struct {
	zone          api.ZoneID
	concurrency   int // calls served at once when warm
	queueCapacity int // places to wait
	serving       int
	queue         []int32 // calls that wait
	connections   int     // open connections, idle ones counted
	epoch         uint32  // its connections of an earlier epoch are gone

	down, unresponsive, hung, closed                          int // troubles of each sort that hold now
	slowFactors, errorShares, resetShares, lostResponseShares []float64
}

// unavailable tells whether the process does none of its work.
func (s *server) unavailable() bool {
	return s.down > 0 || s.hung > 0 || s.closed > 0 || combinedShare(s.errorShares) >= 0.5
}

// combinedShare is the share struck by any of several troubles that know nothing of each other.
func combinedShare(shares []float64) float64 {
	well := 1.0
	for _, s := range shares {
		well *= 1 - s
	}
	return 1 - well
}

// updateServer changes what holds at the server behind an endpoint, and sees whether its route goes out or is back.
func (m *Simulation) updateServer(e int32, change func(*server)) {
	serverIndex := m.endpoints[e].server
	s := &m.servers[serverIndex]
	was := s.down > 0
	change(s)
	if s.down > 0 && !was {
		m.crashServer(serverIndex)
	}
	m.updateOutage(m.endpoints[e].route)
	if s.hung == 0 && s.down == 0 {
		m.drainServerQueue(serverIndex)
	}
}

// crashServer ends the process: its connections break, and what it served or kept waiting is answered by no one.
func (m *Simulation) crashServer(serverIndex int32) {
	s := &m.servers[serverIndex]
	s.epoch++
	s.connections, s.serving, s.queue = 0, 0, s.queue[:0]
	for i := range m.calls {
		c := &m.calls[i]
		if c.server != serverIndex || c.state == callFree {
			continue
		}
		if c.queuedOrServing || c.unanswerable {
			c.queuedOrServing, c.serving = false, false
			m.respond(int32(i), api.ConnectionReset, 0)
		}
		m.releaseCall(int32(i))
	}
}

// updateOutage notes whether a route is out: none of its listed endpoints does its work.
func (m *Simulation) updateOutage(routeIndex int32) {
	r := &m.routes[routeIndex]
	out := !slices.ContainsFunc(r.endpoints, func(e int32) bool {
		return !m.endpoints[e].removed && !m.servers[m.endpoints[e].server].unavailable()
	})
	if out == r.out {
		return
	}
	r.out, r.warmupLoad = out, slidingSum{}
	e := event.Event{
		At:          m.now,
		Kind:        event.OutageStarted,
		Route:       event.Route(routeIndex),
		Destination: r.destination,
		Weight:      r.rate,
	}
	if r.warmingSince = never; !out {
		e.Kind, r.warmingSince = event.OutageEnded, m.now
		r.tokens, r.tokensAt, r.windowCalls, r.windowStart = 0, m.now, 0, m.now
	}
	m.Bus.Emit(e)
}

// networkDelay is the time from a dispatcher to an endpoint or back.
func (m *Simulation) networkDelay(a, b api.ZoneID) api.Micros {
	return max(m.randomDelay(a, b, m.random), 1)
}

func (m *Simulation) randomDelay(a, b api.ZoneID, random *rand.Rand) api.Micros {
	n := &m.scenario.Network
	t := float64(n.SameZoneDelay)
	if a != b {
		t = float64(n.CrossZoneDelay)
	}
	return api.Micros(t * (1 + n.Jitter*(2*random.Float64()-1)))
}

// newRandom is one source of chance; streams of one seed know nothing of each other.
func newRandom(seed, number uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, number)) }

func randomInRange[T ~int64 | ~float64](random *rand.Rand, of []T) T {
	return of[0] + T(float64(of[1]-of[0])*random.Float64())
}

// selectTargets lists the endpoints that a trouble strikes, in their order.
func (m *Simulation) selectTargets(fault *Fault) (all []int32) {
	random := newRandom(m.scenario.Seed, faultStreams+uint64(fault.At))
	for i := range m.destinations {
		d := &m.destinations[i]
		named := slices.Contains(fault.Destinations, i) || i < fault.Busiest || fault.Share > 0 && random.Float64() < fault.Share
		anyone := len(fault.Destinations) == 0 && fault.Busiest == 0 && fault.Share == 0
		if !named && !anyone || fault.DestinationKind != "" && d.kind.Name != fault.DestinationKind {
			continue
		}
		for _, e := range d.endpoints {
			if m.endpoints[e].removed || fault.Zone != "" && fault.Zone != m.scenario.Network.Zones[m.endpoints[e].zone] {
				continue
			}
			if all = append(all, e); fault.SingleEndpoint {
				break
			}
		}
	}
	return all
}
