package policy

import (
	"fmt"
	"slices"

	"rowanlink/internal/mwcrand"
	"rowanlink/internal/timerqueue"
	"rowanlink/webhook/api"
)

const never = api.Never

// Timers of an instance: one for periodic work, one for the earliest due time.
const timerPeriod, timerDue api.TimerID = 0, 1

// stageResult is what a stage does with a webhook.
type stageResult bool

const proceed, wait stageResult = true, false

// Policy decides for one dispatcher.
type Policy struct {
	api.Settings
	host               api.Host
	random             *mwcrand.Source
	eventTypes         []eventTypePolicy
	quotas             []tenantQuota
	now                api.Micros
	turnNumber         int
	webhooks           map[api.WebhookID]*webhook
	unanswered         int // webhooks that are owed an answer
	grandfathered      int // of them, held when the facts changed: they end by themselves
	inFlight           int // calls out
	canariesInFlight   int // of them, to sick routes
	destinations       map[api.DestinationID]*destination
	destinationList    []*destination // all of them, as first heard of
	backlogged         []*destination // those with a queue
	finishedEndpoints  []*endpoint    // those whose call ended in this turn
	connectedEndpoints []*endpoint    // those that may have idle connections
	delistedEndpoints  []*endpoint    // those off the list, not yet forgotten
	endpoints          map[api.EndpointID]*endpoint
	sequences          map[api.OrderingKey]*sequence
	timers             timerqueue.Queue[*webhook] // nil stands for a route that opens
	timerArmedAt       api.Micros
	nextPeriodicAt     api.Micros // the periodic wake is due then
	meanLatency        float64    // answer time in µs over all routes, smoothed
	timeoutRate        float64    // share of late calls that timed out, over all routes, smoothed
	shedding           bool
	stages             []func(*webhook) stageResult
	selected           *endpoint // the endpoint stage's choice for the send stage
	ready              []*webhook
	kinds              []*destinationKind
}

// eventTypePolicy is what the module reads of an event type: a row of the one table in which event types differ.
type eventTypePolicy struct {
	api.EventType
	maxBackoff float64    // m, in seconds
	maxTimeout api.Micros // longest patience
}

// webhook is one webhook that this dispatcher has taken and not yet forgotten.
type webhook struct {
	id             api.WebhookID
	eventType      *eventTypePolicy
	destination    *destination
	orderingKey    api.OrderingKey
	deadline       api.Micros // last moment for the final answer
	targetAt       api.Micros // delivered by then it earns its full value
	overQuota      bool       // beyond its tenant's share
	attempts       int
	backoffs       int        // waits drawn so far
	nextAttemptAt  api.Micros // its own wait ends then
	mayHaveRunAt   api.Micros // send of the first attempt that may have run, or never
	mayHaveRunZone api.ZoneID // of that attempt's endpoint
	sentAt         api.Micros
	call           *call // out now, or nil
	queued         bool
	finished       bool
}

// call is one call out: it holds one slot until every webhook in it has its outcome.
type call struct {
	endpoint   *endpoint
	pending    int
	turnNumber int
	recorded   bool // its fate has been counted once
	canary     bool // sent as a canary to a sick route
}

// endpoint is one address of a destination.
type endpoint struct {
	id                  api.EndpointID
	zone                api.ZoneID
	destination         *destination
	route               *route
	listed              bool
	delistedAt          api.Micros // off the list since then
	inFlight            int        // calls out
	connected           bool       // it may have idle connections
	connectionLimit     float64    // calls out at most, by the cap on connections met
	meanLatency         float64    // answer time in µs, smoothed
	lastSuccessAt       api.Micros // last delivery
	consecutiveFailures int        // failures in a row
	lastFailureAt       api.Micros // last failure
	nextCanaryAt        api.Micros // sick: not before then
	openCall            *call      // call of this turn that still has room
}

