package engine_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/sim/baseline"
	"rowanlink/sim/engine"
	eventpkg "rowanlink/sim/event"
	"rowanlink/webhook/api"
)

// idle is a host on which nothing happens.
type idle struct{ api.Host }

func (idle) Now() api.Micros                  { return 0 }
func (idle) SetTimer(api.Micros, api.TimerID) {}

func TestTroublesOverlapAndEndInAnyOrder(t *testing.T) {
	s := plain(
		engine.Trouble{Kind: "shut", At: 5 * sec, For: 6 * sec, Destinations: []int{0}},
		engine.Trouble{Kind: "slow", At: 7 * sec, For: 12 * sec, Destinations: []int{0}, Size: 3},
		engine.Trouble{Kind: "down", At: 8 * sec, For: 10 * sec, Destinations: []int{1}},
		engine.Trouble{Kind: "hang", At: 6 * sec, For: 20 * sec, Destinations: []int{1}})
	w, events, _ := play(t, s, module, eventpkg.OutageStarted, eventpkg.OutageEnded)
	assert.Empty(t, w.Broken, texts(w.Breaches))
	got := map[api.DestinationID][]api.Micros{}
	for _, e := range events {
		got[e.Destination] = append(got[e.Destination], e.At/api.Second)
	}
	assert.Equal(t, []api.Micros{5, 11}, got[0], "slow is no outage")
	assert.Equal(t, []api.Micros{6, 26}, got[1], "one outage, from the first trouble to the end of the last")
}

func TestKilledInTheVeryTurnThatTakesAWebhookOn(t *testing.T) {
	for _, journal := range []bool{true, false} {
		s := plain(engine.Trouble{Kind: "kill", At: 5 * sec, For: sec, Dispatchers: []int{0}, Journal: journal,
			InTurn: true})
		w, events, sum := play(t, s, module, eventpkg.Accepted, eventpkg.Killed, eventpkg.Recovered, eventpkg.Finished, eventpkg.AttemptStarted)
		assert.Empty(t, w.Broken, texts(w.Breaches))
		assert.Zero(t, sum.Unended)
		killed := api.Never
		taken, resumed, died := map[api.WebhookID]bool{}, 0, 0
		for _, e := range events {
			switch {
			case e.Kind == eventpkg.Killed:
				killed = e.At
				for _, x := range events {
					if x.Kind == eventpkg.Accepted && x.At == killed && x.Dispatcher == 0 {
						taken[x.Webhook] = true
					}
				}
				assert.NotEmpty(t, taken, "it dies in a turn that takes one on")
				for _, x := range events {
					left := x.Kind == eventpkg.AttemptStarted && x.Dispatcher == 0 && x.At == killed
					assert.False(t, left, "nothing left in that turn")
				}
			case e.Kind == eventpkg.Recovered && taken[e.Webhook]:
				resumed++
			case e.Kind == eventpkg.Finished && e.Final == eventpkg.StateLost && taken[e.Webhook]:
				died++
			}
		}
		if journal {
			assert.Equal(t, len(taken), resumed)
		} else {
			assert.Equal(t, len(taken), died)
		}
	}
}

func TestWhatADeadDispatcherHadOutReachesNobodyAndIsHandedOn(t *testing.T) {
	s := plain(engine.Trouble{Kind: "hang", At: 4 * sec, For: 20 * sec, Busiest: 8},
		engine.Trouble{Kind: "kill", At: 6 * sec, For: 30 * sec, Dispatchers: []int{0}})
	w, events, _ := play(t, s, module, eventpkg.Accepted, eventpkg.Killed, eventpkg.AttemptEnded, eventpkg.Finished, eventpkg.AttemptStarted)
	assert.Empty(t, w.Broken, texts(w.Breaches))
	dead := false
	out, again, died := map[eventpkg.RequestID]api.EventTypeID{}, map[eventpkg.RequestID]bool{}, map[eventpkg.RequestID]bool{}
	for _, e := range events {
		switch {
		case e.Kind == eventpkg.Killed:
			dead = true
		case e.Kind == eventpkg.AttemptStarted && e.Dispatcher == 0:
			out[e.Request] = e.EventType
		case e.Kind == eventpkg.AttemptEnded && e.Dispatcher == 0:
			assert.False(t, dead, "an outcome came to a dead dispatcher")
			delete(out, e.Request)
		case e.Kind == eventpkg.Finished && e.Final == eventpkg.StateLost:
			died[e.Request] = true
		case e.Kind == eventpkg.Accepted && dead && died[e.Request]:
			again[e.Request] = true
		}
	}
	require.NotEmpty(t, out)
	handedOn := 0
	for o, evt := range out {
		if again[o] {
			handedOn++
			assert.NotEqual(t, "at-most-once", s.Events[evt].Repeat, "it may have run")
		}
	}
	assert.Positive(t, handedOn)
}

