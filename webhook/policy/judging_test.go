package policy

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/webhook/api"
)

func TestOneDeadEndpointLeavesTheOtherInUse(t *testing.T) {
	s := begin(plainFacts(), 0)
	delivered := 0
	for id := range api.WebhookID(60) {
		s.take(id, 0, 0)
		s.run(sec / 10)
		s.all(func(ep api.EndpointID) api.Outcome {
			if ep == 0 {
				return api.ConnectionReset
			}
			delivered++
			return api.Delivered
		})
	}
	assert.False(t, s.dests[0].shared.sick)
	assert.Greater(t, delivered, 50)
}

func TestConnectionCapIsNoOutage(t *testing.T) {
	s := begin(plainFacts(), 0)
	for id := range api.WebhookID(80) {
		s.take(id, 0, 0)
		s.run(sec / 20)
		if id%2 == 1 { // of two calls at an endpoint the second finds no connection
			seen := map[api.EndpointID]bool{}
			s.all(func(ep api.EndpointID) api.Outcome {
				if seen[ep] {
					return api.ConnectFailed
				}
				seen[ep] = true
				return api.Delivered
			})
		}
	}
	for _, e := range s.dests[0].endpoints {
		assert.Zero(t, e.fails)
		assert.Less(t, e.limit, 3.0)
	}
	assert.Equal(t, never, s.dests[0].shared.coldSince)
}

// With a call every few seconds nothing was delivered of late: a connection too many passed for an outage.
func TestAConnectionTurnedAwayIsNoOutageWhereCallsAreRare(t *testing.T) {
	s := begin(plainFacts(), 0)
	r := s.dests[0].shared
	for id := api.WebhookID(1); id < 40; id += 2 {
		s.take(id, 0, 0)
		s.EndTurn()
		r = s.dests[0].shared
		s.came(id, api.ConnectionLimited, 0)
		assert.Equal(t, never, r.coldSince)
		s.run(4 * sec) // it is tried again meanwhile
		s.came(id, api.Delivered, 0)
		s.run(4 * sec)
	}
	assert.False(t, r.sick)
	for id := range api.WebhookID(4 * fullRow) { // nothing else for long: it may be shut
		s.take(100+id, 0, 0)
		s.EndTurn()
		s.all(always(api.ConnectionLimited))
		s.run(2 * sec)
	}
	assert.True(t, r.sick)
}

func TestManyDispatchersHangUpAtACrowdedKind(t *testing.T) {
	for _, fleet := range []int{2, 200} {
		s := crowd(fleet)
		s.take(1, 0, 0)
		s.EndTurn()
		s.came(1, api.Delivered, 0)
		s.run(sec)
		assert.Empty(t, s.h.closed, "idle connections serve until one is missed")
		s.take(2, 0, 1)
		s.EndTurn()
		s.came(2, api.ConnectFailed, 0) // at another destination of the kind
		s.run(sec)
		assert.Equal(t, fleet == 200, len(s.h.closed) > 0)
		// From now on none rests, not even until the next look: of hundreds that would always be many.
		s.h.closed = nil
		s.take(3, 0, 0)
		s.EndTurn()
		assert.Empty(t, s.h.closed)
		s.came(3, api.Delivered, 0)
		assert.Equal(t, fleet == 200, len(s.h.closed) > 0)
	}
}

func TestASecondFailureOfFewCallsIsTakenForAnOutage(t *testing.T) {
	for _, seldom := range []bool{true, false} {
		s := crowd(200)
		s.take(1, 0, 0)
		s.EndTurn()
		s.came(1, api.Delivered, 0)
		if seldom {
			s.run(5 * sec)
		}
		s.now = s.h.now
		s.judge(s.endpoints[0], api.ErrorResponse, sec/10, 0)
		assert.EqualValues(t, never, s.dests[0].shared.coldSince, "one may be a stray")
		silent := crowd(200)
		silent.take(1, 0, 0)
		silent.run(5 * sec)
		silent.now = silent.h.now
		silent.judge(silent.endpoints[0], api.ConnectFailed, sec, 0)
		assert.NotEqualValues(t, never, silent.dests[0].shared.coldSince, "who says nothing at all is out")
		s.judge(s.endpoints[0], api.ErrorResponse, sec/10, 0)
		assert.Equal(t, seldom, s.dests[0].shared.coldSince != never)
	}
}

// Guards against a stray broken connection taken for a cap on connections, or for a failing destination.
func TestConnectionsThatBreakBesideDeliveriesChangeLittle(t *testing.T) {
	s := begin(plainFacts(), 0)
	id := api.WebhookID(0)
	call := func(what api.Outcome) {
		id++
		s.take(id, 0, 0)
		s.EndTurn()
		s.run(sec / 10)
		s.came(id, what, 0)
	}
	for range 9 {
		call(api.Delivered)
	}
	call(api.ConnectFailed)
	e := s.held[id].dest.endpoints[0]
	assert.Less(t, e.limit, 2.0)
	for range 16 {
		call(api.Delivered)
	}
	assert.GreaterOrEqual(t, e.limit, 3.0)
	for range 9 {
		for range 3 {
			call(api.ConnectionReset)
			s.run(sec / 5)
		}
		call(api.Delivered)
	}
	assert.EqualValues(t, never, e.route.coldSince)
	assert.Empty(t, s.h.logs, "none was taken for an outage")
}

// Guards against caps on connections taken for outages where the port can't tell them apart.
func TestAQuickFailedConnectIsACapAndASilentOneAnOutage(t *testing.T) {
	for _, c := range []struct {
		took   api.Micros
		told   bool
		crowds bool
	}{{sec / 20, false, true}, {sec, false, false}, {sec / 20, true, false}} {
		f := untold(200)
		f.ConnectionLimitsReported = c.told
		s := begin(f, 0)
		s.now = s.h.now
		s.awake(s.dests[0])
		e := s.dests[0].endpoints[0]
		for range 3 {
			s.judge(e, api.ConnectFailed, c.took, 0)
		}
		assert.Equal(t, c.crowds, e.fails == 0)
		assert.Equal(t, !c.crowds, s.dests[0].shared.coldSince != never)
	}
}
