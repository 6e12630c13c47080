package engine

import (
	"math/rand/v2"
	"slices"

	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

const never = api.Never

// destination is a receiver of webhooks.
type destination struct {
	kind         *DestinationKind
	kindIndex    api.DestinationKindID
	expectedRate float64 // calls per second, without faults
	route        int32   // its first; with separate routes the others follow
	endpoints    []int32
}

// route is the unit that limits, outages and slow start apply to: a destination, or one of its endpoints.
type route struct {
	destination  api.DestinationID
	kind         *DestinationKind
	rate         float64   // the limit or, without one, the capacity, calls per second
	limitFactors []float64 // of the limit, by the faults that lower it
	statedRate   float64
	endpoints    []int32
	down         bool // none of its endpoints serves calls

	tokens      float64 // of the token bucket
	tokensAt    api.Micros
	windowStart api.Micros
	windowCalls float64

	warmingSince api.Micros // or never
	warmupLoad   slidingSum // that arrived since, for its collapse
}

// endpoint is an entry of the endpoint list.
type endpoint struct {
	destination api.DestinationID
	route       int32
	zone        api.ZoneID
	server      int32
	removed     bool // from the list; calls that still arrive are rejected
	draining    bool
}

// server is the process at an endpoint's address. When it is replaced at the same address, a new endpoint has it.
type server struct {
	zone          api.ZoneID
	concurrency   int // calls served at once when warm
	queueCapacity int
	serving       int
	queue         []int32 // of calls
	connections   int     // with idle ones
	epoch         uint32  // counts crashes, each of which breaks all connections

	// Counts of the faults in effect, by their kind.
	down         int
	unresponsive int
	hung         int
	closed       int
	// Magnitudes of the faults in effect.
	slowFactors        []float64
	errorShares        []float64
	resetShares        []float64
	lostResponseShares []float64
}

// unavailableErrorShare is the share of errors from which on a server counts as unavailable.
const unavailableErrorShare = 0.5

// unavailable reports whether the process serves no calls, or hardly any.
func (s *server) unavailable() bool {
	return s.down > 0 || s.hung > 0 || s.closed > 0 || combinedShare(s.errorShares) >= unavailableErrorShare
}

// combinedShare returns the probability that any of several independent faults hits a call.
func combinedShare(shares []float64) float64 {
	spared := 1.0
	for _, share := range shares {
		spared *= 1 - share
	}
	return 1 - spared
}

// happens reports whether one of several faults hits a call. Without faults it needs no random number.
func (m *Simulation) happens(shares []float64) bool {
	return len(shares) > 0 && m.random.Float64() < combinedShare(shares)
}

// updateServer changes the faults of an endpoint's server and applies the consequences.
func (m *Simulation) updateServer(e int32, change func(*server)) {
	serverIndex := m.endpoints[e].server
	s := &m.servers[serverIndex]
	wasDown := s.down > 0
	change(s)
	if s.down > 0 && !wasDown {
		m.crashServer(serverIndex)
	}
	m.updateOutage(m.endpoints[e].route)
	if s.hung == 0 && s.down == 0 {
		m.drainServerQueue(serverIndex)
	}
}

// crashServer ends a server's process. Its connections and the calls that it served or queued are reset.
func (m *Simulation) crashServer(serverIndex int32) {
	s := &m.servers[serverIndex]
	s.epoch++
	s.connections = 0
	s.serving = 0
	s.queue = s.queue[:0]
	for i := range m.calls {
		c := &m.calls[i]
		if c.server != serverIndex || c.state == callFree {
			continue
		}
		if c.queuedOrServing || c.unanswerable {
			c.queuedOrServing = false
			c.serving = false
			m.respond(int32(i), api.ConnectionReset, 0)
		}
		m.releaseCall(int32(i))
	}
}

// updateOutage starts or ends the outage of a route, on which none of the listed endpoints is available. A route that
// is back begins its slow start.
func (m *Simulation) updateOutage(routeIndex int32) {
	r := &m.routes[routeIndex]
	down := !slices.ContainsFunc(r.endpoints, func(e int32) bool {
		return !m.endpoints[e].removed && !m.servers[m.endpoints[e].server].unavailable()
	})
	if down == r.down {
		return
	}
	r.down = down
	r.warmupLoad = slidingSum{}
	r.warmingSince = never
	e := event.Event{
		At:          m.now,
		Kind:        event.OutageStarted,
		Route:       event.Route(routeIndex),
		Destination: r.destination,
		Weight:      r.rate,
	}
	if !down {
		e.Kind = event.OutageEnded
		r.warmingSince = m.now
		r.tokens = 0
		r.tokensAt = m.now
		r.windowCalls = 0
		r.windowStart = m.now
	}
	m.Bus.Emit(e)
}

// networkDelay returns a random one-way delay between a dispatcher and an endpoint.
func (m *Simulation) networkDelay(from, to api.ZoneID) api.Micros {
	return max(m.randomDelay(from, to, m.random), 1)
}

func (m *Simulation) randomDelay(from, to api.ZoneID, random *rand.Rand) api.Micros {
	n := &m.scenario.Network
	delay := float64(n.SameZoneDelay)
	if from != to {
		delay = float64(n.CrossZoneDelay)
	}
	return api.Micros(delay * (1 + n.Jitter*(2*random.Float64()-1)))
}

// newRandom returns one of the independent random streams of a seed.
func newRandom(seed, number uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, number)) }

func randomInRange[T ~int64 | ~float64](random *rand.Rand, bounds []T) T {
	return bounds[0] + T(float64(bounds[1]-bounds[0])*random.Float64())
}

// selectTargets returns the endpoints that a fault applies to, by destination.
func (m *Simulation) selectTargets(fault *Fault) []int32 {
	random := newRandom(m.scenario.Seed, faultStreams+uint64(fault.At))
	var targets []int32
	for i := range m.destinations {
		if !fault.selectsDestination(i, m.destinations[i].kind, random) {
			continue
		}
		for _, e := range m.destinations[i].endpoints {
			if m.endpoints[e].removed || !m.isInZone(e, fault.Zone) {
				continue
			}
			targets = append(targets, e)
			if fault.SingleEndpoint {
				break
			}
		}
	}
	return targets
}

// selectsDestination reports whether a fault applies to a destination. It draws a random number only for a share, and
// only for a destination that isn't selected otherwise.
func (f *Fault) selectsDestination(i int, kind *DestinationKind, random *rand.Rand) bool {
	selected := slices.Contains(f.Destinations, i) || i < f.Busiest || f.Share > 0 && random.Float64() < f.Share
	selectsAll := len(f.Destinations) == 0 && f.Busiest == 0 && f.Share == 0
	isOfKind := f.DestinationKind == "" || f.DestinationKind == kind.Name
	return (selected || selectsAll) && isOfKind
}

func (m *Simulation) isInZone(endpointIndex int32, zone string) bool {
	return zone == "" || zone == m.scenario.Network.Zones[m.endpoints[endpointIndex].zone]
}
