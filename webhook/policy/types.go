package policy

import (
	"fmt"
	"slices"

	"rowanlink/internal/mwcrand"
	"rowanlink/internal/timerqueue"
	"rowanlink/webhook/api"
)

const never = api.Never

// Timers of an instance.
const (
	timerPeriodic api.TimerID = 0 // periodic work
	timerQueue    api.TimerID = 1 // the earliest entry of Policy.timers
)

// stageResult is what a stage does with a webhook.
type stageResult bool

const (
	proceed stageResult = true  // the next stage checks it
	wait    stageResult = false // it stays in its queue until a later turn
)

// Policy decides for one dispatcher. It implements api.Policy and api.StateTransferer and is not safe for concurrent
// use.
type Policy struct {
	settings   api.Settings
	host       api.Host
	random     *mwcrand.Source
	eventTypes []eventTypePolicy // by api.EventTypeID; the last one serves unknown types
	kinds      []*destinationKind
	quotas     []tenantQuota // by api.TenantID
	stages     []func(*webhook) stageResult

	now        api.Micros
	turnNumber int
	webhooks   map[api.WebhookID]*webhook
	unanswered int // webhooks without a final answer
	// grandfathered is how many webhooks were pending when the settings changed: a smaller buffer doesn't shed these.
	grandfathered    int
	inFlight         int // calls in flight
	canariesInFlight int // of them, to unhealthy routes

	destinations       map[api.DestinationID]*destination
	destinationList    []*destination // all of them, in the order in which they were first seen
	backlogged         []*destination // those with a queue
	endpoints          map[api.EndpointID]*endpoint
	finishedEndpoints  []*endpoint // those whose call ended in this turn
	connectedEndpoints []*endpoint // those that may have idle connections
	delistedEndpoints  []*endpoint // those off the list and not yet forgotten
	sequences          map[api.OrderingKey]*sequence

	timers         timerqueue.Queue[*webhook] // a nil entry is the time at which a route may admit calls again
	timerArmedAt   api.Micros                 // when timerQueue fires
	nextPeriodicAt api.Micros                 // when timerPeriodic fires

	meanLatency float64 // µs, smoothed over all routes
	timeoutRate float64 // share of recent calls that timed out, smoothed over all routes
	shedding    bool
	selected    *endpoint  // the choice of selectEndpoint for send
	ready       []*webhook // scratch space of EndTurn
}

// eventTypePolicy is what the policy derives from the settings of an event type.
type eventTypePolicy struct {
	api.EventType
	maxBackoff float64    // m of the backoff schedule, in seconds
	maxTimeout api.Micros // longest time-out of an attempt
}

// webhook is one webhook that this dispatcher has accepted and not yet forgotten.
type webhook struct {
	id            api.WebhookID
	eventType     *eventTypePolicy
	destination   *destination
	orderingKey   api.OrderingKey
	deadline      api.Micros // last moment for the final answer
	targetAt      api.Micros // delivered by then it has its full value
	overQuota     bool       // beyond its tenant's quota
	attempts      int
	backoffs      int        // delays drawn so far
	nextAttemptAt api.Micros // its own backoff ends then
	mayHaveRunAt  api.Micros // start of the first attempt that may have run, or never
	mayHaveRunIn  api.ZoneID // zone of that attempt's endpoint
	sentAt        api.Micros
	call          *call // in flight, or nil
	queued        bool
	finished      bool // it has its final answer
}

// call is one call in flight: it takes one slot until every webhook in it has its outcome.
type call struct {
	endpoint   *endpoint
	pending    int // webhooks in it without an outcome
	turnNumber int // the turn in which it started; later webhooks can't join it
	recorded   bool
	canary     bool // sent to an unhealthy route
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
	connected           bool    // it may have idle connections
	connectionLimit     float64 // calls in flight at most, learned from connections that were refused
	meanLatency         float64 // µs, smoothed
	lastSuccessAt       api.Micros
	lastFailureAt       api.Micros
	consecutiveFailures int
	nextCanaryAt        api.Micros // unhealthy: no call before then
	openCall            *call      // started in this turn, with space for further webhooks
}

