package engine

import (
	"math/rand/v2"
	"slices"

	eventpkg "rowanlink/sim/event"
	"rowanlink/webhook/api"
)

const never = api.Never

// destination is where webhooks are meant for.
type destination struct {
	kind      *Kind
	kindID    api.DestinationKindID
	busiest   float64 // calls a second that its traffic needs, before any trouble
	route     int32   // the first of its routes
	endpoints []int32
}

// route is what a limit, told waits, outages and the cold belong to.
type route struct {
	dest      api.DestinationID
	kind      *Kind
	perS      float64   // the limit, or what counts as its capacity where there is none
	lowered   []float64 // shares of it that are left, by trouble
	stated    float64
	endpoints []int32
	out       bool

	tokens   float64 // rate
	tokensAt api.Micros
	begun    api.Micros // window
	used     float64

	backAt api.Micros // since when it is cold, or never
	load   loads      // what reached it since, for the tipping
}

// endpoint is one line of the list; server the process behind its address, which a later one may take over.
type endpoint struct {
	dest   api.DestinationID
	route  int32
	zone   api.ZoneID
	server int32
	gone   bool // from the list: it turns away what still comes
	drains bool
}

type server struct {
	zone   api.ZoneID
	atOnce int // calls served at once when warm
	depth  int // places to wait
	busy   int
	line   []int32 // calls that wait
	conns  int     // open connections, idle ones counted
	epoch  uint32  // its connections of an earlier epoch are gone

	down, silent, hung, shut  int // troubles of each sort that hold now
	slow, errors, resets, bad []float64
}

// sick tells whether the process does none of its work.
func (s *server) sick() bool {
	return s.down > 0 || s.hung > 0 || s.shut > 0 || combined(s.errors) >= 0.5
}

// combined is the share struck by any of several troubles that know nothing of each other.
func combined(shares []float64) float64 {
	well := 1.0
	for _, s := range shares {
		well *= 1 - s
	}
	return 1 - well
}

// strike changes what holds at the server behind an endpoint, and sees whether its route goes out or is back.
func (m *Model) strike(e int32, change func(*server)) {
	si := m.endpoints[e].server
	s := &m.servers[si]
	was := s.down > 0
	change(s)
	if s.down > 0 && !was {
		m.crash(si)
	}
	m.outage(m.endpoints[e].route)
	if s.hung == 0 && s.down == 0 {
		m.serve(si)
	}
}

// crash ends the process: its connections break, and what it served or kept waiting is answered by no one.
func (m *Model) crash(si int32) {
	s := &m.servers[si]
	s.epoch++
	s.conns, s.busy, s.line = 0, 0, s.line[:0]
	for i := range m.calls {
		k := &m.calls[i]
		if k.server != si || k.at == callFree {
			continue
		}
		if k.atServer || k.swallowed {
			k.atServer, k.serving = false, false
			m.answer(int32(i), api.ConnectionReset, 0)
		}
		m.release(int32(i))
	}
}

// outage notes whether a route is out: none of its listed endpoints does its work.
func (m *Model) outage(ri int32) {
	r := &m.routes[ri]
	out := !slices.ContainsFunc(r.endpoints, func(e int32) bool {
		return !m.endpoints[e].gone && !m.servers[m.endpoints[e].server].sick()
	})
	if out == r.out {
		return
	}
	r.out, r.load = out, loads{}
	e := eventpkg.Event{
		At:          m.now,
		Kind:        eventpkg.OutageStarted,
		Route:       eventpkg.Route(ri),
		Destination: r.dest,
		Weight:      r.perS,
	}
	if r.backAt = never; !out {
		e.Kind, r.backAt = eventpkg.OutageEnded, m.now
		r.tokens, r.tokensAt, r.used, r.begun = 0, m.now, 0, m.now
	}
	m.Bus.Emit(e)
}

// way is the time from a dispatcher to an endpoint or back.
func (m *Model) way(a, b api.ZoneID) api.Micros { return max(m.span(a, b, m.chance), 1) }

func (m *Model) span(a, b api.ZoneID, chance *rand.Rand) api.Micros {
	n := &m.plan.Net
	t := float64(n.Same)
	if a != b {
		t = float64(n.Cross)
	}
	return api.Micros(t * (1 + n.Jitter*(2*chance.Float64()-1)))
}

// stream is one source of chance; streams of one seed know nothing of each other.
func stream(seed, number uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, number)) }

func within[T ~int64 | ~float64](chance *rand.Rand, of []T) T {
	return of[0] + T(float64(of[1]-of[0])*chance.Float64())
}

// struck lists the endpoints that a trouble strikes, in their order.
func (m *Model) struck(t *Trouble) (all []int32) {
	chance := stream(m.plan.Seed, 1000+uint64(t.At))
	for i := range m.dests {
		d := &m.dests[i]
		named := slices.Contains(t.Destinations, i) || i < t.Busiest || t.Share > 0 && chance.Float64() < t.Share
		anyone := len(t.Destinations) == 0 && t.Busiest == 0 && t.Share == 0
		if !named && !anyone || t.OfKind != "" && d.kind.Name != t.OfKind {
			continue
		}
		for _, e := range d.endpoints {
			if m.endpoints[e].gone || t.Zone != "" && t.Zone != m.plan.Net.Zones[m.endpoints[e].zone] {
				continue
			}
			if all = append(all, e); t.One {
				break
			}
		}
	}
	return all
}
