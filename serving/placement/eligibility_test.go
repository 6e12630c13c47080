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

func TestPick_OnlyEligibleEndpoints(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		endpoints := append(modelEndpoints("e1", 2), modelEndpoints("w1", 2)...)
		endpoints = append(endpoints, modelEndpoints("e2", 2)...)
		w := newFixture(t, rapid.SampledFrom([]string{"e1", "e2", "w1"}).Draw(r, "zone"), endpoints...)
		for range 40 {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(r, "ms")) * time.Millisecond)
			index := rapid.IntRange(0, len(w.snapshot.Endpoints)-1).Draw(r, "endpoint")
			info := &w.snapshot.Endpoints[index]
			switch rapid.IntRange(0, 4).Draw(r, "event") {
			case 0:
				info.State = rapid.SampledFrom([]state.EndpointState{state.EndpointAccepting, state.EndpointDraining, state.EndpointDeparted}).Draw(r, "state")
				info.Sequence++
			case 1:
				zone := rapid.SampledFrom([]string{"e1", "e2", "w1"}).Draw(r, "evacuated")
				w.snapshot.Record.Evacuations = []state.Evacuation{{Zone: zone, Active: rapid.Bool().Draw(r, "active")}}
			}
			w.update()
			request := w.request(rapid.SampledFrom([]string{"review", "home", "urgent"}).Draw(r, "route"), index)
			choice, decision := w.Pick(w.now, request)
			if decision.Kind != Picked {
				continue
			}
			assert.Equal(r, state.EndpointAccepting, choice.Endpoint.State)
			assert.False(r, w.evacuated[choice.Endpoint.Zone], "evacuated")
			if request.Route.Name == "home" {
				assert.Equal(r, "east", regions[choice.Endpoint.Zone], "home regions are binding")
			}
			w.ReportOutcome(w.now, choice.Reservation, attempt.Outcome(rapid.IntRange(0, 7).Draw(r, "outcome")))
		}
	})
}

func TestPick_OwnRegionBeforeOthers(t *testing.T) {
	w := newFixture(t, "e1", append(modelEndpoints("e2", 2), modelEndpoints("w1", 4)...)...)
	for subject := range 20 {
		choice, decision := w.Pick(w.now, w.shortRequest("review", subject))
		require.Equal(t, Picked, decision.Kind)
		assert.Equal(t, "e2", choice.Endpoint.Zone)
		w.ReportOutcome(w.now, choice.Reservation, attempt.Succeeded)
	}
	w.snapshot.Record.Evacuations = []state.Evacuation{{Zone: "e2", Active: true}}
	w.update()
	choice, decision := w.Pick(w.now, w.shortRequest("review", 1))
	require.Equal(t, Picked, decision.Kind)
	assert.Equal(t, "w1", choice.Endpoint.Zone)
	_, decision = w.Pick(w.now, w.shortRequest("home", 1))
	assert.Equal(t, Reject, decision.Kind, "no endpoint is left in the home region")
}

// TestPick_OtherRegionIfItSavesTime: a request leaves its region if the queue there takes longer than the path to
// another region adds, whatever its route's latency target is.
func TestPick_OtherRegionIfItSavesTime(t *testing.T) {
	for _, target := range []time.Duration{50 * time.Millisecond, time.Second, 10 * time.Second} {
		for queued, zone := range map[int]string{0: "e1", 20: "w1"} { // prompts of 2,600 tokens, 87 ms each
			w := newFixture(t, "e1", append(modelEndpoints("e1", 1), modelEndpoints("w1", 1)...)...)
			first, _ := w.Pick(w.now, w.shortRequest("home", 1))
			w.ReportOutcome(w.now, first.Reservation, attempt.Succeeded)
			w.snapshot.Loads = []state.Load{{EndpointID: "e1-0", Queued: queued, CacheTotal: 180_000, Measurement: 1}}
			w.update()
			choice, decision := w.Pick(w.now, withTarget(w.shortRequest("review", 2), target))
			require.Equal(t, Picked, decision.Kind)
			assert.Equal(t, zone, choice.Endpoint.Zone, "target %v, %d queued", target, queued)
		}
	}
}

func TestPick_SplitRouteFollowsWeightsAndRetriesUseSameService(t *testing.T) {
	w := newFixture(t, "e1", append(plainEndpoints("plain", "e1", "e2"), plainEndpoints("other", "e1", "e2")...)...)
	pickedByService := map[string]int{}
	for range 1000 {
		request := w.request("split", 0)
		first, _ := w.Pick(w.now, request)
		pickedByService[first.Endpoint.Service]++
		request.TriedEndpoints = []string{first.Endpoint.ID}
		second, _ := w.Pick(w.now, request)
		assert.Equal(t, first.Endpoint.Service, second.Endpoint.Service)
		assert.NotEqual(t, first.Endpoint.ID, second.Endpoint.ID)
		w.ReportOutcome(w.now, first.Reservation, attempt.Succeeded)
		w.ReportOutcome(w.now, second.Reservation, attempt.Succeeded)
	}
	assert.InDelta(t, 100, pickedByService["other"], 40)
}

func TestPick_MisdirectedEndpointIsExcludedUntilItsNextHeartbeat(t *testing.T) {
	w := newFixture(t, "e1", modelEndpoints("e1", 1)...)
	choice, _ := w.Pick(w.now, w.request("review", 1))
	w.ReportOutcome(w.now, choice.Reservation, attempt.Misdirected)
	_, decision := w.Pick(w.now, w.request("review", 1))
	assert.NotEqual(t, Picked, decision.Kind)
	w.update()
	_, decision = w.Pick(w.now, w.request("review", 1))
	assert.NotEqual(t, Picked, decision.Kind, "the same heartbeat again changes nothing")
	w.snapshot.Endpoints[0].Sequence++
	w.update()
	_, decision = w.Pick(w.now, w.request("review", 1))
	assert.Equal(t, Picked, decision.Kind)
}

// TestPick_NewRegistrationIsAnotherEndpoint: the state of an endpoint doesn't carry over to a new process with the same
// ID.
func TestPick_NewRegistrationIsAnotherEndpoint(t *testing.T) {
	w := newFixture(t, "e1", modelEndpoints("e1", 1)...)
	choice, _ := w.Pick(w.now, w.request("review", 1))
	w.ReportOutcome(w.now, choice.Reservation, attempt.Misdirected)
	w.snapshot.Endpoints[0].Registration++
	w.snapshot.Endpoints[0].Sequence = 0
	w.update()
	_, decision := w.Pick(w.now, w.request("review", 1))
	assert.Equal(t, Picked, decision.Kind)
}

func TestPick_UnresponsiveEndpointIsLastChoice(t *testing.T) {
	w := newFixture(t, "e1", modelEndpoints("e1", 3)...)
	w.snapshot.Endpoints[0].Unresponsive = true
	w.update()
	for subject := range 30 {
		choice, decision := w.Pick(w.now, w.request("review", subject))
		require.Equal(t, Picked, decision.Kind)
		assert.NotEqual(t, "e1-0", choice.Endpoint.ID)
		w.ReportOutcome(w.now, choice.Reservation, attempt.Succeeded)
	}
	w.snapshot.Endpoints[1].State = state.EndpointDraining
	w.snapshot.Endpoints[2].State = state.EndpointDraining
	w.update()
	_, decision := w.Pick(w.now, w.request("review", 1))
	assert.Equal(t, Picked, decision.Kind, "no other endpoint is left")
}
