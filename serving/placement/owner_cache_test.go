package placement

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"rowanlink/serving/attempt"
	"rowanlink/serving/state"
)

// TestRankOwners_CacheMatchesRanking changes, removes and restores endpoints and lets them warm up, at random, and
// checks after each step that the cached owners are those of a new ranking.
func TestRankOwners_CacheMatchesRanking(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		endpoints := append(modelEndpoints("e1", 4), modelEndpoints("w1", 3)...)
		w := newFixture(t, "e1", copyEndpoints(endpoints)...)
		for range rapid.IntRange(1, 30).Draw(r, "steps") {
			w.now = w.now.Add(rapid.SampledFrom([]time.Duration{0, time.Millisecond, 2 * time.Second}).Draw(r, "pause"))
			w.randomStep(r, endpoints)
			for subject := range 2 {
				w.assertOwnersCurrent(r, w.request("urgent", subject))
			}
		}
	})
}

// randomStep makes a call, which may show that an endpoint was replaced, or changes some endpoints of the snapshot.
func (w *pickerFixture) randomStep(r *rapid.T, all []state.Endpoint) {
	if rapid.Bool().Draw(r, "call") {
		choice, decision := w.Pick(w.now, w.request("urgent", 1))
		if decision.Kind == Picked {
			outcome := rapid.SampledFrom([]attempt.Outcome{attempt.Misdirected, attempt.Succeeded}).Draw(r, "outcome")
			w.ReportOutcome(w.now, choice.Reservation, outcome)
		}
		return
	}
	changed := &all[rapid.IntRange(0, len(all)-1).Draw(r, "endpoint")]
	changed.Sequence++
	changed.Unresponsive = rapid.Bool().Draw(r, "unresponsive")
	changed.State = rapid.SampledFrom([]state.EndpointState{state.EndpointAccepting, state.EndpointDraining}).Draw(r, "state")
	changed.WarmupLeftMillis = rapid.SampledFrom([]int64{0, 0, 1500}).Draw(r, "warm-up")
	changed.Models[0].Name = rapid.SampledFrom([]string{"m", "m", "other"}).Draw(r, "model")
	present := rapid.IntRange(3, len(all)).Draw(r, "present")
	w.snapshot.Endpoints = copyEndpoints(all[:present])
	w.update()
}

// copyEndpoints returns a copy that shares no memory with the endpoints.
func copyEndpoints(endpoints []state.Endpoint) []state.Endpoint {
	copied := slices.Clone(endpoints)
	for index := range copied {
		copied[index].Models = slices.Clone(copied[index].Models)
	}
	return copied
}

// assertOwnersCurrent checks in all regions that the cached owners are those that are found without the cache.
func (w *pickerFixture) assertOwnersCurrent(t *rapid.T, request Request) {
	s := candidateSearch{now: w.now, request: &request, service: w.ensureService("model")}
	w.prepareSearch(&s)
	for _, r := range s.service.regions {
		for _, filter := range []warmupFilter{excludeWarmingUp, includeWarmingUp} {
			cached := s.rankOwners(w.chain.sharedPrefixHash(), r, filter)
			savedCache := r.owners
			r.owners = ownerCache{}
			ranked := s.rankOwners(w.chain.sharedPrefixHash(), r, filter)
			r.owners = savedCache
			assert.Equal(t, endpointIDs(ranked), endpointIDs(cached), r.name)
		}
	}
}

func endpointIDs(owners [maxPrefixOwners]*endpoint) (ids []string) {
	for _, e := range owners {
		if e != nil {
			ids = append(ids, e.info.ID)
		}
	}
	return ids
}
