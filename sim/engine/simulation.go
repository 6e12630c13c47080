package engine

import (
	"math/rand/v2"
	"time"

	"rowanlink/internal/timerqueue"
	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// PolicyFactory makes a dispatcher's decision module.
type PolicyFactory func(api.Settings, api.Host) api.Policy

// Simulation is one run in progress.
type Simulation struct {
	Bus             event.Bus
	EventCount      int           // handled so far
	PeakQueueLength int           // most events that waited at once
	PolicyTime      time.Duration // real time spent in the modules, where Clocked
	// MeasurePolicyTime has each turn timed. It changes nothing in the run.
	MeasurePolicyTime bool

	scenario  *Scenario
	newPolicy PolicyFactory
	now       api.Micros
	queue     timerqueue.Queue[scheduledEvent]

	random        *rand.Rand // ways, answer times, refusals: drawn in the order of events
	arrivalRandom *rand.Rand // who hands in what and when: the same for every module
	clientRandom  *rand.Rand // what clients do after a rejection

	destinations       []destination
	routes             []route
	endpoints          []endpoint
	servers            []server
	destinationWeights []float64
	initialEndpoints   []api.EndpointEntry
	endpointChanges    []endpointChange

	dispatchers   []dispatcher
	calls         []call
	freeCalls     []int32
	requests      []clientRequest
	lastWebhookID api.WebhookID
	openRequests  int // origins that may still come to something

	eventTypeShares, tenantShares []float64 // cumulative shares
	burstFactors                  []float64
	hotSpots                      []hotSpot
	rateFactor                    float64 // bursty: the factor that holds now
	rateFactorUntil               api.Micros

	cluster *clusterState // nil: each dispatcher has an even part of each rate

	faultTargets map[int32][]int32 // by trouble
	flapDown     map[int32]bool    // by trouble: down now
}

type hotSpot struct {
	share        float64
	destinations []api.DestinationID
	fault        int32
}

// scheduledEvent is something due; gen guards against what it was meant for having ended meanwhile.
type scheduledEvent struct {
	kind            scheduledKind
	generation      uint32
	subject, detail int32
}

type scheduledKind uint8

const (
	evArrive          scheduledKind = iota
	evSubmit                        // a: origin, b: 1 the client gave the last answer up
	evIteration                     // a: dispatcher
	evTimer                         // a: dispatcher, b: timer
	evEndpointUpdate                // a: dispatcher, b: changes known from now on
	evConnect                       // a: call
	evCallArrival                   // a: call
	evCallServed                    // a: call
	evResponse                      // a: call
	evCallTimeout                   // a: call
	evIdleTimeout                   // a: dispatcher, b: endpoint
	evFaultStart                    // a: trouble
	evFaultEnd                      // a: trouble
	evFlap                          // a: trouble, b: 1 goes down
	evEndpointRemoval               // a: endpoint, b: trouble
	evKill                          // a: dispatcher, b: trouble
	evStart                         // a: dispatcher
	evHandoffArrival                // a: offer, at whom it was sent to
	evHandoffReply                  // a: offer, back at its sender
	evHandoffTimeout                // a: offer, its sender waits no more
	evCustodyQuery                  // a: offer, b: 0 at whom it was sent to, else the reply, back at its sender
	evParkedReview                  // a: dispatcher: what it has parked
	evParkedExpiry                  // a: dispatcher, b: webhook
	evLeaseRenewal                  // a: dispatcher
	evLeaseMessage                  // a: ask, b: 0 at the keeper, 1 back
	evExpiryScan                    // the keeper looks at terms
	evMapUpdate                     // a: dispatcher, b: map
)

// New sets a run up. The scenario must be complete and checked; it is not changed.
func New(plan *Scenario, start PolicyFactory) *Simulation {
	m := &Simulation{scenario: plan, newPolicy: start, random: newRandom(plan.Seed, 2), arrivalRandom: newRandom(plan.Seed, 3),
		clientRandom: newRandom(plan.Seed, 4), rateFactor: 1}
	m.buildDestinations()
	for _, e := range plan.EventTypes {
		m.eventTypeShares = append(m.eventTypeShares, e.Share)
	}
	for _, t := range plan.Tenants {
		m.tenantShares = append(m.tenantShares, t.Share)
	}
	cumulate(m.eventTypeShares)
	cumulate(m.tenantShares)
	if plan.Ownership.LeaseTTL > 0 {
		m.cluster = newClusterState(m)
	}
	return m
}

func cumulate(of []float64) {
	for i := 1; i < len(of); i++ {
		of[i] += of[i-1]
	}
}

// schedule puts an event in so much later.
func (m *Simulation) schedule(span api.Micros, e scheduledEvent) { m.queue.Add(int64(m.now+span), e) }

// Run plays the scenario to its end and returns how long that was in simulated time.
func (m *Simulation) Run() api.Micros {
	m.dispatchers = make([]dispatcher, m.scenario.Dispatchers.Count)
	for i := range m.dispatchers {
		m.dispatchers[i] = dispatcher{
			m:          m,
			number:     int32(i),
			seedSource: newRandom(m.scenario.Seed, 1<<32+uint64(i)),
			weight:     1,
		}
		if n := len(m.dispatchers); n > 1 {
			m.dispatchers[i].weight = 1 + m.scenario.Dispatchers.LoadSkew*(1-2*float64(i)/float64(n-1))
		}
		if m.cluster == nil {
			m.startDispatcher(int32(i))
		}
	}
	if m.cluster != nil {
		m.cluster.start()
	}
	for i := range m.scenario.Faults {
		m.queue.Add(int64(m.scenario.Faults[i].At), scheduledEvent{kind: evFaultStart, subject: int32(i)})
	}
	m.schedule(m.nextInterarrival(), scheduledEvent{kind: evArrive})
	longest := api.Micros(0)
	for i := range m.scenario.EventTypes {
		longest = max(longest, m.scenario.EventTypes[i].TTL.micros())
	}
	length := m.scenario.Duration.micros()
	last := length + 2*longest + 10*api.Second
	for {
		at, ok := m.queue.Next()
		if !ok || api.Micros(at) > last || api.Micros(at) > length && m.openRequests == 0 {
			return m.now
		}
		e, _ := m.queue.PopDue(at)
		m.now = api.Micros(at)
		m.EventCount++
		m.PeakQueueLength = max(m.PeakQueueLength, m.queue.Len())
		m.handle(e)
	}
}

func (m *Simulation) handle(e scheduledEvent) {
	switch e.kind {
	case evArrive:
		m.generateArrivals()
	case evSubmit:
		m.submit(e.subject)
	case evIteration, evTimer, evEndpointUpdate, evIdleTimeout:
		if d := &m.dispatchers[e.subject]; d.incarnation == e.generation && d.up {
			m.handleDispatcherEvent(d, e)
		}
	case evConnect, evCallArrival, evCallServed, evResponse, evCallTimeout:
		if k := &m.calls[e.subject]; k.generation == e.generation && k.state != callFree {
			m.handleCallEvent(e)
		}
	case evFaultStart:
		m.applyFault(e.subject, true)
	case evFaultEnd:
		m.applyFault(e.subject, false)
	case evFlap:
		m.flapEndpoints(e.subject, e.detail == 1)
	case evEndpointRemoval:
		m.removeEndpoint(e.subject, e.detail)
	case evKill:
		m.killDispatcher(&m.dispatchers[e.subject], &m.scenario.Faults[e.detail])
	case evStart:
		m.startDispatcher(e.subject)
	default:
		m.cluster.handle(e)
	}
}
