package placement

import (
	"math"
	"time"

	"rowanlink/internal/backoff"
	"rowanlink/serving/state"
)

// priorityLevels is the number of priorities distinguished in an endpoint's queue.
const priorityLevels = 4

// priorityOf returns the priority of a route's precedence; 0 is the highest.
func priorityOf(precedence int) int { return min(max(precedence, 0), priorityLevels-1) }

// endpoint is a picker's state of one incarnation of an endpoint.
type endpoint struct {
	info        state.Endpoint
	service     *service
	region      string
	regionGroup *region // the service's endpoints in that region
	zone        *zone
	hash        uint64 // of the ID, for rendezvous hashing
	inSnapshot  bool   // part of the last snapshot
	excluded    bool   // evacuated, draining, terminated, replaced, or its version gets no requests: nothing may be sent
	replaced    bool   // another incarnation has responded at its address

	isLoadProbe    bool // selected by selectLoadProbes; it gets no requests but those that put load on it
	loadProbeCalls int  // calls that this proxy has sent for that purpose

	inSubset bool // in this proxy's subset, see selectSubsets

	window    float64   // concurrency window, in calls
	halvedAt  time.Time // when the window was last halved
	inFlight  int       // this proxy's calls
	callLoad            // load by these calls and by the endpoint's report
	callTimes           // measured response times

	health      health
	warmup      warmupState
	observation state.Observation // not yet reported

	prefixCache prefixCache
}

// newEndpoint returns the state of an endpoint of which nothing is known yet. Its window is this proxy's part of the slots
// that windows may use: what all proxies of the region together send at first finds a slot, and no client's request is
// rejected or queued at the endpoint only because they all begin at once.
func newEndpoint(service *service, info state.Endpoint, proxiesInRegion int) *endpoint {
	e := &endpoint{
		info:        info,
		service:     service,
		zone:        &zone{},
		regionGroup: &region{},
		hash:        hashString(fnvOffset, info.ID),
	}
	e.window = math.Ceil(backoff.HealthyShare * e.slots() / float64(proxiesInRegion))
	return e
}

// slots returns the number of requests that the endpoint processes concurrently.
func (e *endpoint) slots() float64 { return float64(max(e.info.Slots, 1)) }

// Parameters of the concurrency windows. The growth and the shares are those of package backoff.
const (
	// windowStep is the growth of a window after a successful call.
	windowStep = 1.0
	// slowQueueDelay is the mean queueing delay above which calls may use only backoff.UnhealthyShare of the slots.
	slowQueueDelay = 600 * time.Millisecond
)

// concurrencyLimit returns how many calls this proxy may have in flight at the endpoint.
func (e *endpoint) concurrencyLimit(now time.Time) int {
	share := backoff.HealthyShare
	slow := e.queueDelays[priorityLevels-1].meanAt(now) > slowQueueDelay
	if e.health.failureRate > unhealthyFailureRate || slow {
		share = backoff.UnhealthyShare
	}
	return min(backoff.ConcurrencyLimit(e.window, share, e.slots()), e.service.maxConnections)
}

// halveWindow halves the window after a rejection or time-out, once for all calls that were in flight together.
func (e *endpoint) halveWindow(now time.Time, c *call) {
	if c.sentAt.Before(e.halvedAt) {
		return
	}
	e.window = backoff.Halve(e.window)
	e.halvedAt = now
}

// isSuspect reports whether other members suspect that the endpoint is down or fails its calls. The suspicion counts
// only if they don't suspect most of the service's endpoints.
func (e *endpoint) isSuspect() bool {
	return (e.info.Unresponsive || e.info.Failing) && !e.service.majoritySuspect
}
