package engine

import (
	"math/rand/v2"
	"time"

	"rowanlink/internal/timerqueue"
	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// PolicyFactory makes the policy of a dispatcher that starts.
type PolicyFactory func(api.Settings, api.Host) api.Policy

// Simulation is one run of a scenario.
type Simulation struct {
	Bus             event.Bus
	EventCount      int           // processed so far
	PeakQueueLength int           // most events in the queue at once
	PolicyTime      time.Duration // real time spent in policies, if MeasurePolicyTime
	// MeasurePolicyTime turns on the measurement of PolicyTime. It doesn't change the run.
	MeasurePolicyTime bool

	scenario  *Scenario
	newPolicy PolicyFactory
	now       api.Micros
	queue     timerqueue.Queue[scheduledEvent]

	random        *rand.Rand // network delays, service times, rejections: in the order of events
	arrivalRandom *rand.Rand // arrivals: the same for every policy
	clientRandom  *rand.Rand // resubmissions and the load balancer

	destinations       []destination
	routes             []route
	endpoints          []endpoint
	servers            []server
	destinationWeights []float64 // cumulative, of the traffic
	initialEndpoints   []api.EndpointEntry
	endpointChanges    []endpointChange

	dispatchers   []dispatcher
	calls         []call
	freeCalls     []int32 // of calls, to be used again
	requests      []clientRequest
	lastWebhookID api.WebhookID
	openRequests  int // that may still be delivered or rejected

	eventTypeShares []float64 // cumulative
	tenantShares    []float64 // cumulative
	burstFactors    []float64
	hotSpots        []hotSpot
	rateFactor      float64 // of the bursty shape, at present
	rateFactorUntil api.Micros

	cluster *clusterState // nil: without ownership of ranges

	faultTargets map[int32][]int32 // endpoints, by fault
	flapDown     map[int32]bool    // by fault
}

// hotSpot sends a share of all arrivals to some destinations.
type hotSpot struct {
	share        float64
	destinations []api.DestinationID
	fault        int32
}

// The random streams of a run, by the number that is mixed with the scenario's seed. Dispatchers and faults have further
// ones; see Run and selectTargets.
const (
	destinationStream = 1 + iota
	engineStream
	arrivalStream
	clientStream
	clusterStream

	faultStreams      = 1000
	dispatcherStreams = 1 << 32
)

// New prepares a run. ApplyDefaults and Validate must have been called on the scenario, which is not changed.
func New(scenario *Scenario, newPolicy PolicyFactory) *Simulation {
	m := &Simulation{
		scenario:      scenario,
		newPolicy:     newPolicy,
		random:        newRandom(scenario.Seed, engineStream),
		arrivalRandom: newRandom(scenario.Seed, arrivalStream),
		clientRandom:  newRandom(scenario.Seed, clientStream),
		rateFactor:    1,
	}
	m.buildDestinations()
	for _, e := range scenario.EventTypes {
		m.eventTypeShares = append(m.eventTypeShares, e.Share)
	}
	for _, t := range scenario.Tenants {
		m.tenantShares = append(m.tenantShares, t.Share)
	}
	cumulate(m.eventTypeShares)
	cumulate(m.tenantShares)
	if scenario.Ownership.LeaseTTL > 0 {
		m.cluster = newClusterState(m)
	}
	return m
}

func cumulate(values []float64) {
	for i := 1; i < len(values); i++ {
		values[i] += values[i-1]
	}
}

// schedule adds an event after a delay.
func (m *Simulation) schedule(delay api.Micros, e scheduledEvent) { m.queue.Add(int64(m.now+delay), e) }

// Run processes all events and returns the simulated time at the end. It may be called once.
func (m *Simulation) Run() api.Micros {
	m.startDispatchers()
	for i := range m.scenario.Faults {
		m.queue.Add(int64(m.scenario.Faults[i].At), scheduledEvent{kind: evFaultStart, subject: int32(i)})
	}
	m.schedule(m.nextInterarrival(), scheduledEvent{kind: evArrival})
	arrivalsEnd, latest := m.scenario.Duration.micros(), m.latestEnd()
	for {
		at, ok := m.queue.Next()
		finished := api.Micros(at) > arrivalsEnd && m.openRequests == 0
		if !ok || api.Micros(at) > latest || finished {
			return m.now
		}
		e, _ := m.queue.PopDue(at)
		m.now = api.Micros(at)
		m.EventCount++
		m.PeakQueueLength = max(m.PeakQueueLength, m.queue.Len())
		m.process(e)
	}
}

func (m *Simulation) startDispatchers() {
	m.dispatchers = make([]dispatcher, m.scenario.Dispatchers.Count)
	for i := range m.dispatchers {
		m.dispatchers[i] = dispatcher{
			sim:        m,
			number:     int32(i),
			seedSource: newRandom(m.scenario.Seed, dispatcherStreams+uint64(i)),
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
}

// latestEnd bounds a run in which webhooks never finish: the longest TTL twice, since a client resubmits, and a margin.
func (m *Simulation) latestEnd() api.Micros {
	longest := api.Micros(0)
	for i := range m.scenario.EventTypes {
		longest = max(longest, m.scenario.EventTypes[i].TTL.micros())
	}
	return m.scenario.Duration.micros() + 2*longest + 10*api.Second
}

// process handles an event unless its subject has ended since.
func (m *Simulation) process(e scheduledEvent) {
	switch e.kind {
	case evArrival:
		m.generateArrivals()
	case evSubmit:
		m.submit(e.subject)
	case evIteration, evTimer, evEndpointUpdate, evIdleTimeout:
		if d := &m.dispatchers[e.subject]; d.incarnation == e.generation && d.up {
			m.handleDispatcherEvent(d, e)
		}
	case evConnect, evCallArrival, evCallServed, evResponse, evCallTimeout:
		if c := &m.calls[e.subject]; c.generation == e.generation && c.state != callFree {
			m.handleCallEvent(e)
		}
	case evFaultStart:
		m.applyFault(e.subject, true)
	case evFaultEnd:
		m.applyFault(e.subject, false)
	case evFlap:
		m.flapEndpoints(e.subject, e.detail == flapGoesDown)
	case evEndpointRemoval:
		m.removeEndpoint(e.subject, e.detail)
	case evKill:
		m.killDispatcher(&m.dispatchers[e.subject], &m.scenario.Faults[e.detail])
	case evStart:
		m.startDispatcher(e.subject)
	default:
		m.cluster.process(e)
	}
}