func TestAReturningDestinationThatIsPushedFalls(t *testing.T) {
	s := plain(engine.Trouble{Kind: "down", At: 5 * sec, For: 5 * sec, Busiest: 1})
	s.Clients.Rate, s.Dispatchers.Slots, s.Events = 400, 400, s.Events[:1]
	hammer := func(f api.Settings, h api.Host) api.Policy {
		return baseline.New(f, h, f.MaxAttempts, baseline.None)
	}
	_, events, sum := play(t, s, hammer, eventpkg.Collapsed, eventpkg.CallArrived)
	require.Equal(t, 1, sum.Fell)
	fell, before := false, 0
	for _, e := range events {
		switch {
		case e.Kind == eventpkg.Collapsed:
			fell = true
			assert.EqualValues(t, 0, e.Destination)
		case e.Destination == 0 && fell:
			assert.Fail(t, "a call reached it after it fell", "%v", &e)
		case e.Destination == 0:
			before++
		}
	}
	assert.Positive(t, before)
	_, _, sum = play(t, s, module)
	assert.Zero(t, sum.Fell)
}

func TestAnEndpointThatIsReplacedDrainsAndItsAddressMayServeOn(t *testing.T) {
	for _, address := range []string{"new", "same"} {
		s := plain(engine.Trouble{Kind: "replace", At: 5 * sec, Busiest: 1, Drain: 4 * sec, Address: address})
		w, events, _ := play(t, s, module, eventpkg.AttemptStarted, eventpkg.EndpointUpdated)
		assert.Empty(t, w.Broken, texts(w.Breaches))
		last := events[len(events)-1]
		before, after := map[api.EndpointID]bool{}, map[api.EndpointID]bool{}
		for _, e := range events {
			if e.Kind == eventpkg.AttemptStarted && e.Destination == 0 && e.At < api.Micros(5*sec) {
				before[e.Endpoint] = true
			} else if e.Kind == eventpkg.AttemptStarted && e.Destination == 0 && e.At > last.At-api.Micros(5*sec) {
				after[e.Endpoint] = true
			}
		}
		require.NotEmpty(t, after)
		for e := range after {
			assert.False(t, before[e], "%s address: endpoint %d is gone", address, e)
		}
	}
}

func TestConnectionPlacesCountIdleOnes(t *testing.T) {
	s := plain()
	s.Kinds[0].Places, s.Dispatchers.Count, s.Clients.Rate = 1, 4, 60
	s.Kinds[0].Endpoints = []int{1, 1}
	_, events, _ := play(t, s, module, eventpkg.AttemptEnded)
	failed := 0
	for _, e := range events {
		if e.Outcome == api.ConnectFailed {
			failed++
		}
	}
	assert.Positive(t, failed, "four dispatchers share one place")
}

func TestAPlannedRestartHandsOverAndServesOn(t *testing.T) {
	s := plain(
		engine.Trouble{Kind: "restart", At: 5 * sec, For: sec / 2, Drain: 2 * sec, Dispatchers: []int{0}},
	)
	w, events, sum := play(t, s, module, eventpkg.Accepted, eventpkg.Started)
	assert.Empty(t, w.Broken, texts(w.Breaches))
	assert.Zero(t, sum.Died+sum.Unended)
	taken := map[bool]int{}
	for _, e := range events {
		if e.Kind == eventpkg.Accepted && e.Dispatcher == 0 {
			at := e.At.Seconds()
			assert.False(t, at > 5.01 && at < 7.5, "taken on at %.2f, on its way out", at)
			taken[at > 7.5]++
		}
	}
	assert.Positive(t, taken[false])
	assert.Positive(t, taken[true])
}

func TestAFrontDealsUnevenlyAndAHotDestinationDrawsItsShare(t *testing.T) {
	s := plain(engine.Trouble{Kind: "hot", For: 30 * sec, Destinations: []int{7}, Size: 0.5})
	s.Dispatchers.FrontSkew, s.Events = 0.8, s.Events[:1]
	_, events, sum := play(t, s, module, eventpkg.Accepted, eventpkg.Offered)
	taken, hot := map[int32]int{}, 0
	for _, e := range events {
		if e.Kind == eventpkg.Accepted {
			taken[e.Dispatcher]++
		} else if e.Destination == 7 {
			hot++
		}
	}
	assert.Greater(t, taken[0], 5*taken[1], "the first gets nine times what the last gets")
	assert.Positive(t, taken[1])
	assert.InDelta(t, 0.5+0.5*0.08, float64(hot)/float64(sum.Offered), 0.05)
}
