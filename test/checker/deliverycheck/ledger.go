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

// Terms are what is judged by.
type Terms struct {
	Types map[string]api.EventType
	Facts api.Settings // returns, the longest wait, the gap of a key's turn

	Slack        api.Micros // a webhook's end is overdue so long after its TTL
	DrainGrace   api.Micros // calls to a drained endpoint are let through for so long after it was told
	ToldWithin   api.Micros // what changed counts as told so long after, even where it never came
	WaitGrace    api.Micros // calls that cross a wait on their way are let through
	WaitsBindAll bool       // a wait binds all members, not only the one that was told
	OrderAcross  bool       // order by key also holds between webhooks handed in at different members
}

// HandIn is one try to hand a webhook in.
type HandIn struct {
	At     api.Micros
	ID     string
	After  string // the id under which it was refused or handed back before, if any
	Member string
	Dests  []api.DestinationID // several: an announcement's subscribers
	Type   string
	Key    string
	TTL    api.Micros
}

// Call is one call at an endpoint, with one webhook or several.
type Call struct {
	At       api.Micros
	Member   string
	Endpoint string
	Dest     api.DestinationID
	IDs      []string

	n         int
	over      api.Micros // Never: still out
	ran       map[string]api.Micros
	delivered map[string]bool
	wait      api.Micros
}

// webhook is one handed in, with what became of it.
type webhook struct {
	HandIn
	answeredAt api.Micros
	code       int // 0: no answer
	notices    []notice
}

type notice struct {
	at      api.Micros
	outcome string
	all     bool
	dest    api.DestinationID
}

// span is a time in which something held; until is Never while it lasts.
type span struct {
	from, until api.Micros
	died        bool // of a member: its process ended, it didn't only stand still
}

// outage is one of a destination, and the calls a second that it takes when it is back and warm.
type outage struct {
	span
	rate float64
}

// Ledger is safe for use by several goroutines.
type Ledger struct {
	Terms Terms

	mu       sync.Mutex
	webhooks map[string]*webhook
	order    []*webhook // as handed in
	calls    []*Call
	down     map[string][]span // members
	forgiven map[string]bool
	drains   map[string][]span // endpoints
	told     map[toldOf][]api.Micros
	outages  map[api.DestinationID][]outage
	odd      []Breach
	over     int // calls above a stated rate
}

type toldOf struct{ member, endpoint string }

// New makes an empty ledger.
func New(by Terms) *Ledger {
	return &Ledger{Terms: by, webhooks: map[string]*webhook{}, down: map[string][]span{},
		forgiven: map[string]bool{}, drains: map[string][]span{}, told: map[toldOf][]api.Micros{},
		outages: map[api.DestinationID][]outage{}}
}

// HandedIn notes a try, before its first byte is sent.
func (l *Ledger) HandedIn(h HandIn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := &webhook{HandIn: h}
	l.webhooks[h.ID] = w
	l.order = append(l.order, w)
}

// Answered notes what a client was answered; code 0: nothing in time, or the connection broke.
func (l *Ledger) Answered(at api.Micros, id string, code int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w := l.webhooks[id]; w != nil {
		w.answeredAt, w.code = at, code
	}
}

// Called notes a call as it begins. It is out until Returned.
func (l *Ledger) Called(c Call) *Call {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.n, c.over, c.ran, c.delivered = len(l.calls), api.Never, map[string]api.Micros{}, map[string]bool{}
	l.calls = append(l.calls, &c)
	for _, id := range c.IDs {
		switch w := l.webhooks[id]; {
		case w == nil:
			l.note(Breach{Astray, c.At, id, c.Dest, c.Member, "was never handed in"})
		case !slices.Contains(w.Dests, c.Dest):
			l.note(Breach{Astray, c.At, id, c.Dest, c.Member, "is not for this destination"})
		}
	}
	return &c
}

// Ran notes that a webhook of a call took effect.
func (l *Ledger) Ran(at api.Micros, c *Call, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.ran[id] = at
}

// Returned notes that a call's answer was written, or its connection ended (delivered: none), and what wait
// it told.
func (l *Ledger) Returned(at api.Micros, c *Call, wait api.Micros, delivered ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.over, c.wait = at, wait
	for _, id := range delivered {
		c.delivered[id] = true
	}
}

// OverRate notes a call that was turned away above a stated rate.
func (l *Ledger) OverRate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.over++
}

// Noticed notes an end told to the platform: of all destinations that are left, or of one.
func (l *Ledger) Noticed(at api.Micros, member, id, outcome string, of ...api.DestinationID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.webhooks[id]
	if w == nil {
		l.note(Breach{Astray, at, id, 0, member, "a notice of a webhook that was never handed in"})
		return
	}
	n := notice{at: at, outcome: outcome, all: len(of) == 0}
	if !n.all {
		n.dest = of[0]
	}
	w.notices = append(w.notices, n)
}

// Drained notes that an endpoint is to get nothing new, Relisted that it is again; Told is when a member was
// told.
func (l *Ledger) Drained(at api.Micros, endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drains[endpoint] = append(l.drains[endpoint], span{from: at, until: api.Never})
}

func (l *Ledger) Relisted(at api.Micros, endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	closeLast(l.drains[endpoint], at)
}

func (l *Ledger) Told(at api.Micros, member, endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := toldOf{member, endpoint}
	l.told[k] = append(l.told[k], at)
}

// Failed notes that a destination's outage began, Back that it takes calls again, cold: so many a second once
// warm.
func (l *Ledger) Failed(at api.Micros, dest api.DestinationID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outages[dest] = append(l.outages[dest], outage{span: span{from: at, until: api.Never}})
}

func (l *Ledger) Back(at api.Micros, dest api.DestinationID, rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if all := l.outages[dest]; len(all) > 0 && all[len(all)-1].until == api.Never {
		all[len(all)-1].until, all[len(all)-1].rate = at, rate
	}
}

func (l *Ledger) note(b Breach) { l.odd = append(l.odd, b) }

// Type is the event type of a webhook that was handed in.
func (l *Ledger) Type(id string) api.EventType {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w := l.webhooks[id]; w != nil {
		return l.Terms.Types[w.Type]
	}
	return api.EventType{}
}
