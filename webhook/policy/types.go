package policy

import (
	"fmt"
	"slices"

	"rowanlink/internal/mwcrand"
	"rowanlink/internal/timerqueue"
	"rowanlink/webhook/api"
)

const never = api.Never

// Timers that a Policy sets through its host.
const (
	timerPeriodic api.TimerID = 0 // fires every periodicInterval
	timerQueue    api.TimerID = 1 // fires when the earliest entry of Policy.timers is due
)

// stageResult says whether a stage lets a webhook proceed.
type stageResult bool

const (
	proceed stageResult = true  // the next stage checks the webhook
	wait    stageResult = false // the webhook stays in its queue until a later turn
)

// Policy decides for one dispatcher. It implements api.Policy and api.StateTransferer and is not safe for concurrent
// use.
type Policy struct {
	settings   api.Settings
	host       api.Host
	random     *mwcrand.Source
	eventTypes []eventTypePolicy  // by api.EventTypeID; the last one serves unknown types
	kinds      []*destinationKind // by api.DestinationKindID; the last one serves unknown kinds
	quotas     []tenantQuota      // by api.TenantID
	stages     []func(*webhook) stageResult

	now        api.Micros
	turnNumber int
	webhooks   map[api.WebhookID]*webhook
	unanswered int // webhooks without a final answer
	// exemptFromShedding counts the webhooks that were pending when the settings last changed: they aren't shed for a
	// smaller buffer.
	exemptFromShedding int
	inFlight           int // calls in flight, canaries included
	canariesInFlight   int // calls in flight to unhealthy routes

	destinations            map[api.DestinationID]*destination
	destinationList         []*destination // all destinations, in the order in which they were first seen
	backlogged              []*destination // destinations with waiting webhooks
	endpoints               map[api.EndpointID]*endpoint
	endpointsWithEndedCalls []*endpoint // endpoints of the calls that ended in this turn
	connectedEndpoints      []*endpoint // endpoints that may have idle connections
	delistedEndpoints       []*endpoint // endpoints that left the list and aren't forgotten yet
	sequences               map[api.OrderingKey]*sequence

	timers         timerqueue.Queue[*webhook] // nil: a wake-up, since a route or an ordering key may admit calls again
	timerArmedAt   api.Micros                 // when timerQueue fires
	nextPeriodicAt api.Micros                 // when timerPeriodic fires

	meanLatency float64    // µs, smoothed over all routes
	timeoutRate float64    // share of recent calls that timed out, smoothed over all routes
	shedding    bool       // load shedding was logged as begun, not as ended
	selected    *endpoint  // the endpoint that send uses, chosen by checkConcurrency or selectEndpoint
	ready       []*webhook // webhooks that the stages check in this turn; reused between turns
}

// eventTypePolicy is what the policy derives from the settings of an event type.
type eventTypePolicy struct {
	api.EventType
	maxBackoff float64    // longest delay of the backoff schedule, in seconds
	maxTimeout api.Micros // longest time-out of an attempt
}

// webhook is one webhook that this dispatcher has accepted and not yet forgotten.
type webhook struct {
	id            api.WebhookID
	eventType     *eventTypePolicy
	destination   *destination
	orderingKey   api.OrderingKey
	deadline      api.Micros // last moment for the final answer
	targetAt      api.Micros // end of the latency target: the webhook has its full value if it is delivered by then
	overQuota     bool       // it exceeded its tenant's quota when it was submitted
	attempts      int        // attempts started so far, those before a recovery included
	backoffs      int        // backoff delays drawn so far
	nextAttemptAt api.Micros // end of its backoff
	mayHaveRunAt  api.Micros // start of the first attempt that may have taken effect, or never
	mayHaveRunIn  api.ZoneID // zone of the endpoint of that attempt
	sentAt        api.Micros // start of the last attempt
	call          *call      // the call in flight that carries it, or nil
	queued        bool       // it waits in its destination's queue
	finished      bool       // it has its final answer
}

// call is one call in flight, which carries one or more webhooks. It occupies one slot until each of them has an
// outcome.
type call struct {
	endpoint   *endpoint
	pending    int  // webhooks in the call without an outcome
	turnNumber int  // the turn in which the call started; webhooks of later turns can't join it
	recorded   bool // an outcome has updated the state of the endpoint and route
	canary     bool // the route was unhealthy when the call started
}

// endpoint is one address of a destination.
type endpoint struct {
	id                  api.EndpointID
	zone                api.ZoneID
	destination         *destination
	route               *route
	listed              bool
	delistedAt          api.Micros
	inFlight            int
	connected           bool    // it may have idle connections: it is in Policy.connectedEndpoints
	connectionLimit     float64 // maximum of calls in flight, learned from refused connections
	meanLatency         float64 // µs, smoothed
	lastSuccessAt       api.Micros
	lastFailureAt       api.Micros
	consecutiveFailures int
	nextCanaryAt        api.Micros // no call before then while the endpoint is ejected
	openCall            *call      // the last call that started; webhooks of the same turn may join it
}

