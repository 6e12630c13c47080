// Package deliverycheck checks, for tests, what becomes of every webhook at every destination that it is for. It does no
// I/O and has no clock: whoever records an event passes its time, in microseconds from any origin.
//
// A webhook is identified by the request ID that it was submitted with. The retry of one that was rejected or returned
// has a new ID and names the one before: an event type that allows one effect allows one over both.
package deliverycheck

import (
	"slices"
	"sync"

	"rowanlink/webhook/api"
)

// Requirements is what webhooks are checked against.
type Requirements struct {
	EventTypes map[string]api.EventType
	Settings   api.Settings

	Slack          api.Micros // a webhook's outcome is overdue so long after its TTL
	DrainGrace     api.Micros // calls to a draining endpoint are allowed for so long after the notification
	NotifiedWithin api.Micros // a change counts as notified so long after, also if the notification never came
	WaitGrace      api.Micros // calls that begin so soon after a Retry-After was sent are allowed
	WaitsBindAll   bool       // a Retry-After binds all members, not only the one that received it
	OrderAcross    bool       // the order of a key also holds between webhooks submitted at different members
}

// Submission is an attempt to submit a webhook.
type Submission struct {
	At           api.Micros
	ID           string
	RetryOf      string // the ID under which it was rejected or returned before; "": none
	Member       string
	Destinations []api.DestinationID // several are the subscribers of an announcement
	Type         string
	Key          string
	TTL          api.Micros
}

// Call is a call at an endpoint, with one webhook or several.
type Call struct {
	At          api.Micros
	Member      string
	Endpoint    string
	Destination api.DestinationID
	IDs         []string

	sequence   int
	endedAt    api.Micros // api.Never: it is in flight
	effects    map[string]api.Micros
	delivered  map[string]bool
	retryAfter api.Micros
}

// isInFlight reports whether the call has not ended at a time.
func (c *Call) isInFlight(at api.Micros) bool { return c.endedAt == api.Never || c.endedAt > at }

// webhook is a submission and what became of it.
type webhook struct {
	Submission
	respondedAt api.Micros
	status      int // of the response to the client; 0: there was none
	notices     []notice
}

// notice is an outcome that was reported to the platform.
type notice struct {
	at          api.Micros
	outcome     string
	all         bool // it is of all destinations that have no outcome yet
	destination api.DestinationID
}

func (n notice) isOf(destination api.DestinationID) bool {
	return n.all || n.destination == destination
}

// The values of the protocol that the rules depend on.
const (
	statusOK              = 200
	statusAccepted        = 202
	statusTooManyRequests = 429
	statusUnavailable     = 503

	outcomeReturned = "handed_back"
)

func (w *webhook) accepted() bool { return w.status == statusOK || w.status == statusAccepted }

func (w *webhook) rejected() bool {
	return w.status == statusTooManyRequests || w.status == statusUnavailable
}

// mayBeRetried reports whether the member reported that the webhook had no effect, so that it may be submitted again.
func (w *webhook) mayBeRetried() bool {
	return w.rejected() ||
		slices.ContainsFunc(w.notices, func(n notice) bool { return n.outcome == outcomeReturned })
}

// period is a time in which a state lasted; until is api.Never before its end.
type period struct {
	from, until  api.Micros
	processEnded bool // of a member that is down: its process ended, rather than being paused
}

// outage is an outage of a destination, and the calls a second that it takes once it has recovered and warmed up.
type outage struct {
	period
	rate float64
}

// Checker records what happens to webhooks and checks it. It is safe for concurrent use.
type Checker struct {
	Requirements Requirements

	mu           sync.Mutex
	webhooks     map[string]*webhook
	submissions  []*webhook // in order
	calls        []*Call
	downtimes    map[string][]period // by member
	forgiven     map[string]bool     // webhooks that may be lost
	drains       map[string][]period // by endpoint
	notified     map[notification][]api.Micros
	outages      map[api.DestinationID][]outage
	immediate    []Violation // that were found when they were recorded
	rateExceeded int
}

// notification is of the state of an endpoint to a member.
type notification struct{ member, endpoint string }

