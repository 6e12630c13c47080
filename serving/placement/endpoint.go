package placement

import (
	"math"
	"slices"
	"time"

	"rowanlink/internal/backoff"
	"rowanlink/serving/state"
)

// Windows of calls in flight. Their start and step are free in the design.
const (
	// startShare is the part of the slots that a window starts at: with less, a burst on an endpoint at rest would be
	// refused while most of its slots are free.
	startShare = 0.5
	windowStep = 1.0
	// slowDelay is how much longer than usual first tokens take at an endpoint that counts as slow.
	slowDelay = 600 * time.Millisecond
)

// ranks is how many levels of urgency are told apart in an endpoint's queue.
const ranks = 4

// rankOf is the level of a route's precedence; 0 is the most urgent.
func rankOf(precedence int) int { return min(max(precedence, 0), ranks-1) }

// endpoint is what a placer knows of one incarnation.
type endpoint struct {
	info    state.Endpoint
	service *service
	region  string
	group   *region // the service's endpoints in that region
	zone    *zone
	hash    uint64 // of the ID, for rendezvous
	present bool   // in the last view
	closed  bool   // evacuated, closing, gone or misdirected: nothing may be sent
	lost    bool   // another incarnation answered at its address

	inSubset bool // this proxy prefers it, see drawSubsets

	window   float64
	halvedAt time.Time
	inFlight int
	tokens   int          // memory that own calls in flight may take
	pending  []*call      // own calls without a first byte, the oldest first
	unread   [ranks]int   // prompt tokens of those, by urgency
	delays   [ranks]decay // how much longer than computed first bytes take, by urgency
	took     float64      // usual length of a call in milliseconds; zero: none known
	heardAt  time.Time    // last sign of life on a call

	health   health
	cold     coldness
	observed state.Observation // not yet told

	prefixes prefixes
	load     state.Load
	loadAt   time.Time
	loadSent int // own prompt tokens sent since the load was read, and still unread
}

func newEndpoint(service *service, info state.Endpoint) *endpoint {
	e := &endpoint{info: info, service: service, zone: &zone{}, group: &region{}, hash: hashText(hashStart, info.ID)}
	e.window = math.Ceil(startShare * e.slots())
	return e
}

// slots is the number of requests that the endpoint works on at once.
func (e *endpoint) slots() float64 { return float64(max(e.info.Slots, 1)) }

// bound is how many calls the window lets out.
func (e *endpoint) bound(now time.Time) int {
	share := backoff.FullShare
	if e.health.failing > sickShare || e.delays[ranks-1].at(now) > slowDelay {
		share = backoff.SickShare
	}
	return min(backoff.Bound(e.window, share, e.slots()), e.service.connections)
}

// halve shrinks the window once for all calls that were out together.
func (e *endpoint) halve(now time.Time, c *call) {
	if c.sentAt.Before(e.halvedAt) {
		return
	}
	e.window = backoff.Halve(e.window)
	e.halvedAt = now
}

// unreadBefore is the number of own prompt tokens that are read before those of a request of the rank.
func (e *endpoint) unreadBefore(rank int) (tokens int) {
	for _, unread := range e.unread[:rank+1] {
		tokens += unread
	}
	return tokens
}

// begin notes a call that goes out.
func (e *endpoint) begin(c *call) {
	e.inFlight++
	e.tokens += c.tokens
	e.unread[c.rank] += c.uncached
	e.loadSent += c.uncached
	e.pending = append(e.pending, c)
}

// read takes a call that waits no longer out of the queue.
func (e *endpoint) read(c *call) {
	index := slices.Index(e.pending, c)
	if index < 0 {
		return
	}
	e.pending = slices.Delete(e.pending, index, index+1)
	e.unread[c.rank] -= c.uncached
	if !c.sentAt.Before(e.loadAt) {
		e.loadSent -= c.uncached
	}
}

// end notes that a call is over.
func (e *endpoint) end(c *call) {
	e.read(c)
	e.inFlight--
	e.tokens -= c.tokens
}

// overdue is how much longer the endpoint has been silent than its calls let expect.
func (e *endpoint) overdue(now time.Time) time.Duration {
	return max(e.answerOverdue(now), e.eventOverdue(now), 0)
}

// eventOverdue is how much longer the endpoint has been silent on all answers that it had begun than prompts that it
// reads in between let expect.
func (e *endpoint) eventOverdue(now time.Time) time.Duration {
	if !e.service.engine() || e.inFlight <= len(e.pending) {
		return 0
	}
	return now.Sub(e.heardAt) - streamGrace
}

// answerOverdue is the same for its oldest unanswered call.
func (e *endpoint) answerOverdue(now time.Time) time.Duration {
	if len(e.pending) == 0 {
		return 0
	}
	oldest := e.pending[0]
	since := oldest.sentAt
	if e.heardAt.After(since) {
		since = e.heardAt
	}
	return now.Sub(since) - 2*oldest.expected - overdueGrace
}

const (
	// overdueGrace is the least silence before an answer that raises doubt.
	overdueGrace = 150 * time.Millisecond
	// streamGrace is the same within answers that come in pieces.
	streamGrace = 250 * time.Millisecond
)

// doubtful tells whether the endpoint alone, or with few others, is said to be silent or to fail its calls.
func (e *endpoint) doubtful() bool {
	return (e.info.Unresponsive || e.info.Failing) && !e.service.mostSilent
}

// delay is how much longer than computed a first byte is expected to take. Of an endpoint that was hardly used of late
// the others of its region tell.
func (e *endpoint) delay(now time.Time, rank int) time.Duration {
	return e.delays[rank].over(now, e.group.delays[rank].at(now))
}
