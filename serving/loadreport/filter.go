package loadreport

import "rowanlink/serving/state"

const (
	// runningSteps and cacheSteps determine the changes that are published: those by more than one part in runningSteps
	// of the endpoint's slots, or by more than one part in cacheSteps of its cache.
	runningSteps = 16
	cacheSteps   = 16
	// republishRounds is the number of rounds after which an unchanged load is published again, since gossiped loads
	// expire.
	republishRounds = 8
)

// changeFilter numbers the loads under an epoch of the role and decides which of them are published. It does no I/O.
type changeFilter struct {
	epoch     uint64
	round     uint64
	published map[string]publishedLoad // by endpoint
}

// publishedLoad is the last load of an endpoint that was published.
type publishedLoad struct {
	load  state.Load
	round uint64
}

// beginRound begins a round of polls under an epoch of the role. A new epoch resets the filter.
func (f *changeFilter) beginRound(epoch uint64) {
	if epoch != f.epoch || f.published == nil {
		*f = changeFilter{epoch: epoch, published: map[string]publishedLoad{}}
	}
	f.round++
}

// accept returns the load of a report, and whether it is to be published.
func (f *changeFilter) accept(endpoint state.Endpoint, reported report) (load state.Load, changed bool) {
	load = state.Load{
		EndpointID:  endpoint.ID,
		Queued:      reported.Queued,
		Running:     reported.Running,
		CacheUsed:   reported.CacheUsed,
		CacheTotal:  reported.CacheTotal,
		Measurement: f.round,
	}
	last, known := f.published[endpoint.ID]
	isRecent := known && f.round-last.round < republishRounds
	if isRecent && isEquivalent(endpoint.Slots, last.load, load) {
		return load, false
	}
	f.published[endpoint.ID] = publishedLoad{load: load, round: f.round}
	return load, true
}

// retain forgets the endpoints that aren't polled any more.
func (f *changeFilter) retain(polled []state.Endpoint) {
	isPolled := make(map[string]bool, len(polled))
	for _, endpoint := range polled {
		isPolled[endpoint.ID] = true
	}
	for id := range f.published {
		if !isPolled[id] {
			delete(f.published, id)
		}
	}
}

// isEquivalent reports whether two loads of an endpoint make no difference to the placement of requests.
func isEquivalent(slots int, a, b state.Load) bool {
	return isWithin(a.Running+a.Queued, b.Running+b.Queued, slots/runningSteps) &&
		isWithin(a.CacheUsed, b.CacheUsed, a.CacheTotal/cacheSteps) &&
		a.CacheTotal == b.CacheTotal
}

func isWithin(a, b, distance int) bool { return max(a-b, b-a) <= distance }
