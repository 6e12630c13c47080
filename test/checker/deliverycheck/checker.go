// Package deliverycheck counts, for tests, what becomes of every webhook at every destination that it is for, and
// judges by the rules. It does no I/O and has no clock: whoever sees something happen says when, in
// microseconds from any origin. A webhook is known by the request id that it was handed in with. One that was
// refused, or handed back, and is handed in again has a new id and names the one before: what may not take
// effect twice may not over both.
package deliverycheck

import (
	"slices"
	"sync"

	"rowanlink/webhook/api"
)

// Requirements are what is judged by.
type Requirements struct {
	EventTypes map[string]api.EventType
	Settings   api.Settings // returns, the longest wait, the gap of a key's turn

	Slack          api.Micros // a webhook's end is overdue so long after its TTL
	DrainGrace     api.Micros // calls to a drained endpoint are let through for so long after it was told
	NotifiedWithin api.Micros // what changed counts as told so long after, even where it never came
	WaitGrace      api.Micros // calls that cross a wait on their way are let through
	WaitsBindAll   bool       // a wait binds all members, not only the one that was told
	OrderAcross    bool       // order by key also holds between webhooks handed in at different members
}

// Submission is one try to hand a webhook in.
type Submission struct {
	At           api.Micros
	ID           string
	RetryOf      string // the id under which it was refused or handed back before, if any
	Member       string
	Destinations []api.DestinationID // several: an announcement's subscribers
	Type         string
	Key          string
	TTL          api.Micros
}

// Call is one call at an endpoint, with one webhook or several.
type Call struct {
	At          api.Micros
	Member      string
	Endpoint    string
	Destination api.DestinationID
	IDs         []string

	sequence   int
	endedAt    api.Micros // Never: still out
	effects    map[string]api.Micros
	delivered  map[string]bool
	retryAfter api.Micros
}

// webhook is one handed in, with what became of it.
type webhook struct {
	Submission
	respondedAt api.Micros
	status      int // 0: no answer
	notices     []notice
}

type notice struct {
	at      api.Micros
	outcome string
	all     bool
	dest    api.DestinationID
}

// period is a time in which something held; until is Never while it lasts.
type period struct {
	from, until  api.Micros
	processEnded bool // of a member: its process ended, it didn't only stand still
}

// outage is one of a destination, and the calls a second that it takes when it is back and warm.
type outage struct {
	period
	rate float64
}

// Checker is safe for use by several goroutines.
type Checker struct {
	Requirements Requirements

	mu           sync.Mutex
	webhooks     map[string]*webhook
	submissions  []*webhook // as handed in
	calls        []*Call
	downtimes    map[string][]period // members
	forgiven     map[string]bool
	drains       map[string][]period // endpoints
	notified     map[notification][]api.Micros
	outages      map[api.DestinationID][]outage
	immediate    []Violation
	rateExceeded int // calls above a stated rate
}

type notification struct{ member, endpoint string }

// New makes an empty ledger.
func New(by Requirements) *Checker {
	return &Checker{Requirements: by, webhooks: map[string]*webhook{}, downtimes: map[string][]period{},
		forgiven: map[string]bool{}, drains: map[string][]period{}, notified: map[notification][]api.Micros{},
		outages: map[api.DestinationID][]outage{}}
}

// Submitted notes a try, before its first byte is sent.
func (l *Checker) RecordSubmission(h Submission) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := &webhook{Submission: h}
	l.webhooks[h.ID] = w
	l.submissions = append(l.submissions, w)
}

// RecordResponse notes what a client was answered; code 0: nothing in time, or the connection broke.
func (l *Checker) RecordResponse(at api.Micros, id string, code int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w := l.webhooks[id]; w != nil {
		w.respondedAt, w.status = at, code
	}
}

// RecordCall notes a call as it begins. It is out until Returned.
func (l *Checker) RecordCall(c Call) *Call {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.sequence, c.endedAt, c.effects, c.delivered = len(l.calls), api.Never, map[string]api.Micros{}, map[string]bool{}
	l.calls = append(l.calls, &c)
	for _, id := range c.IDs {
		switch w := l.webhooks[id]; {
		case w == nil:
			l.addViolation(Violation{Misrouted, c.At, id, c.Destination, c.Member, "was never handed in"})
		case !slices.Contains(w.Destinations, c.Destination):
			l.addViolation(Violation{Misrouted, c.At, id, c.Destination, c.Member, "is not for this destination"})
		}
	}
	return &c
}

// RecordEffect notes that a webhook of a call took effect.
func (l *Checker) RecordEffect(at api.Micros, c *Call, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.effects[id] = at
}

// RecordCallEnd notes that a call's answer was written, or its connection ended (delivered: none), and what wait
// it told.
func (l *Checker) RecordCallEnd(at api.Micros, c *Call, wait api.Micros, delivered ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.endedAt, c.retryAfter = at, wait
	for _, id := range delivered {
		c.delivered[id] = true
	}
}

// RateExceeded notes a call that was turned away above a stated rate.
func (l *Checker) RecordRateExceeded() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rateExceeded++
}

// RecordNotice notes an end told to the platform: of all destinations that are left, or of one.
func (l *Checker) RecordNotice(at api.Micros, member, id, outcome string, of ...api.DestinationID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.webhooks[id]
	if w == nil {
		l.addViolation(Violation{Misrouted, at, id, 0, member, "a notice of a webhook that was never handed in"})
		return
	}
	n := notice{at: at, outcome: outcome, all: len(of) == 0}
	if !n.all {
		n.dest = of[0]
	}
	w.notices = append(w.notices, n)
}

// RecordDraining notes that an endpoint is to get nothing new, Relisted that it is again; Told is when a member was
// told.
func (l *Checker) RecordDraining(at api.Micros, endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drains[endpoint] = append(l.drains[endpoint], period{from: at, until: api.Never})
}

func (l *Checker) RecordServing(at api.Micros, endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	endLastPeriod(l.drains[endpoint], at)
}

func (l *Checker) RecordNotified(at api.Micros, member, endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := notification{member, endpoint}
	l.notified[k] = append(l.notified[k], at)
}

// RecordOutage notes that a destination's outage began, Back that it takes calls again, cold: so many a second once
// warm.
func (l *Checker) RecordOutage(at api.Micros, dest api.DestinationID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outages[dest] = append(l.outages[dest], outage{period: period{from: at, until: api.Never}})
}

func (l *Checker) RecordRecovery(at api.Micros, dest api.DestinationID, rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if all := l.outages[dest]; len(all) > 0 && all[len(all)-1].until == api.Never {
		all[len(all)-1].until, all[len(all)-1].rate = at, rate
	}
}

func (l *Checker) addViolation(b Violation) { l.immediate = append(l.immediate, b) }

// EventTypeOf is the event type of a webhook that was handed in.
func (l *Checker) EventTypeOf(id string) api.EventType {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w := l.webhooks[id]; w != nil {
		return l.Requirements.EventTypes[w.Type]
	}
	return api.EventType{}
}
