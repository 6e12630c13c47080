package engine_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/sim/engine"
	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// manyDispatchers has forty dispatchers and six destinations: few dispatchers make more than a call per second to one.
func manyDispatchers(faults ...engine.Fault) *engine.Scenario {
	s := newScenario(faults...)
	s.Dispatchers.Count, s.Dispatchers.MaxConcurrentCalls, s.Dispatchers.BufferSize = 40, 6, 80
	s.Clients.Rate, s.Destinations.Count, s.Destinations.Active, s.Duration = 200, 6, 6, 25*sec
	s.EventTypes = []engine.EventType{s.EventTypes[1]}
	s.DestinationKinds[0].Headroom = 1.5
	return s
}

// most returns dispatchers 0 to 27.
func most() (all []int) {
	for i := range 28 {
		all = append(all, i)
	}
	return all
}

// Each case is harmless to a single dispatcher. The invariants hold, each webhook is finished, no destination collapses,
// and the value earned is at least the stated share.
func TestManyDispatchers_KeepInvariantsUnderFaults(t *testing.T) {
	lowered := engine.Fault{Kind: "limit", At: 6 * sec, Duration: 9 * sec, Busiest: 3, Magnitude: 1.0 / 3}
	down := engine.Fault{Kind: "down", At: 6 * sec, Duration: 5 * sec, Busiest: 2}
	for name, day := range map[string]struct {
		faults   []engine.Fault
		change   func(s *engine.Scenario)
		minValue float64
	}{
		"killed at once during a release, late updates": {[]engine.Fault{
			{Kind: "replace", At: 5 * sec, Busiest: 3, SingleEndpoint: true, DrainTime: 2 * sec},
			{Kind: "kill", At: 7 * sec, Duration: sec, Dispatchers: most(), StartupListAge: 4 * sec},
			{Kind: "list_late", At: 4 * sec, Duration: 11 * sec, Dispatchers: most(), UpdateDelay: 3 * sec}}, nil, 0.9},
		"a limit lowered": {[]engine.Fault{lowered}, nil, 0.85},
		"a limit lowered, no Retry-After, rejected calls count": {[]engine.Fault{lowered},
			func(s *engine.Scenario) {
				s.DestinationKinds[0].RetryAfterShare, s.DestinationKinds[0].CountsRejected = 0, true
			}, 0.75},
		"half of the traffic down, with slow start": {[]engine.Fault{down}, nil, 0.85},
		"back while its limit is lowered":           {[]engine.Fault{down, lowered}, nil, 0.8},
		"uneven load": {nil,
			func(s *engine.Scenario) { s.Dispatchers.LoadSkew = 0.6 }, 0.85},
		"one call in ten seconds by each": {nil, func(s *engine.Scenario) { s.Clients.Rate = 4 }, 0.9},
	} {
		t.Run(name, func(t *testing.T) {
			s := manyDispatchers(day.faults...)
			if day.change != nil {
				day.change(s)
			}
			checker, _, summary := run(t, s, newPolicy)
			assert.Empty(t, checker.ViolationCount, describe(checker.Violations))
			assert.Zero(t, summary.Unfinished)
			assert.Zero(t, summary.Collapsed)
			assert.Greater(t, summary.Value, day.minValue)
		})
	}
}

// An idle connection keeps the calls of other dispatchers out, whether the limit is reported or the connect refused.
func TestManyDispatchers_ShareConnectionLimit(t *testing.T) {
	for _, reported := range []bool{false, true} {
		s := manyDispatchers()
		kind := &s.DestinationKinds[0]
		kind.MaxConnections = 8
		kind.ReportsConnectionLimit = reported
		kind.Headroom = 3
		checker, events, summary := run(t, s, newPolicy, event.AttemptEnded)
		assert.Empty(t, checker.ViolationCount, describe(checker.Violations))
		outcomes := map[api.Outcome]int{}
		for _, e := range events {
			outcomes[e.Outcome]++
		}
		failed := outcomes[api.ConnectFailed] + outcomes[api.ConnectionLimited]
		assert.Equal(t, reported, outcomes[api.ConnectionLimited] > 0)
		assert.Less(t, failed, len(events)/3, "calls over the connection limit")
		least := 0.93
		if reported { // a limit is not taken for an outage
			least = 0.97
		}
		assert.Greater(t, summary.Value, least)
	}
}

func TestLimitFault_AppliesToItsTimeAndDestinations(t *testing.T) {
	s := manyDispatchers(engine.Fault{Kind: "limit", At: 8 * sec, Duration: 6 * sec, Destinations: []int{0}, Magnitude: 0.2},
		engine.Fault{Kind: "limit", At: 10 * sec, Duration: 2 * sec, Destinations: []int{0}, Magnitude: 0.5})
	_, events, _ := run(t, s, newPolicy, event.CallRefused)
	refused := map[bool]int{}
	for _, e := range events {
		if e.Destination == 0 {
			refused[e.At >= 8*api.Second && e.At < 14*api.Second]++
		}
	}
	assert.Greater(t, refused[true], 3*refused[false], "in its 6 s against the 19 s beside it")
}

// Where connection limits are reported, a refused connect right after a delivery is no limit but an outage. Of many
// dispatchers hardly one sees it fail three times.
func TestSingleEndpoint_IsNotOverloadedAfterAShortOutage(t *testing.T) {
	for _, day := range []struct {
		dispatchers int
		rate        float64
	}{{3, 10}, {20, 25}} {
		for _, seed := range []uint64{3, 4} {
			s := newScenario(engine.Fault{Kind: "down", At: 10 * sec, Duration: 11 * sec / 10, Busiest: 1})
			s.Seed, s.Dispatchers.Count, s.Destinations.Count, s.Destinations.Active = seed, day.dispatchers, 1, 1
			s.Clients.Rate, s.EventTypes = day.rate, s.EventTypes[:1]
			k := &s.DestinationKinds[0]
			k.Endpoints, k.Headroom, k.ReportsConnectionLimit, k.RetryAfterShare = []int{1, 1}, 1.2, true, 0
			checker, events, _ := run(t, s, newPolicy, event.OutageEnded, event.CallArrived)
			assert.Empty(t, checker.ViolationCount, describe(checker.Violations))
			back, came := api.Never, 0.0
			for _, e := range events {
				if e.Kind == event.OutageEnded {
					back = e.At
				} else if back != api.Never && e.At < back+2*api.Second {
					came++
				}
			}
			assert.Positive(t, came)
			// Twice its capacity in the slow start, for 2 s.
			assert.Less(t, came, 2*(0.2+0.8*0.2)*2*k.Headroom*day.rate)
		}
	}
}