// New returns a checker that has recorded nothing.
func New(required Requirements) *Checker {
	return &Checker{
		Requirements: required,
		webhooks:     map[string]*webhook{},
		downtimes:    map[string][]period{},
		forgiven:     map[string]bool{},
		drains:       map[string][]period{},
		notified:     map[notification][]api.Micros{},
		outages:      map[api.DestinationID][]outage{},
	}
}

// RecordSubmission records a submission, before its first byte is sent.
func (c *Checker) RecordSubmission(s Submission) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := &webhook{Submission: s}
	c.webhooks[s.ID] = w
	c.submissions = append(c.submissions, w)
}

// RecordResponse records the status that a client received; 0: none in time, or the connection ended.
func (c *Checker) RecordResponse(at api.Micros, id string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.webhooks[id]; w != nil {
		w.respondedAt, w.status = at, status
	}
}

// RecordCall records that a call begins. It is in flight until RecordCallEnd.
func (c *Checker) RecordCall(call Call) *Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	call.sequence = len(c.calls)
	call.endedAt = api.Never
	call.effects = map[string]api.Micros{}
	call.delivered = map[string]bool{}
	c.calls = append(c.calls, &call)
	for _, id := range call.IDs {
		switch w := c.webhooks[id]; {
		case w == nil:
			c.addViolation(call.violation(Misrouted, id, "was never submitted"))
		case !slices.Contains(w.Destinations, call.Destination):
			c.addViolation(call.violation(Misrouted, id, "is not for this destination"))
		}
	}
	return &call
}

// RecordEffect records that a webhook of a call took effect.
func (c *Checker) RecordEffect(at api.Micros, call *Call, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	call.effects[id] = at
}

// RecordCallEnd records that a call's response was written, with the Retry-After in it, or that its connection ended
// (with nothing delivered).
func (c *Checker) RecordCallEnd(at api.Micros, call *Call, retryAfter api.Micros, delivered ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	call.endedAt, call.retryAfter = at, retryAfter
	for _, id := range delivered {
		call.delivered[id] = true
	}
}

// RecordRateExceeded records a call that was rejected above a stated rate.
func (c *Checker) RecordRateExceeded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rateExceeded++
}

// RecordNotice records an outcome that a member reported to the platform: of all destinations that have none yet, or of
// one.
func (c *Checker) RecordNotice(at api.Micros, member, id, outcome string, destination ...api.DestinationID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.webhooks[id]
	if w == nil {
		c.addViolation(Violation{
			Rule:   Misrouted,
			At:     at,
			ID:     id,
			Member: member,
			Reason: "a notice of a webhook that was never submitted",
		})
		return
	}
	n := notice{at: at, outcome: outcome, all: len(destination) == 0}
	if !n.all {
		n.destination = destination[0]
	}
	w.notices = append(w.notices, n)
}

// RecordDraining records that an endpoint drains: it is to get nothing new.
func (c *Checker) RecordDraining(at api.Micros, endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drains[endpoint] = append(c.drains[endpoint], period{from: at, until: api.Never})
}

// RecordServing records that an endpoint that drained serves again.
func (c *Checker) RecordServing(at api.Micros, endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	endLastPeriod(c.drains[endpoint], at)
}

// RecordNotified records that a member was notified that an endpoint drains.
func (c *Checker) RecordNotified(at api.Micros, member, endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := notification{member, endpoint}
	c.notified[key] = append(c.notified[key], at)
}

// RecordOutage records that a destination's outage begins.
func (c *Checker) RecordOutage(at api.Micros, destination api.DestinationID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outages[destination] = append(c.outages[destination], outage{period: period{from: at, until: api.Never}})
}

// RecordRecovery records that a destination's outage ends. It warms up, and takes rate calls a second once it
// has.
func (c *Checker) RecordRecovery(at api.Micros, destination api.DestinationID, rate float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	outages := c.outages[destination]
	if len(outages) == 0 {
		return
	}
	if last := &outages[len(outages)-1]; last.until == api.Never {
		last.until, last.rate = at, rate
	}
}

func (c *Checker) addViolation(v Violation) { c.immediate = append(c.immediate, v) }

// EventTypeOf returns the event type of a webhook, by its ID.
func (c *Checker) EventTypeOf(id string) api.EventType {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.webhooks[id]; w != nil {
		return c.Requirements.EventTypes[w.Type]
	}
	return api.EventType{}
}