// route is what limits, waits and outages belong to: a destination, or one endpoint where routes are apart.
type route struct {
	logName               api.EndpointID // one endpoint of it, for the log
	inFlight              int            // calls out
	window                float64        // calls out at most
	retryAfterUntil       api.Micros
	listedRate            float64 // calls a second, this dispatcher's part
	rate                  float64 // calls a second let out
	tokens                float64
	tokensAt              api.Micros
	rateDecreasedAt       api.Micros // last cut of the pace
	wakeUpAt              api.Micros // wake already asked for
	lastOutcomeAt         api.Micros // last outcome, or first send since it was idle
	meanLatency           float64    // answer time in µs, smoothed; 0: none yet
	failureRate           float64    // share of late calls that failed, smoothed
	timeoutRate           float64    // share of late calls that timed out, smoothed
	consecutiveRejections int        // refusals in a row
	lastSuccessAt         api.Micros // last delivery
	unhealthy             bool
	usedFallbackRate      bool       // the last call went by the trickle
	reportedHeadroom      float64    // calls a second of the limit that were left when last told
	rateReported          bool       // stated is from reports
	nextCanaryAt          api.Micros // sick: next canary
	slowStartSince        api.Micros // first success after an outage, or never
}

// destinationKind is a row of the one table in which kinds of destination differ, with what is learned over all of it.
type destinationKind struct {
	api.DestinationKind
	fallbackRate           float64    // calls a second that a route with a tiny part is let
	connectionLimitedUntil api.Micros // until then it counts as short of connections
}

// destination is where webhooks are meant for.
type destination struct {
	id          api.DestinationID
	kind        *destinationKind
	sharedRoute *route      // nil until its first webhook comes
	endpoints   []*endpoint // ranked
	queue       []*webhook  // held, not out
	hasDequeued bool        // some of the queue is held no longer
	backlogged  bool        // it stands among the busy ones
	index       int         // in the order of first hearing
	firstSeenAt api.Micros
	listedRate  float64 // as route.stated, until it has one
}

// destination finds one, or takes it in as just heard of, of the kind for those that no list names.
func (c *Policy) destination(id api.DestinationID) *destination {
	if c.destinations[id] == nil {
		c.destinations[id] = &destination{id: id, kind: c.kinds[len(c.kinds)-1], firstSeenAt: c.now, index: len(c.destinationList)}
		c.destinationList = append(c.destinationList, c.destinations[id])
	}
	return c.destinations[id]
}

// startCall counts a new call at an endpoint, open to webhooks of this turn.
func (c *Policy) startCall(e *endpoint) {
	r := e.route
	e.openCall = &call{endpoint: e, turnNumber: c.turnNumber, canary: r.unhealthy}
	c.inFlight, r.inFlight, e.inFlight = c.inFlight+1, r.inFlight+1, e.inFlight+1
	if r.unhealthy {
		c.canariesInFlight++
	}
	if !e.connected {
		e.connected, c.connectedEndpoints = true, append(c.connectedEndpoints, e)
	}
}

// finishCall counts a webhook's outcome against its call, which is over with the last.
func (c *Policy) finishCall(k *call) {
	if k.pending--; k.pending > 0 {
		return
	}
	e, r := k.endpoint, k.endpoint.route
	c.inFlight, r.inFlight, e.inFlight = c.inFlight-1, r.inFlight-1, e.inFlight-1
	if k.canary {
		c.canariesInFlight--
	}
	c.finishedEndpoints = append(c.finishedEndpoints, e)
}

// enqueue puts a webhook into its destination's queue.
func (c *Policy) enqueue(w *webhook) {
	d := w.destination
	w.queued, d.queue = true, append(d.queue, w)
	if !d.backlogged {
		d.backlogged, c.backlogged = true, append(c.backlogged, d)
	}
}

// dequeue marks it for the next prune.
func (w *webhook) dequeue() { w.queued, w.destination.hasDequeued = false, true }

// removeDequeued drops from the queue what is no longer held there.
func (d *destination) removeDequeued() {
	if d.hasDequeued {
		d.queue, d.hasDequeued = slices.DeleteFunc(d.queue, func(w *webhook) bool { return !w.queued }), false
	}
}

// sequence is the line of ordered webhooks that share a key.
type sequence struct {
	queue       []*webhook
	pausedUntil api.Micros
}

// tenantQuota meters what a tenant hands in against its share.
type tenantQuota struct {
	rate, tokens float64
	updatedAt    api.Micros
}

func (c *Policy) log(format string, of ...any) { c.host.Log(fmt.Sprintf(format, of...)) }
