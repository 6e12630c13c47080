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
	assert.False(t, s.destinations[0].sharedRoute.unhealthy)
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
	for _, e := range s.destinations[0].endpoints {
		assert.Zero(t, e.consecutiveFailures)
		assert.Less(t, e.connectionLimit, 3.0)
	}
	assert.Equal(t, never, s.destinations[0].sharedRoute.slowStartSince)
}

// With a call every few seconds nothing was delivered of late: a connection too many passed for an outage.
func TestAConnectionTurnedAwayIsNoOutageWhereCallsAreRare(t *testing.T) {
	s := begin(plainFacts(), 0)
	r := s.destinations[0].sharedRoute
	for id := api.WebhookID(1); id < 40; id += 2 {
		s.take(id, 0, 0)
		s.EndTurn()
		r = s.destinations[0].sharedRoute
		s.came(id, api.ConnectionLimited, 0)
		assert.Equal(t, never, r.slowStartSince)
		s.run(4 * sec) // it is tried again meanwhile
		s.came(id, api.Delivered, 0)
		s.run(4 * sec)
	}
	assert.False(t, r.unhealthy)
	for id := range api.WebhookID(4 * unhealthyAfterRejections) { // nothing else for long: it may be shut
		s.take(100+id, 0, 0)
		s.EndTurn()
		s.all(always(api.ConnectionLimited))
		s.run(2 * sec)
	}
	assert.True(t, r.unhealthy)
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
		s.recordOutcome(s.endpoints[0], api.AttemptResult{Outcome: api.ErrorResponse, Latency: sec / 10})
		assert.EqualValues(t, never, s.destinations[0].sharedRoute.slowStartSince, "one may be a stray")
		silent := crowd(200)
		silent.take(1, 0, 0)
		silent.run(5 * sec)
		silent.now = silent.h.now
		silent.recordOutcome(silent.endpoints[0], api.AttemptResult{Outcome: api.ConnectFailed, Latency: sec})
		assert.NotEqualValues(t, never, silent.destinations[0].sharedRoute.slowStartSince, "who says nothing at all is out")
		s.recordOutcome(s.endpoints[0], api.AttemptResult{Outcome: api.ErrorResponse, Latency: sec / 10})
		assert.Equal(t, seldom, s.destinations[0].sharedRoute.slowStartSince != never)
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
	e := s.webhooks[id].destination.endpoints[0]
	assert.Less(t, e.connectionLimit, 2.0)
	for range 16 {
		call(api.Delivered)
	}
	assert.GreaterOrEqual(t, e.connectionLimit, 3.0)
	for range 9 {
		for range 3 {
			call(api.ConnectionReset)
			s.run(sec / 5)
		}
		call(api.Delivered)
	}
	assert.EqualValues(t, never, e.route.slowStartSince)
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
		s.ensureRoute(s.destinations[0])
		e := s.destinations[0].endpoints[0]
		for range 3 {
			s.recordOutcome(e, api.AttemptResult{Outcome: api.ConnectFailed, Latency: c.took})
		}
		assert.Equal(t, c.crowds, e.consecutiveFailures == 0)
		assert.Equal(t, !c.crowds, s.destinations[0].sharedRoute.slowStartSince != never)
	}
}
