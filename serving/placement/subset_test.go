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

// named makes a world of a proxy of the name in zone e1.
func named(t *testing.T, name string, endpoints ...state.Endpoint) *world {
	w := newWorld(t, "e1", endpoints...)
	w.Picker = New(Options{Name: name, Zone: "e1", Region: "east", Regions: regions, Bounds: bounds, Seed: 7, StartedAt: begin})
	w.tell()
	return w
}

// ownPrompt is a request whose prompt shares nothing with others.
func (w *world) ownPrompt(number int) Request {
	return Request{Route: w.route("review"), Model: "m", PromptTokens: 600, MaxOutputTokens: 300,
		Blocks: []PrefixBlock{{fmt.Sprint("own", number), 600}}, TimeLeft: 6 * time.Second}
}

// use sends requests one after the other, each answered after some time, and counts them by endpoint.
func (w *world) use(t *testing.T, requests int, first func(id string) time.Duration) map[string]int {
	met := map[string]int{}
	for number := range requests {
		choice, verdict := w.Pick(w.now, w.ownPrompt(number))
		require.Equal(t, Picked, verdict.Kind)
		met[choice.Endpoint.ID]++
		w.now = w.now.Add(first(choice.Endpoint.ID))
		w.ReportProgress(w.now, choice.Reservation)
		w.ReportOutcome(w.now, choice.Reservation, attempt.Succeeded)
	}
	return met
}

func usual(string) time.Duration { return 80 * time.Millisecond }

// TestProxiesPreferAFewEndpointsEach: each has its own few, and all endpoints are somebody's.
func TestProxiesPreferAFewEndpointsEach(t *testing.T) {
	endpoints := modelEndpoints("e1", 30)
	met := map[string]int{}
	for proxy := range 60 {
		w := named(t, fmt.Sprint("proxy", proxy), endpoints...)
		own := w.use(t, 40, usual)
		assert.LessOrEqual(t, len(own), subsetSize)
		for id := range own {
			met[id]++
		}
	}
	assert.Greater(t, len(met), 25)
	for id, proxies := range met {
		assert.Less(t, proxies, 60*subsetSize/30*4, id)
	}
}

// TestSubsetThatIsBusyIsLeft: a proxy goes elsewhere while its few are slow, and comes back.
func TestSubsetThatIsBusyIsLeft(t *testing.T) {
	w := named(t, "proxy", modelEndpoints("e1", 30)...)
	own := w.use(t, 40, usual)
	busy := w.use(t, 100, func(id string) time.Duration {
		if own[id] > 0 {
			return 500 * time.Millisecond
		}
		return usual(id)
	})
	outside := 0
	for id, calls := range busy {
		if own[id] == 0 {
			outside += calls
		}
	}
	assert.Greater(t, outside, 40)
	w.now = w.now.Add(5 * decayTimeConstant)
	for id := range w.use(t, 20, usual) {
		assert.Contains(t, own, id)
	}
}

// TestSubsetIsDrawnAnew: others take the place of members that close.
func TestSubsetIsDrawnAnew(t *testing.T) {
	w := named(t, "proxy", modelEndpoints("e1", 30)...)
	own := w.use(t, 40, usual)
	for index := range w.view.Endpoints {
		if own[w.view.Endpoints[index].ID] > 0 {
			w.view.Endpoints[index].State = state.EndpointDraining
			w.view.Endpoints[index].Sequence++
		}
	}
	w.tell()
	next := w.use(t, 40, usual)
	assert.LessOrEqual(t, len(next), subsetSize)
	for id := range next {
		assert.NotContains(t, own, id)
	}
}

// TestOwnersAreUsedOutsideTheSubset: proxies with unlike subsets meet at the owner of shared parts that take long to read.
func TestOwnersAreUsedOutsideTheSubset(t *testing.T) {
	endpoints := modelEndpoints("e1", 30)
	one, other := named(t, "one", endpoints...), named(t, "other", endpoints...)
	for subject := range 20 {
		first, _ := one.Pick(one.now, one.request("review", subject))
		second, _ := other.Pick(other.now, other.request("review", subject))
		assert.Equal(t, first.Endpoint.ID, second.Endpoint.ID)
	}
}

// TestUnknownEndpointIsTakenForAsBusyAsItsRegion: it isn't taken for idle because nothing is known of it.
func TestUnknownEndpointIsTakenForAsBusyAsItsRegion(t *testing.T) {
	w := named(t, "proxy", modelEndpoints("e1", 30)...)
	w.use(t, 40, func(string) time.Duration { return 400 * time.Millisecond })
	service := w.services["model"]
	for _, e := range service.endpoints {
		assert.Greater(t, e.expectedQueueDelay(w.now, priorityOf(1)), 100*time.Millisecond, e.info.ID)
	}
	later := w.now.Add(10 * decayTimeConstant)
	for _, e := range service.endpoints {
		assert.Less(t, e.expectedQueueDelay(later, priorityOf(1)), time.Millisecond)
	}
}

// TestWaysAreMeasured: what was measured stands in for what is assumed.
func TestWaysAreMeasured(t *testing.T) {
	w := newWorld(t, "e1", append(modelEndpoints("e1", 2), modelEndpoints("w1", 2)...)...)
	far := w.endpoints["w1-0"]
	assert.Equal(t, crossRegionLatency, w.pathLatency(far))
	assert.Equal(t, crossRegionLatency, w.longestPathLatency())
	w.SetRoundTrips(map[string]time.Duration{"w1": 200 * time.Millisecond, "e1": time.Millisecond})
	assert.Equal(t, 200*time.Millisecond+sameZoneLatency, w.pathLatency(far))
	assert.Equal(t, 200*time.Millisecond+sameZoneLatency, w.longestPathLatency())
	assert.Equal(t, time.Millisecond+sameZoneLatency, w.pathLatency(w.endpoints["e1-0"]))
}
