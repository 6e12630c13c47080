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
	// initialWindowShare is the part of the slots that a window starts at: with less, a burst on an endpoint at rest would be
	// refused while most of its slots are free.
	initialWindowShare = 0.5
	windowStep         = 1.0
	// slowQueueDelay is how much longer than usual first tokens take at an endpoint that counts as slow.
	slowQueueDelay = 600 * time.Millisecond
)

// priorityLevels is how many levels of urgency are told apart in an endpoint's queue.
const priorityLevels = 4

// priorityOf is the level of a route's precedence; 0 is the most urgent.
func priorityOf(precedence int) int { return min(max(precedence, 0), priorityLevels-1) }

// endpoint is what a placer knows of one incarnation.
type endpoint struct {
	info        state.Endpoint
	service     *service
	region      string
	regionGroup *region // the service's endpoints in that region
	zone        *zone
	hash        uint64 // of the ID, for rendezvous
	inSnapshot  bool   // in the last view
	excluded    bool   // evacuated, closing, gone or misdirected: nothing may be sent
	replaced    bool   // another incarnation answered at its address

	inSubset bool // this proxy prefers it, see selectSubsets

	window            float64
	halvedAt          time.Time
	inFlight          int
	reservedTokens    int                          // memory that own calls in flight may take
	awaitingFirstByte []*call                      // own calls without a first byte, the oldest first
	prefillBacklog    [priorityLevels]int          // prompt tokens of those, by urgency
	queueDelays       [priorityLevels]decayingMean // how much longer than computed first bytes take, by urgency
	callMillis        float64                      // usual length of a call in milliseconds; zero: none known
	lastActivityAt    time.Time                    // last sign of life on a call

	health      health
	warmup      warmupState
	observation state.Observation // not yet told

	prefixCache       prefixCache
	loadReport        state.Load
	loadReportedAt    time.Time
	tokensSinceReport int // own prompt tokens sent since the load was read, and still unread
}

func newEndpoint(service *service, info state.Endpoint) *endpoint {
	e := &endpoint{info: info, service: service, zone: &zone{}, regionGroup: &region{}, hash: hashString(fnvOffset, info.ID)}
	e.window = math.Ceil(initialWindowShare * e.slots())
	return e
}

// slots is the number of requests that the endpoint works on at once.
func (e *endpoint) slots() float64 { return float64(max(e.info.Slots, 1)) }

// concurrencyLimit is how many calls the window lets out.
func (e *endpoint) concurrencyLimit(now time.Time) int {
	share := backoff.FullShare
	if e.health.failureRate > unhealthyFailureRate || e.queueDelays[priorityLevels-1].meanAt(now) > slowQueueDelay {
		share = backoff.UnhealthyShare
	}
	return min(backoff.ConcurrencyLimit(e.window, share, e.slots()), e.service.maxConnections)
}

// halveWindow shrinks the window once for all calls that were out together.
func (e *endpoint) halveWindow(now time.Time, c *call) {
	if c.sentAt.Before(e.halvedAt) {
		return
	}
	e.window = backoff.Halve(e.window)
	e.halvedAt = now
}

// backlogBefore is the number of own prompt tokens that are read before those of a request of the rank.
func (e *endpoint) backlogBefore(rank int) (tokens int) {
	for _, unread := range e.prefillBacklog[:rank+1] {
		tokens += unread
	}
	return tokens
}

// startCall notes a call that goes out.
func (e *endpoint) startCall(c *call) {
	e.inFlight++
	e.reservedTokens += c.reservedTokens
	e.prefillBacklog[c.priority] += c.uncachedTokens
	e.tokensSinceReport += c.uncachedTokens
	e.awaitingFirstByte = append(e.awaitingFirstByte, c)
}

// leaveQueue takes a call that waits no longer out of the queue.
func (e *endpoint) leaveQueue(c *call) {
	index := slices.Index(e.awaitingFirstByte, c)
	if index < 0 {
		return
	}
	e.awaitingFirstByte = slices.Delete(e.awaitingFirstByte, index, index+1)
	e.prefillBacklog[c.priority] -= c.uncachedTokens
	if !c.sentAt.Before(e.loadReportedAt) {
		e.tokensSinceReport -= c.uncachedTokens
	}
}

// endCall notes that a call is over.
func (e *endpoint) endCall(c *call) {
	e.leaveQueue(c)
	e.inFlight--
	e.reservedTokens -= c.reservedTokens
}

// overdue is how much longer the endpoint has been silent than its calls let expect.
func (e *endpoint) overdue(now time.Time) time.Duration {
	return max(e.firstByteOverdue(now), e.streamOverdue(now), 0)
}

// streamOverdue is how much longer the endpoint has been silent on all answers that it had begun than prompts that it
// reads in between let expect.
func (e *endpoint) streamOverdue(now time.Time) time.Duration {
	if !e.service.hasEngine() || e.inFlight <= len(e.awaitingFirstByte) {
		return 0
	}
	return now.Sub(e.lastActivityAt) - streamGrace
}

// firstByteOverdue is the same for its oldest unanswered call.
func (e *endpoint) firstByteOverdue(now time.Time) time.Duration {
	if len(e.awaitingFirstByte) == 0 {
		return 0
	}
	oldest := e.awaitingFirstByte[0]
	since := oldest.sentAt
	if e.lastActivityAt.After(since) {
		since = e.lastActivityAt
	}
	return now.Sub(since) - 2*oldest.expectedFirstByte - firstByteGrace
}

const (
	// firstByteGrace is the least silence before an answer that raises doubt.
	firstByteGrace = 150 * time.Millisecond
	// streamGrace is the same within answers that come in pieces.
	streamGrace = 250 * time.Millisecond
)

// isSuspect tells whether the endpoint alone, or with few others, is said to be silent or to fail its calls.
func (e *endpoint) isSuspect() bool {
	return (e.info.Unresponsive || e.info.Failing) && !e.service.majoritySuspect
}

// expectedQueueDelay is how much longer than computed a first byte is expected to take. Of an endpoint that was hardly used of late
// the others of its region tell.
func (e *endpoint) expectedQueueDelay(now time.Time, rank int) time.Duration {
	return e.queueDelays[rank].meanWithPrior(now, e.regionGroup.queueDelays[rank].meanAt(now))
}
