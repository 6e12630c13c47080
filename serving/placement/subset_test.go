package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/attempt"
	"rowanlink/serving/state"
)

// newNamedFixture returns a picker of a proxy in zone e1 with the given name, which determines its subset.
func newNamedFixture(t *testing.T, name string, endpoints ...state.Endpoint) *pickerFixture {
	w := newFixture(t, "e1", endpoints...)
	w.Picker = New(Options{
		Name:      name,
		Zone:      "e1",
		Region:    "east",
		Regions:   regions,
		Bounds:    bounds,
		Seed:      7,
		StartedAt: startTime,
	})
	w.update()
	return w
}

// unsharedRequest returns a request whose prompt shares no blocks with other requests.
func (w *pickerFixture) unsharedRequest(number int) Request {
	return Request{Route: w.route("review"), Model: "m", PromptTokens: 600, MaxOutputTokens: 300,
		Blocks: []PrefixBlock{{fmt.Sprint("own", number), 600}}, TimeLeft: 6 * time.Second}
}

// run sends requests one after another, with the given time to first byte, and counts them by endpoint.
func (w *pickerFixture) run(t *testing.T, requests int, first func(id string) time.Duration) map[string]int {
	callsByID := map[string]int{}
	for number := range requests {
		choice, decision := w.Pick(w.now, w.unsharedRequest(number))
		require.Equal(t, Picked, decision.Kind)
		callsByID[choice.Endpoint.ID]++
		w.now = w.now.Add(first(choice.Endpoint.ID))
		w.ReportProgress(w.now, choice.Reservation)
		w.ReportOutcome(w.now, choice.Reservation, attempt.Succeeded)
	}
	return callsByID
}

func usualFirstByte(string) time.Duration { return 80 * time.Millisecond }

// TestSubset_IsSmallAndCoversAllEndpoints: each proxy has a small subset, and nearly every endpoint is in some subset.
func TestSubset_IsSmallAndCoversAllEndpoints(t *testing.T) {
	endpoints := modelEndpoints("e1", 30)
	proxiesByID := map[string]int{}
	for proxy := range 60 {
		w := newNamedFixture(t, fmt.Sprint("proxy", proxy), endpoints...)
		own := w.run(t, 40, usualFirstByte)
		assert.LessOrEqual(t, len(own), subsetSize)
		for id := range own {
			proxiesByID[id]++
		}
	}
	assert.Greater(t, len(proxiesByID), 25)
	for id, proxies := range proxiesByID {
		assert.Less(t, proxies, 60*subsetSize/30*4, id)
	}
}

// TestSubset_IsAvoidedWhileSlow: a proxy uses other endpoints while its subset is slow, and returns to it.
func TestSubset_IsAvoidedWhileSlow(t *testing.T) {
	w := newNamedFixture(t, "proxy", modelEndpoints("e1", 30)...)
	own := w.run(t, 40, usualFirstByte)
	busy := w.run(t, 100, func(id string) time.Duration {
		if own[id] > 0 {
			return 500 * time.Millisecond
		}
		return usualFirstByte(id)
	})
	outside := 0
	for id, calls := range busy {
		if own[id] == 0 {
			outside += calls
		}
	}
	assert.Greater(t, outside, 40)
	w.now = w.now.Add(5 * decayTimeConstant)
	for id := range w.run(t, 20, usualFirstByte) {
		assert.Contains(t, own, id)
	}
}

// TestSubset_ReplacesDrainingEndpoints: other endpoints replace those that drain.
func TestSubset_ReplacesDrainingEndpoints(t *testing.T) {
	w := newNamedFixture(t, "proxy", modelEndpoints("e1", 30)...)
	own := w.run(t, 40, usualFirstByte)
	for index := range w.snapshot.Endpoints {
		if own[w.snapshot.Endpoints[index].ID] > 0 {
			w.snapshot.Endpoints[index].State = state.EndpointDraining
			w.snapshot.Endpoints[index].Sequence++
		}
	}
	w.update()
	next := w.run(t, 40, usualFirstByte)
	assert.LessOrEqual(t, len(next), subsetSize)
	for id := range next {
		assert.NotContains(t, own, id)
	}
}

// TestPrefixOwner_OutsideTheSubset: proxies with different subsets choose the same owner of a long shared prefix.
func TestPrefixOwner_OutsideTheSubset(t *testing.T) {
	endpoints := modelEndpoints("e1", 30)
	one, other := newNamedFixture(t, "one", endpoints...), newNamedFixture(t, "other", endpoints...)
	for subject := range 20 {
		first, _ := one.Pick(one.now, one.request("review", subject))
		second, _ := other.Pick(other.now, other.request("review", subject))
		assert.Equal(t, first.Endpoint.ID, second.Endpoint.ID)
	}
}

// TestExpectedQueueDelay_FallsBackToRegion: an endpoint without measurements isn't taken to be idle.
func TestExpectedQueueDelay_FallsBackToRegion(t *testing.T) {
	w := newNamedFixture(t, "proxy", modelEndpoints("e1", 30)...)
	w.run(t, 40, func(string) time.Duration { return 400 * time.Millisecond })
	service := w.services["model"]
	for _, e := range service.endpoints {
		assert.Greater(t, e.expectedQueueDelay(w.now, priorityOf(1)), 100*time.Millisecond, e.info.ID)
	}
	later := w.now.Add(10 * decayTimeConstant)
	for _, e := range service.endpoints {
		assert.Less(t, e.expectedQueueDelay(later, priorityOf(1)), time.Millisecond)
	}
}

// TestPathLatency_UsesMeasuredRoundTrips: measured round trips replace the assumed ones.
func TestPathLatency_UsesMeasuredRoundTrips(t *testing.T) {
	w := newFixture(t, "e1", append(modelEndpoints("e1", 2), modelEndpoints("w1", 2)...)...)
	far := w.endpoints["w1-0"]
	assert.Equal(t, crossRegionLatency, w.pathLatency(far))
	assert.Equal(t, crossRegionLatency, w.longestPathLatency())
	w.SetRoundTrips(map[string]time.Duration{"w1": 200 * time.Millisecond, "e1": time.Millisecond})
	assert.Equal(t, 200*time.Millisecond+sameZoneLatency, w.pathLatency(far))
	assert.Equal(t, 200*time.Millisecond+sameZoneLatency, w.longestPathLatency())
	assert.Equal(t, time.Millisecond+sameZoneLatency, w.pathLatency(w.endpoints["e1-0"]))
}
