package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"rowanlink/serving/attempt"
	"rowanlink/serving/state"
)

// TestPrefixRegion_EvacuatedRegionOwnsNoPrefix: requests with long shared prefixes don't go to an evacuated region
// either, and requests whose home region it is are rejected.
func TestPrefixRegion_EvacuatedRegionOwnsNoPrefix(t *testing.T) {
	w := newFixture(t, "e1", append(modelEndpoints("e2", 2), modelEndpoints("w1", 4)...)...)
	w.snapshot.Record.Evacuations = []state.Evacuation{{Zone: "e2", Active: true}}
	w.update()
	for subject := range 20 {
		choice, decision := w.Pick(w.now, w.request("review", subject))
		require.Equal(t, Picked, decision.Kind)
		assert.Equal(t, "w1", choice.Endpoint.Zone)
		w.ReportOutcome(w.now, choice.Reservation, attempt.Succeeded)
		_, decision = w.Pick(w.now, w.request("home", subject))
		assert.Equal(t, Reject, decision.Kind, "no endpoint is left in the home region")
	}
}

// TestPathCosts_SteadyTrafficReturnsToOwnRegion: the latency that a proxy's requests pay to reach another region
// exceeds the time to prefill the shared blocks in the own region by one round trip at most. All later requests go to
// the own region's owner, on which its proxies agree.
func TestPathCosts_SteadyTrafficReturnsToOwnRegion(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		all := append(modelEndpoints("e1", 4), modelEndpoints("w1", 4)...)
		one, other := newFixture(t, "e1", all...), newFixture(t, "e2", all...)
		subjects := rapid.IntRange(1, 12).Draw(r, "subjects")
		remoteLatency := map[int]time.Duration{}
		ownerID := map[int]string{}
		for range 400 {
			subject := rapid.IntRange(0, subjects-1).Draw(r, "subject")
			w := rapid.SampledFrom([]*pickerFixture{one, other}).Draw(r, "proxy")
			w.now = w.now.Add(time.Duration(rapid.IntRange(50, 500).Draw(r, "ms")) * time.Millisecond)
			choice, decision := w.Pick(w.now, w.request("review", subject))
			require.Equal(r, Picked, decision.Kind)
			w.ReportOutcome(w.now, choice.Reservation, attempt.Succeeded)
			if choice.Endpoint.Zone == "w1" {
				remoteLatency[subject] += crossRegionLatency
				continue
			}
			if ownerID[subject] == "" {
				ownerID[subject] = choice.Endpoint.ID
			}
			assert.Equal(r, ownerID[subject], choice.Endpoint.ID, "one endpoint of the region")
		}
		for subject, cost := range remoteLatency {
			prefillTime := one.services["model"].prefillTime(2500 + 3800)
			assert.LessOrEqual(r, cost, 2*(prefillTime+crossRegionLatency), "subject %d, of both proxies together", subject)
		}
	})
}

func TestPathCosts_DropsUnusedPrefixes(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		costs := pathCosts{tokenLimit: 1000}
		otherTokens, spent := 0, time.Duration(0) // otherTokens: tokens of other prefixes used since prefix 0 was
		for range 300 {
			hash := uint64(rapid.IntRange(0, 60).Draw(r, "hash"))
			if hash != 0 {
				costs.add(hash, 100, crossRegionLatency)
				otherTokens += 100
			} else {
				costs.add(0, 100, crossRegionLatency)
				spent, otherTokens = spent+crossRegionLatency, 0
				if costs.total(0) == crossRegionLatency {
					spent = crossRegionLatency // it had been dropped
				}
			}
			if otherTokens <= 900 {
				assert.Equal(r, spent, costs.total(0), "retained while the other prefixes used since don't fill the cache")
			}
			assert.LessOrEqual(r, len(costs.young)+len(costs.old), 20)
		}
		for hash := range uint64(2 * maxPathCostEntries) {
			costs.tokenLimit = 1 << 40
			costs.add(100+hash, 100, crossRegionLatency)
			assert.LessOrEqual(r, len(costs.young), maxPathCostEntries)
		}
		assert.Zero(r, costs.total(0))
	})
}
