package loadreport

import (
	"rowanlink/serving/state"
)

const (
	// runningStep and cacheStep are the changes that are worth a message, as parts of the slots and of the memory.
	runningStep = 16
	cacheStep   = 16
	// repeatAfter is how many readings may pass before an unchanged load is told again: entries of loads expire.
	repeatAfter = 8
)

// reader numbers readings under an epoch and decides which are told. It does no I/O.
type reader struct {
	epoch    uint64
	readings uint64
	told     map[string]reading // by endpoint
}

// reading is a load that was told.
type reading struct {
	load state.Load
	at   uint64 // count of readings
}

// begin starts a round under an epoch of the duty.
func (r *reader) begin(epoch uint64) {
	if epoch != r.epoch || r.told == nil {
		*r = reader{epoch: epoch, told: map[string]reading{}}
	}
	r.readings++
}

// take returns the load that a report comes to, and whether it is to be told.
func (r *reader) take(endpoint state.Endpoint, said report) (load state.Load, tell bool) {
	load = state.Load{EndpointID: endpoint.ID, Queued: said.Queued, Running: said.Running, CacheUsed: said.CacheUsed,
		CacheTotal: said.CacheTotal, Measurement: r.readings}
	before, known := r.told[endpoint.ID]
	if known && r.readings-before.at < repeatAfter && alike(endpoint.Slots, before.load, load) {
		return load, false
	}
	r.told[endpoint.ID] = reading{load: load, at: r.readings}
	return load, true
}

// keep forgets endpoints that weren't asked in this round.
func (r *reader) keep(asked []state.Endpoint) {
	present := make(map[string]bool, len(asked))
	for _, endpoint := range asked {
		present[endpoint.ID] = true
	}
	for id := range r.told {
		if !present[id] {
			delete(r.told, id)
		}
	}
}

// alike tells whether two loads of an endpoint make no difference to whoever places requests.
func alike(slots int, a, b state.Load) bool {
	return near(a.Running+a.Queued, b.Running+b.Queued, slots/runningStep) &&
		near(a.CacheUsed, b.CacheUsed, a.CacheTotal/cacheStep) && a.CacheTotal == b.CacheTotal
}

func near(a, b, step int) bool { return max(a-b, b-a) <= step }
