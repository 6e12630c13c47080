package engine

import (
	"math/rand/v2"
	"slices"

	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// dispatcher is a simulated dispatcher. It hosts a policy as its api.Host and runs it in an event loop.
type dispatcher struct {
	sim         *Simulation
	number      int32
	incarnation uint32 // counts the starts; events for an earlier incarnation are void
	seedSource  *rand.Rand
	policy      api.Policy
	weight      float64 // share of the load balancer's traffic, relative to the others
	zone        api.ZoneID

	up             bool
	draining       bool
	deathNoticedAt api.Micros // until then the load balancer takes a dead dispatcher for healthy
	pausedUntil    api.Micros

	inbox              []notification // for the next iteration
	lastIterationAt    api.Micros
	iterationScheduled bool

	webhooks            map[api.WebhookID]*webhook
	openWebhooks        int        // of webhooks, those that aren't finished
	recovered           []*webhook // for the next incarnation
	acceptedInIteration []*webhook

	activeCalls  int
	pendingCalls []int32 // calls of this iteration, which start at its end
	connections  map[int32]*idleConnections

	knownChanges     int // of the endpoint changes
	extraUpdateDelay api.Micros
	extraStartAge    api.Micros

	killNextIteration *Fault // ends the dispatcher in the next iteration that accepts a webhook
	dyingInIteration  bool   // nothing of this iteration gets out

	member *memberState // nil: without ownership of ranges
}

// webhook is a webhook at a dispatcher.
type webhook struct {
	id               api.WebhookID
	request          int32
	attempts         int
	mayHaveRunAt     api.Micros // or never
	zone             api.ZoneID // of the attempt that may have run
	attemptStartedAt api.Micros
	attemptZone      api.ZoneID
	call             int32 // the attempt in flight, or noCall
	finished         bool
	custodyState
}

const noCall = int32(-1)

func (w *webhook) priorAttempts() api.PriorAttempts {
	return api.PriorAttempts{Count: w.attempts, MayHaveRunAt: w.mayHaveRunAt, Zone: w.zone}
}

// recordPossibleRun notes that the attempt in flight may have run, unless an earlier one may have.
func (w *webhook) recordPossibleRun() {
	if w.mayHaveRunAt == never {
		w.mayHaveRunAt = w.attemptStartedAt
		w.zone = w.attemptZone
	}
}

// idleConnections are a dispatcher's idle connections to one endpoint, the one that is idle longest first.
type idleConnections struct {
	since          []api.Micros
	epoch          uint32 // of the server; see server.epoch
	timerScheduled bool
}

// startDispatcher starts a new incarnation of a dispatcher, with the webhooks that its state holds.
func (m *Simulation) startDispatcher(n int32) {
	d := &m.dispatchers[n]
	d.reset()
	m.Bus.Emit(event.Event{At: m.now, Kind: event.Started, Dispatcher: n})
	d.policy = m.newPolicy(m.scenario.DispatcherSettings(int(n), d.seedSource.Uint64()), d)
	endpoints := d.startupEndpoints()
	if m.cluster != nil {
		m.cluster.joinCluster(d)
	}
	d.enqueue(notification{kind: notifyEndpoints, endpoints: endpoints, complete: true})
	if d.knownChanges < len(m.endpointChanges) {
		d.scheduleEndpointUpdate()
	}
	d.recoverWebhooks()
	d.scheduleIteration()
}

// reset gives a new incarnation its initial state.
func (d *dispatcher) reset() {
	d.incarnation++
	d.up = true
	d.draining = false
	d.zone = api.ZoneID(int(d.number) % len(d.sim.scenario.Network.Zones))
	d.inbox = nil
	d.iterationScheduled = false
	d.lastIterationAt = d.sim.now - d.sim.scenario.Dispatchers.MinIterationInterval.micros()
	d.webhooks = map[api.WebhookID]*webhook{}
	d.openWebhooks = 0
	d.connections = map[int32]*idleConnections{}
	d.activeCalls = 0
	d.pendingCalls = nil
	d.killNextIteration = nil
	d.dyingInIteration = false
}

// startupEndpoints returns the endpoint list that a dispatcher starts with, which may be out of date.
func (d *dispatcher) startupEndpoints() []api.EndpointEntry {
	m := d.sim
	age := m.scenario.Dispatchers.StartupListAge.micros() + d.extraStartAge
	d.knownChanges = 0
	for d.knownChanges < len(m.endpointChanges) && m.endpointChanges[d.knownChanges].at <= m.now-age {
		d.knownChanges++
	}
	if d.knownChanges == 0 {
		return m.initialEndpoints
	}
	endpoints := slices.Clone(m.initialEndpoints)
	for _, change := range m.endpointChanges[:d.knownChanges] {
		same := func(e api.EndpointEntry) bool { return e.Endpoint == change.entry.Endpoint }
		if i := slices.IndexFunc(endpoints, same); i >= 0 {
			endpoints[i] = change.entry
		} else {
			endpoints = append(endpoints, change.entry)
		}
	}
	return slices.DeleteFunc(endpoints, func(e api.EndpointEntry) bool { return e.Status == api.EndpointRemoved })
}

// recoverWebhooks passes the webhooks of the earlier incarnation to the policy.
func (d *dispatcher) recoverWebhooks() {
	recovered := d.recovered
	d.recovered = nil
	for _, w := range recovered {
		d.webhooks[w.id] = w
	}
	if d.member != nil {
		d.assumeDeliveredElsewhere()
	}
	if len(recovered) > 0 {
		d.deliverQueuedEndpoints() // the policy must know the destinations of webhooks that it recovers
	}
	for _, w := range recovered {
		d.openWebhooks++
		d.sim.Bus.Emit(d.sim.webhookEvent(event.Recovered, d, w, event.Event{Attempt: w.attempts}))
		if d.member != nil {
			d.submitOrPark(w)
			continue
		}
		d.policy.Recover(d.sim.requests[w.request].webhook(w.id), w.priorAttempts())
	}
}