// route holds the limits, Retry-After delays and health of a destination or, where its kind has separate routes, of one
// endpoint.
type route struct {
	logName         api.EndpointID // an endpoint of the route, which identifies it in log lines
	inFlight        int
	window          float64 // congestion window: maximum of calls in flight
	retryAfterUntil api.Micros

	// Rates are in calls per second.
	listedRate       float64    // this dispatcher's share of the rate in the endpoint list or load reports
	rate             float64    // the enforced rate; adapts around listedRate
	tokens           float64    // in the token bucket that enforces the rate; below 0 after rejections
	tokensAt         api.Micros // last refill of the token bucket
	rateDecreasedAt  api.Micros
	usedFallbackRate bool    // the last call was admitted at the fallback rate, which was above rate
	reportedHeadroom float64 // unused part of the limit, by the last load report
	rateReported     bool    // listedRate is from load reports

	wakeUpAt              api.Micros // time of the requested wake-up; 0 or past: none is requested
	lastOutcomeAt         api.Micros // last outcome, or a later send while no call was in flight
	lastSuccessAt         api.Micros
	meanLatency           float64 // µs, smoothed; 0 before the first success
	failureRate           float64 // share of recent calls that failed, smoothed
	timeoutRate           float64 // share of recent calls that timed out, smoothed
	consecutiveRejections int
	unhealthy             bool
	nextCanaryAt          api.Micros // no canary before then while the route is unhealthy
	slowStartSince        api.Micros // start of the slow start, or never
}

// destinationKind holds the settings of one kind of destination and the state learned over all destinations of the
// kind.
type destinationKind struct {
	api.DestinationKind
	fallbackRate           float64    // calls per second that a route with a tiny share of the rate may have
	connectionLimitedUntil api.Micros // until then endpoints of the kind are assumed to limit connections
}

// destination is a receiver of webhooks, with one or more endpoints.
type destination struct {
	id          api.DestinationID
	kind        *destinationKind
	sharedRoute *route      // nil until its first webhook
	endpoints   []*endpoint // listed endpoints, most preferred first
	queue       []*webhook  // waiting webhooks
	hasDequeued bool        // queue contains webhooks that were dequeued
	backlogged  bool        // the destination is in Policy.backlogged
	index       int         // in Policy.destinationList
	firstSeenAt api.Micros
	listedRate  float64 // listed rate that a new shared route starts with; as route.listedRate
}

// sequence is the queue of ordered webhooks that share an ordering key.
type sequence struct {
	queue       []*webhook
	pausedUntil api.Micros // no first attempt before then, since an earlier attempt may still run
}

// tenantQuota is a token bucket for the webhooks that a tenant submits.
type tenantQuota struct {
	rate, tokens float64 // this dispatcher's share of the quota in webhooks per second; tokens in the bucket
	updatedAt    api.Micros
}

// ensureDestination returns a destination. It adds a new one with the kind for unknown kinds, until an endpoint list
// states its kind.
func (p *Policy) ensureDestination(id api.DestinationID) *destination {
	if p.destinations[id] == nil {
		d := &destination{
			id:          id,
			kind:        p.kinds[len(p.kinds)-1],
			firstSeenAt: p.now,
			index:       len(p.destinationList),
		}
		p.destinations[id] = d
		p.destinationList = append(p.destinationList, d)
	}
	return p.destinations[id]
}

// startCall counts a new call to an endpoint as in flight and makes it the endpoint's open call.
func (p *Policy) startCall(e *endpoint) {
	r := e.route
	e.openCall = &call{endpoint: e, turnNumber: p.turnNumber, canary: r.unhealthy}
	p.inFlight++
	r.inFlight++
	e.inFlight++
	if r.unhealthy {
		p.canariesInFlight++
	}
	if !e.connected {
		e.connected = true
		p.connectedEndpoints = append(p.connectedEndpoints, e)
	}
}

// finishCall records that a webhook of the call has an outcome. The call ends with the outcome of its last webhook.
func (p *Policy) finishCall(c *call) {
	c.pending--
	if c.pending > 0 {
		return
	}
	p.inFlight--
	c.endpoint.route.inFlight--
	c.endpoint.inFlight--
	if c.canary {
		p.canariesInFlight--
	}
	p.endpointsWithEndedCalls = append(p.endpointsWithEndedCalls, c.endpoint)
}

// enqueue appends a webhook to its destination's queue.
func (p *Policy) enqueue(w *webhook) {
	d := w.destination
	w.queued = true
	d.queue = append(d.queue, w)
	if !d.backlogged {
		d.backlogged = true
		p.backlogged = append(p.backlogged, d)
	}
}

// dequeue marks a webhook as no longer waiting; removeDequeued removes it from the queue.
func (w *webhook) dequeue() {
	w.queued = false
	w.destination.hasDequeued = true
}

// removeDequeued removes the webhooks that were dequeued from the queue.
func (d *destination) removeDequeued() {
	if d.hasDequeued {
		d.queue = slices.DeleteFunc(d.queue, func(w *webhook) bool { return !w.queued })
		d.hasDequeued = false
	}
}

func (p *Policy) log(format string, args ...any) { p.host.Log(fmt.Sprintf(format, args...)) }
