package engine_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/sim/baseline"
	"rowanlink/sim/engine"
	"rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// idle is a host that does nothing.
type idle struct{ api.Host }

func (idle) Now() api.Micros                  { return 0 }
func (idle) SetTimer(api.Micros, api.TimerID) {}

func TestFaults_OverlapAndEndInAnyOrder(t *testing.T) {
	s := newScenario(
		engine.Fault{Kind: "shut", At: 5 * sec, Duration: 6 * sec, Destinations: []int{0}},
		engine.Fault{Kind: "slow", At: 7 * sec, Duration: 12 * sec, Destinations: []int{0}, Magnitude: 3},
		engine.Fault{Kind: "down", At: 8 * sec, Duration: 10 * sec, Destinations: []int{1}},
		engine.Fault{Kind: "hang", At: 6 * sec, Duration: 20 * sec, Destinations: []int{1}})
	checker, events, _ := run(t, s, newPolicy, event.OutageStarted, event.OutageEnded)
	assert.Empty(t, checker.ViolationCount, describe(checker.Violations))
	got := map[api.DestinationID][]api.Micros{}
	for _, e := range events {
		got[e.Destination] = append(got[e.Destination], e.At/api.Second)
	}
	assert.Equal(t, []api.Micros{5, 11}, got[0], "slow is no outage")
	assert.Equal(t, []api.Micros{6, 26}, got[1], "one outage, from the first fault to the end of the last")
}

func TestKillDispatcher_InIterationThatAcceptsAWebhook(t *testing.T) {
	for _, keepsState := range []bool{true, false} {
		s := newScenario(engine.Fault{Kind: "kill", At: 5 * sec, Duration: sec, Dispatchers: []int{0}, KeepsState: keepsState,
			DuringIteration: true})
		checker, events, summary := run(t, s, newPolicy, event.Accepted, event.Killed, event.Recovered, event.Finished, event.AttemptStarted)
		assert.Empty(t, checker.ViolationCount, describe(checker.Violations))
		assert.Zero(t, summary.Unfinished)
		var killed api.Micros
		accepted, resumed, died := map[api.WebhookID]bool{}, 0, 0
		for _, e := range events {
			switch {
			case e.Kind == event.Killed:
				killed = e.At
				for _, x := range events {
					if x.Kind == event.Accepted && x.At == killed && x.Dispatcher == 0 {
						accepted[x.Webhook] = true
					}
				}
				assert.NotEmpty(t, accepted, "it dies in an iteration that accepts one")
				for _, x := range events {
					left := x.Kind == event.AttemptStarted && x.Dispatcher == 0 && x.At == killed
					assert.False(t, left, "no call leaves in that iteration")
				}
			case e.Kind == event.Recovered && accepted[e.Webhook]:
				resumed++
			case e.Kind == event.Finished && e.Final == event.StateLost && accepted[e.Webhook]:
				died++
			}
		}
		if keepsState {
			assert.Equal(t, len(accepted), resumed)
		} else {
			assert.Equal(t, len(accepted), died)
		}
	}
}

func TestKillDispatcher_OutcomesAreDroppedAndLostWebhooksResubmitted(t *testing.T) {
	s := newScenario(engine.Fault{Kind: "hang", At: 4 * sec, Duration: 20 * sec, Busiest: 8},
		engine.Fault{Kind: "kill", At: 6 * sec, Duration: 30 * sec, Dispatchers: []int{0}})
	checker, events, _ := run(t, s, newPolicy, event.Accepted, event.Killed, event.AttemptEnded, event.Finished, event.AttemptStarted)
	assert.Empty(t, checker.ViolationCount, describe(checker.Violations))
	dead := false
	inFlight, accepted, lost := map[event.RequestID]api.EventTypeID{}, map[event.RequestID]bool{}, map[event.RequestID]bool{}
	for _, e := range events {
		switch {
		case e.Kind == event.Killed:
			dead = true
		case e.Kind == event.AttemptStarted && e.Dispatcher == 0:
			inFlight[e.Request] = e.EventType
		case e.Kind == event.AttemptEnded && e.Dispatcher == 0:
			assert.False(t, dead, "an outcome reached a dead dispatcher")
			delete(inFlight, e.Request)
		case e.Kind == event.Finished && e.Final == event.StateLost:
			lost[e.Request] = true
		case e.Kind == event.Accepted && dead && lost[e.Request]:
			accepted[e.Request] = true
		}
	}
	require.NotEmpty(t, inFlight)
	resubmitted := 0
	for request, eventType := range inFlight {
		if accepted[request] {
			resubmitted++
			assert.NotEqual(t, "at-most-once", s.EventTypes[eventType].Semantics, "it may have run")
		}
	}
	assert.Positive(t, resubmitted)
}

