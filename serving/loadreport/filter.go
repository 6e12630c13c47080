package loadreport

import "rowanlink/serving/state"

const (
	// requestsDivisor and cacheDivisor are thresholds. A load is published again if its number of requests has changed
	// by more than 1/requestsDivisor of the endpoint's slots, or its used cache by more than 1/cacheDivisor of the
	// cache.
	requestsDivisor = 16
	cacheDivisor    = 16
	// republishRounds is the number of polling rounds after which an unchanged load is published again, since gossiped
	// loads expire.
	republishRounds = 8
)

// changeFilter decides which loads are published. It also numbers the polling rounds within an epoch of the singleton
// role. It does no I/O.
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

// beginRound begins a round of polls in an epoch of the singleton role. A new epoch resets the filter.
func (f *changeFilter) beginRound(epoch uint64) {
	if epoch != f.epoch || f.published == nil {
		*f = changeFilter{epoch: epoch, published: map[string]publishedLoad{}}
	}
	f.round++
}

// accept returns the load in a report, and whether it has to be published. If so, it counts as published from now on.
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

// isEquivalent reports whether two loads of an endpoint differ too little to affect the placement of requests.
func isEquivalent(slots int, a, b state.Load) bool {
	return isWithin(a.Running+a.Queued, b.Running+b.Queued, slots/requestsDivisor) &&
		isWithin(a.CacheUsed, b.CacheUsed, a.CacheTotal/cacheDivisor) &&
		a.CacheTotal == b.CacheTotal
}

// isWithin reports whether two numbers differ by at most a distance.
func isWithin(a, b, distance int) bool { return max(a-b, b-a) <= distance }
