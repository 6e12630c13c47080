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

// verdict is what a stage does with a webhook.
type verdict bool

const pass, hold verdict = true, false

// Control decides for one dispatcher.
type Control struct {
	api.Settings
	host      api.Host
	chance    *mwcrand.Source
	events    []eventRow
	tenants   []tenant
	now       api.Micros
	turn      int
	held      map[api.WebhookID]*webhook
	open      int // webhooks that are owed an answer
	drains    int // of them, held when the facts changed: they end by themselves
	out       int // calls out
	sickOut   int // of them, to sick routes
	dests     map[api.DestinationID]*destination
	order     []*destination // all of them, as first heard of
	busy      []*destination // those with a queue
	rested    []*endpoint    // those whose call ended in this turn
	linked    []*endpoint    // those that may have idle connections
	left      []*endpoint    // those off the list, not yet forgotten
	endpoints map[api.EndpointID]*endpoint
	turns     map[api.OrderingKey]*turn
	dues      timerqueue.Queue[*webhook] // nil stands for a route that opens
	armed     api.Micros
	periodAt  api.Micros // the periodic wake is due then
	mean      float64    // answer time in µs over all routes, smoothed
	lost      float64    // share of late calls that timed out, over all routes, smoothed
	shedding  bool
	stages    []func(*webhook) verdict
	pick      *endpoint // the endpoint stage's choice for the send stage
	ready     []*webhook
	kinds     []*kind
}

// eventRow is what the module reads of an event type: a row of the one table in which event types differ.
type eventRow struct {
	api.EventType
	cap   float64    // m, in seconds
	reach api.Micros // longest patience
}

// webhook is one webhook that this dispatcher has taken and not yet forgotten.
type webhook struct {
	id       api.WebhookID
	evt      *eventRow
	dest     *destination
	key      api.OrderingKey
	ttl      api.Micros // last moment for the final answer
	target   api.Micros // delivered by then it earns its full value
	over     bool       // beyond its tenant's share
	attempts int
	retries  int        // waits drawn so far
	readyAt  api.Micros // its own wait ends then
	mayRun   api.Micros // send of the first attempt that may have run, or never
	zone     api.ZoneID // of that attempt's endpoint
	sentAt   api.Micros
	call     *call // out now, or nil
	queued   bool
	ended    bool
}

// call is one call out: it holds one slot until every webhook in it has its outcome.
type call struct {
	ep     *endpoint
	left   int
	turn   int
	judged bool // its fate has been counted once
	sick   bool // sent as a canary to a sick route
}

// endpoint is one address of a destination.
type endpoint struct {
	id      api.EndpointID
	zone    api.ZoneID
	dest    *destination
	route   *route
	listed  bool
	leftAt  api.Micros // off the list since then
	out     int        // calls out
	linked  bool       // it may have idle connections
	limit   float64    // calls out at most, by the cap on connections met
	mean    float64    // answer time in µs, smoothed
	okAt    api.Micros // last delivery
	fails   int        // failures in a row
	brokeAt api.Micros // last failure
	tryAt   api.Micros // sick: not before then
	open    *call      // call of this turn that still has room
}

// route is what limits, waits and outages belong to: a destination, or one endpoint where routes are apart.
type route struct {
	name      api.EndpointID // one endpoint of it, for the log
	out       int            // calls out
	window    float64        // calls out at most
	waitUntil api.Micros
	stated    float64 // calls a second, this dispatcher's part
	pace      float64 // calls a second let out
	tokens    float64
	tokensAt  api.Micros
	cutAt     api.Micros // last cut of the pace
	wakeAt    api.Micros // wake already asked for
	heardAt   api.Micros // last outcome, or first send since it was idle
	mean      float64    // answer time in µs, smoothed; 0: none yet
	failing   float64    // share of late calls that failed, smoothed
	lost      float64    // share of late calls that timed out, smoothed
	refused   int        // refusals in a row
	okAt      api.Micros // last delivery
	sick      bool
	loose     bool       // the last call went by the trickle
	room      float64    // calls a second of the limit that were left when last told
	told      bool       // stated is from reports
	tryAt     api.Micros // sick: next canary
	coldSince api.Micros // first success after an outage, or never
}

// kind is a row of the one table in which kinds of destination differ, with what is learned over all of it.
type kind struct {
	api.DestinationKind
	trickle float64    // calls a second that a route with a tiny part is let
	crowded api.Micros // until then it counts as short of connections
}

// destination is where webhooks are meant for.
type destination struct {
	id        api.DestinationID
	kind      *kind
	shared    *route      // nil until its first webhook comes
	endpoints []*endpoint // ranked
	queue     []*webhook  // held, not out
	stale     bool        // some of the queue is held no longer
	busy      bool        // it stands among the busy ones
	place     int         // in the order of first hearing
	knownAt   api.Micros
	stated    float64 // as route.stated, until it has one
}

// destination finds one, or takes it in as just heard of, of the kind for those that no list names.
func (c *Control) destination(id api.DestinationID) *destination {
	if c.dests[id] == nil {
		c.dests[id] = &destination{id: id, kind: c.kinds[len(c.kinds)-1], knownAt: c.now, place: len(c.order)}
		c.order = append(c.order, c.dests[id])
	}
	return c.dests[id]
}

// callOut counts a new call at an endpoint, open to webhooks of this turn.
func (c *Control) callOut(e *endpoint) {
	r := e.route
	e.open = &call{ep: e, turn: c.turn, sick: r.sick}
	c.out, r.out, e.out = c.out+1, r.out+1, e.out+1
	if r.sick {
		c.sickOut++
	}
	if !e.linked {
		e.linked, c.linked = true, append(c.linked, e)
	}
}

// callBack counts a webhook's outcome against its call, which is over with the last.
func (c *Control) callBack(k *call) {
	if k.left--; k.left > 0 {
		return
	}
	e, r := k.ep, k.ep.route
	c.out, r.out, e.out = c.out-1, r.out-1, e.out-1
	if k.sick {
		c.sickOut--
	}
	c.rested = append(c.rested, e)
}

// enqueue puts a webhook into its destination's queue.
func (c *Control) enqueue(w *webhook) {
	d := w.dest
	w.queued, d.queue = true, append(d.queue, w)
	if !d.busy {
		d.busy, c.busy = true, append(c.busy, d)
	}
}

// dequeue marks it for the next prune.
func (w *webhook) dequeue() { w.queued, w.dest.stale = false, true }

// prune drops from the queue what is no longer held there.
func (d *destination) prune() {
	if d.stale {
		d.queue, d.stale = slices.DeleteFunc(d.queue, func(w *webhook) bool { return !w.queued }), false
	}
}

// turn is the line of ordered webhooks that share a key.
type turn struct {
	line      []*webhook
	restUntil api.Micros
}

// tenant meters what a tenant hands in against its share.
type tenant struct {
	perS, level float64
	at          api.Micros
}

func (c *Control) log(format string, of ...any) { c.host.Log(fmt.Sprintf(format, of...)) }
