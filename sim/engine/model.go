package engine

import (
	"math/rand/v2"
	"time"

	"rowanlink/internal/timerqueue"
	eventpkg "rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// Starter makes a dispatcher's decision module.
type Starter func(api.Settings, api.Host) api.Policy

// Model is one run in progress.
type Model struct {
	Bus    eventpkg.Bus
	Events int           // handled so far
	Peak   int           // most events that waited at once
	Module time.Duration // real time spent in the modules, where Clocked
	// Clocked has each turn timed. It changes nothing in the run.
	Clocked bool

	plan  *Scenario
	start Starter
	now   api.Micros
	queue timerqueue.Queue[event]

	chance   *rand.Rand // ways, answer times, refusals: drawn in the order of events
	arrivals *rand.Rand // who hands in what and when: the same for every module
	habits   *rand.Rand // what clients do after a rejection

	dests     []destination
	routes    []route
	endpoints []endpoint
	servers   []server
	weights   []float64
	base      []api.EndpointEntry
	changes   []change

	dispatchers []dispatcher
	calls       []call
	free        []int32
	origins     []origin
	lastID      api.WebhookID
	open        int // origins that may still come to something

	events, tenants []float64 // cumulative shares
	bursts          []float64
	hot             []hot
	sway            float64 // bursty: the factor that holds now
	swayUntil       api.Micros

	homes *homes // nil: each dispatcher has an even part of each rate

	targeted map[int32][]int32 // by trouble
	flapped  map[int32]bool    // by trouble: down now
}

type hot struct {
	share   float64
	to      []api.DestinationID
	trouble int32
}

// event is something due; gen guards against what it was meant for having ended meanwhile.
type event struct {
	kind eventKind
	gen  uint32
	a, b int32
}

type eventKind uint8

const (
	evArrive    eventKind = iota
	evHandIn              // a: origin, b: 1 the client gave the last answer up
	evTurn                // a: dispatcher
	evWake                // a: dispatcher, b: timer
	evList                // a: dispatcher, b: changes known from now on
	evConnect             // a: call
	evReach               // a: call
	evServed              // a: call
	evAnswer              // a: call
	evGiveUp              // a: call
	evIdle                // a: dispatcher, b: endpoint
	evBegin               // a: trouble
	evOver                // a: trouble
	evFlip                // a: trouble, b: 1 goes down
	evGone                // a: endpoint, b: trouble
	evKill                // a: dispatcher, b: trouble
	evStart               // a: dispatcher
	evOffer               // a: offer, at whom it was sent to
	evTold                // a: offer, back at its sender
	evOfferOver           // a: offer, its sender waits no more
	evQuestion            // a: offer, b: 0 at whom it was sent to, else the reply, back at its sender
	evLook                // a: dispatcher: what it has parked
	evExpire              // a: dispatcher, b: webhook
	evRenew               // a: dispatcher
	evAsk                 // a: ask, b: 0 at the keeper, 1 back
	evKeep                // the keeper looks at terms
	evChart               // a: dispatcher, b: map
)

// New sets a run up. The scenario must be complete and checked; it is not changed.
func New(plan *Scenario, start Starter) *Model {
	m := &Model{plan: plan, start: start, chance: stream(plan.Seed, 2), arrivals: stream(plan.Seed, 3),
		habits: stream(plan.Seed, 4), sway: 1}
	m.build()
	for _, e := range plan.Events {
		m.events = append(m.events, e.Share)
	}
	for _, t := range plan.Tenants {
		m.tenants = append(m.tenants, t.Share)
	}
	cumulate(m.events)
	cumulate(m.tenants)
	if plan.Homes.Term > 0 {
		m.homes = newHomes(m)
	}
	return m
}

func cumulate(of []float64) {
	for i := 1; i < len(of); i++ {
		of[i] += of[i-1]
	}
}

// after puts an event in so much later.
func (m *Model) after(span api.Micros, e event) { m.queue.Add(int64(m.now+span), e) }

// Run plays the scenario to its end and returns how long that was in simulated time.
func (m *Model) Run() api.Micros {
	m.dispatchers = make([]dispatcher, m.plan.Dispatchers.Count)
	for i := range m.dispatchers {
		m.dispatchers[i] = dispatcher{
			m:      m,
			number: int32(i),
			seeds:  stream(m.plan.Seed, 1<<32+uint64(i)),
			weight: 1,
		}
		if n := len(m.dispatchers); n > 1 {
			m.dispatchers[i].weight = 1 + m.plan.Dispatchers.FrontSkew*(1-2*float64(i)/float64(n-1))
		}
		if m.homes == nil {
			m.begin(int32(i))
		}
	}
	if m.homes != nil {
		m.homes.settled()
	}
	for i := range m.plan.Troubles {
		m.queue.Add(int64(m.plan.Troubles[i].At), event{kind: evBegin, a: int32(i)})
	}
	m.after(m.gap(), event{kind: evArrive})
	longest := api.Micros(0)
	for i := range m.plan.Events {
		longest = max(longest, m.plan.Events[i].TTL.us())
	}
	length := m.plan.Length.us()
	last := length + 2*longest + 10*api.Second
	for {
		at, ok := m.queue.Next()
		if !ok || api.Micros(at) > last || api.Micros(at) > length && m.open == 0 {
			return m.now
		}
		e, _ := m.queue.PopDue(at)
		m.now = api.Micros(at)
		m.Events++
		m.Peak = max(m.Peak, m.queue.Len())
		m.handle(e)
	}
}

func (m *Model) handle(e event) {
	switch e.kind {
	case evArrive:
		m.arrive()
	case evHandIn:
		m.handIn(e.a)
	case evTurn, evWake, evList, evIdle:
		if d := &m.dispatchers[e.a]; d.life == e.gen && d.up {
			m.toDispatcher(d, e)
		}
	case evConnect, evReach, evServed, evAnswer, evGiveUp:
		if k := &m.calls[e.a]; k.gen == e.gen && k.at != callFree {
			m.toCall(e)
		}
	case evBegin:
		m.trouble(e.a, true)
	case evOver:
		m.trouble(e.a, false)
	case evFlip:
		m.flip(e.a, e.b == 1)
	case evGone:
		m.leave(e.a, e.b)
	case evKill:
		m.kill(&m.dispatchers[e.a], &m.plan.Troubles[e.b])
	case evStart:
		m.begin(e.a)
	default:
		m.homes.handle(e)
	}
}
