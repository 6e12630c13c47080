package loadreport

import (
	"rowanlink/serving/state"
)

const (
	// runningSteps and cacheSteps are the changes that are worth a message, as parts of the slots and of the memory.
	runningSteps = 16
	cacheSteps   = 16
	// republishRounds is how many readings may pass before an unchanged load is told again: entries of loads expire.
	republishRounds = 8
)

// changeFilter numbers readings under an epoch and decides which are told. It does no I/O.
type changeFilter struct {
	epoch     uint64
	round     uint64
	published map[string]publishedLoad // by endpoint
}

// publishedLoad is a load that was told.
type publishedLoad struct {
	load  state.Load
	round uint64 // count of readings
}

// beginRound starts a round under an epoch of the duty.
func (r *changeFilter) beginRound(epoch uint64) {
	if epoch != r.epoch || r.published == nil {
		*r = changeFilter{epoch: epoch, published: map[string]publishedLoad{}}
	}
	r.round++
}

// accept returns the load that a report comes to, and whether it is to be told.
func (r *changeFilter) accept(endpoint state.Endpoint, said report) (load state.Load, tell bool) {
	load = state.Load{EndpointID: endpoint.ID, Queued: said.Queued, Running: said.Running, CacheUsed: said.CacheUsed,
		CacheTotal: said.CacheTotal, Measurement: r.round}
	before, known := r.published[endpoint.ID]
	if known && r.round-before.round < republishRounds && isEquivalent(endpoint.Slots, before.load, load) {
		return load, false
	}
	r.published[endpoint.ID] = publishedLoad{load: load, round: r.round}
	return load, true
}

// retain forgets endpoints that weren't asked in this round.
func (r *changeFilter) retain(asked []state.Endpoint) {
	present := make(map[string]bool, len(asked))
	for _, endpoint := range asked {
		present[endpoint.ID] = true
	}
	for id := range r.published {
		if !present[id] {
			delete(r.published, id)
		}
	}
}

// isEquivalent tells whether two loads of an endpoint make no difference to whoever places requests.
func isEquivalent(slots int, a, b state.Load) bool {
	return isWithin(a.Running+a.Queued, b.Running+b.Queued, slots/runningSteps) &&
		isWithin(a.CacheUsed, b.CacheUsed, a.CacheTotal/cacheSteps) && a.CacheTotal == b.CacheTotal
}

func isWithin(a, b, step int) bool { return max(a-b, b-a) <= step }