// route is what limits, waits and outages belong to: a destination, or one endpoint where the kind has separate routes.
type route struct {
	logName         api.EndpointID // one endpoint of it
	inFlight        int
	window          float64 // calls in flight at most
	retryAfterUntil api.Micros

	// Rates are in calls per second.
	listedRate       float64 // this dispatcher's share of the rate that the list or reports give
	rate             float64 // what is let out; adapts around listedRate
	tokens           float64 // of the token bucket that enforces the rate
	tokensAt         api.Micros
	rateDecreasedAt  api.Micros
	usedFallbackRate bool    // the last call was let out by the fallback rate
	reportedHeadroom float64 // of the limit that was left, by the last report
	rateReported     bool    // listedRate is from reports

	wakeUpAt              api.Micros // a wake-up is requested for then
	lastOutcomeAt         api.Micros // or the first send after it was idle
	lastSuccessAt         api.Micros
	meanLatency           float64 // µs, smoothed; 0: none yet
	failureRate           float64 // share of recent calls that failed, smoothed
	timeoutRate           float64 // share of recent calls that timed out, smoothed
	consecutiveRejections int
	unhealthy             bool
	nextCanaryAt          api.Micros // unhealthy: next canary
	slowStartSince        api.Micros // first success after an outage, or never
}

// destinationKind is the settings of one kind of destination and what is learned over all destinations of the kind.
type destinationKind struct {
	api.DestinationKind
	fallbackRate           float64    // calls per second that a route with a tiny share is let
	connectionLimitedUntil api.Micros // until then the kind counts as short of connections
}

// destination is who webhooks are delivered to.
type destination struct {
	id          api.DestinationID
	kind        *destinationKind
	sharedRoute *route      // nil until its first webhook
	endpoints   []*endpoint // listed ones, ranked
	queue       []*webhook  // waiting webhooks
	hasDequeued bool        // some of the queue wait no longer
	backlogged  bool        // it is in Policy.backlogged
	index       int         // in Policy.destinationList
	firstSeenAt api.Micros
	listedRate  float64 // as route.listedRate, until it has a route
}

// sequence is the queue of ordered webhooks that share a key.
type sequence struct {
	queue       []*webhook
	pausedUntil api.Micros
}

// tenantQuota is a token bucket that meters what a tenant submits.
type tenantQuota struct {
	rate, tokens float64
	updatedAt    api.Micros
}

// destination returns a destination, and adds it if it is new, with the kind for destinations that no list names.
func (p *Policy) destination(id api.DestinationID) *destination {
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

// startCall counts a new call to an endpoint; webhooks of this turn may join it.
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

// finishCall counts a webhook's outcome against its call, which ends with the last one.
func (p *Policy) finishCall(k *call) {
	k.pending--
	if k.pending > 0 {
		return
	}
	p.inFlight--
	k.endpoint.route.inFlight--
	k.endpoint.inFlight--
	if k.canary {
		p.canariesInFlight--
	}
	p.finishedEndpoints = append(p.finishedEndpoints, k.endpoint)
}

// enqueue puts a webhook into its destination's queue.
func (p *Policy) enqueue(w *webhook) {
	d := w.destination
	w.queued = true
	d.queue = append(d.queue, w)
	if !d.backlogged {
		d.backlogged = true
		p.backlogged = append(p.backlogged, d)
	}
}

// dequeue marks the webhook for the next removeDequeued.
func (w *webhook) dequeue() {
	w.queued = false
	w.destination.hasDequeued = true
}

// removeDequeued drops webhooks from the queue that wait no longer.
func (d *destination) removeDequeued() {
	if d.hasDequeued {
		d.queue = slices.DeleteFunc(d.queue, func(w *webhook) bool { return !w.queued })
		d.hasDequeued = false
	}
}

func (p *Policy) log(format string, args ...any) { p.host.Log(fmt.Sprintf(format, args...)) }