func TestSlowStart_OverloadedDestinationCollapses(t *testing.T) {
	s := newScenario(engine.Fault{Kind: "down", At: 5 * sec, Duration: 5 * sec, Busiest: 1})
	s.Clients.Rate, s.Dispatchers.MaxConcurrentCalls, s.EventTypes = 400, 400, s.EventTypes[:1]
	hammer := func(f api.Settings, h api.Host) api.Policy {
		return baseline.New(f, h, f.MaxAttempts, baseline.NoBackoff)
	}
	_, events, summary := run(t, s, hammer, event.Collapsed, event.CallArrived)
	require.Equal(t, 1, summary.Collapsed)
	collapsed, before := false, 0
	for _, e := range events {
		switch {
		case e.Kind == event.Collapsed:
			collapsed = true
			assert.EqualValues(t, 0, e.Destination)
		case e.Destination == 0 && collapsed:
			assert.Fail(t, "a call reached it after it collapsed", "%v", &e)
		case e.Destination == 0:
			before++
		}
	}
	assert.Positive(t, before)
	_, _, summary = run(t, s, newPolicy)
	assert.Zero(t, summary.Collapsed)
}

func TestReplaceEndpoint_DrainsAndMayKeepTheAddress(t *testing.T) {
	for _, address := range []string{"new", "same"} {
		s := newScenario(engine.Fault{Kind: "replace", At: 5 * sec, Busiest: 1, DrainTime: 4 * sec, Address: address})
		checker, events, _ := run(t, s, newPolicy, event.AttemptStarted, event.EndpointUpdated)
		assert.Empty(t, checker.ViolationCount, describe(checker.Violations))
		last := events[len(events)-1]
		before, after := map[api.EndpointID]bool{}, map[api.EndpointID]bool{}
		for _, e := range events {
			if e.Kind == event.AttemptStarted && e.Destination == 0 && e.At < api.Micros(5*sec) {
				before[e.Endpoint] = true
			} else if e.Kind == event.AttemptStarted && e.Destination == 0 && e.At > last.At-api.Micros(5*sec) {
				after[e.Endpoint] = true
			}
		}
		require.NotEmpty(t, after)
		for e := range after {
			assert.False(t, before[e], "%s address: endpoint %d is gone", address, e)
		}
	}
}

func TestConnect_LimitCountsIdleConnections(t *testing.T) {
	s := newScenario()
	s.DestinationKinds[0].MaxConnections, s.Dispatchers.Count, s.Clients.Rate = 1, 4, 60
	s.DestinationKinds[0].Endpoints = []int{1, 1}
	_, events, _ := run(t, s, newPolicy, event.AttemptEnded)
	failed := 0
	for _, e := range events {
		if e.Outcome == api.ConnectFailed {
			failed++
		}
	}
	assert.Positive(t, failed, "four dispatchers share one connection")
}

func TestRestart_AcceptsNothingWhileDraining(t *testing.T) {
	s := newScenario(
		engine.Fault{Kind: "restart", At: 5 * sec, Duration: sec / 2, DrainTime: 2 * sec, Dispatchers: []int{0}},
	)
	checker, events, summary := run(t, s, newPolicy, event.Accepted, event.Started)
	assert.Empty(t, checker.ViolationCount, describe(checker.Violations))
	assert.Zero(t, summary.StateLost+summary.Unfinished)
	accepted := map[bool]int{}
	for _, e := range events {
		if e.Kind == event.Accepted && e.Dispatcher == 0 {
			at := e.At.Seconds()
			assert.False(t, at > 5.01 && at < 7.5, "accepted at %.2f while it drains", at)
			accepted[at > 7.5]++
		}
	}
	assert.Positive(t, accepted[false])
	assert.Positive(t, accepted[true])
}

func TestLoadSkewAndHotSpot(t *testing.T) {
	s := newScenario(engine.Fault{Kind: "hot", Duration: 30 * sec, Destinations: []int{7}, Magnitude: 0.5})
	s.Dispatchers.LoadSkew, s.EventTypes = 0.8, s.EventTypes[:1]
	_, events, summary := run(t, s, newPolicy, event.Accepted, event.Offered)
	accepted, hot := map[int32]int{}, 0
	for _, e := range events {
		if e.Kind == event.Accepted {
			accepted[e.Dispatcher]++
		} else if e.Destination == 7 {
			hot++
		}
	}
	assert.Greater(t, accepted[0], 5*accepted[1], "the first gets nine times what the last gets")
	assert.Positive(t, accepted[1])
	assert.InDelta(t, 0.5+0.5*0.08, float64(hot)/float64(summary.Offered), 0.05)
}
