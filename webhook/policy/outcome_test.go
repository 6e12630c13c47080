package policy

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/webhook/api"
)

func TestOneFailedEndpointLeavesTheOtherInUse(t *testing.T) {
	s := startScenario(testSettings(), plainKind)
	delivered := 0
	for id := range api.WebhookID(60) {
		s.submit(id, idempotentEvent, 0)
		s.advance(api.Second / 10)
		s.endAllAttempts(func(endpoint api.EndpointID) api.Outcome {
			if endpoint == 0 {
				return api.ConnectionReset
			}
			delivered++
			return api.Delivered
		})
	}
	assert.False(t, s.destinations[0].sharedRoute.unhealthy)
	assert.Greater(t, delivered, 50)
}

func TestConnectionLimitIsNotTakenForAnOutage(t *testing.T) {
	s := startScenario(testSettings(), plainKind)
	for id := range api.WebhookID(80) {
		s.submit(id, idempotentEvent, 0)
		s.advance(api.Second / 20)
		if id%2 == 1 { // of two calls to an endpoint the second gets no connection
			connected := map[api.EndpointID]bool{}
			s.endAllAttempts(func(endpoint api.EndpointID) api.Outcome {
				if connected[endpoint] {
					return api.ConnectFailed
				}
				connected[endpoint] = true
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

// Guards against a rejected connection taken for an outage where calls are so rare that nothing was delivered recently.
func TestRejectedConnectionIsNotTakenForAnOutageWhenCallsAreRare(t *testing.T) {
	s := startScenario(testSettings(), plainKind)
	route := s.destinations[0].sharedRoute
	for id := api.WebhookID(1); id < 40; id += 2 {
		s.submit(id, idempotentEvent, 0)
		s.EndTurn()
		route = s.destinations[0].sharedRoute
		s.endAttemptAndTurn(id, api.ConnectionLimited, 0)
		assert.Equal(t, never, route.slowStartSince)
		s.advance(4 * api.Second) // it is retried meanwhile
		s.endAttemptAndTurn(id, api.Delivered, 0)
		s.advance(4 * api.Second)
	}
	assert.False(t, route.unhealthy)
	for id := range api.WebhookID(4 * unhealthyAfterRejections) { // no other outcome for long: it may be out of service
		s.submit(100+id, idempotentEvent, 0)
		s.EndTurn()
		s.endAllAttempts(always(api.ConnectionLimited))
		s.advance(2 * api.Second)
	}
	assert.True(t, route.unhealthy)
}

func TestManyDispatchersCloseIdleConnectionsWhereConnectionsAreShort(t *testing.T) {
	for _, dispatchers := range []int{2, 200} {
		s := startRateLimitedScenario(dispatchers)
		s.submit(1, idempotentEvent, 0)
		s.EndTurn()
		s.endAttemptAndTurn(1, api.Delivered, 0)
		s.advance(api.Second)
		assert.Empty(t, s.fake.closedIdle, "idle connections are kept until one is rejected")
		s.submit(2, idempotentEvent, 1)
		s.EndTurn()
		s.endAttemptAndTurn(2, api.ConnectFailed, 0) // at another destination of the kind
		s.advance(api.Second)
		assert.Equal(t, dispatchers == 200, len(s.fake.closedIdle) > 0)
		// After a refusal, a connection is closed as soon as its call ends, not only by the next periodic work: until then
		// hundreds of dispatchers would keep many connections idle.
		s.fake.closedIdle = nil
		s.submit(3, idempotentEvent, 0)
		s.EndTurn()
		assert.Empty(t, s.fake.closedIdle)
		s.endAttemptAndTurn(3, api.Delivered, 0)
		assert.Equal(t, dispatchers == 200, len(s.fake.closedIdle) > 0)
	}
}

func TestSecondFailureIsTakenForAnOutageWhenCallsAreRare(t *testing.T) {
	for _, rare := range []bool{true, false} {
		s := startRateLimitedScenario(200)
		s.submit(1, idempotentEvent, 0)
		s.EndTurn()
		s.endAttemptAndTurn(1, api.Delivered, 0)
		if rare {
			s.advance(5 * api.Second)
		}
		s.now = s.fake.now
		s.recordOutcome(s.endpoints[0], api.AttemptResult{Outcome: api.ErrorResponse, Latency: api.Second / 10})
		assert.EqualValues(t, never, s.destinations[0].sharedRoute.slowStartSince, "one failure may be accidental")

		unresponsive := startRateLimitedScenario(200)
		unresponsive.submit(1, idempotentEvent, 0)
		unresponsive.advance(5 * api.Second)
		unresponsive.now = unresponsive.fake.now
		unresponsive.recordOutcome(unresponsive.endpoints[0], api.AttemptResult{Outcome: api.ConnectFailed, Latency: api.Second})
		assert.NotEqualValues(t, never, unresponsive.destinations[0].sharedRoute.slowStartSince,
			"an endpoint that never answered is out of service")

		s.recordOutcome(s.endpoints[0], api.AttemptResult{Outcome: api.ErrorResponse, Latency: api.Second / 10})
		assert.Equal(t, rare, s.destinations[0].sharedRoute.slowStartSince != never)
	}
}

// Guards against an accidental connection failure taken for a connection limit or for a failing destination.
func TestConnectionFailuresAmongDeliveriesChangeLittle(t *testing.T) {
	s := startScenario(testSettings(), plainKind)
	id := api.WebhookID(0)
	call := func(outcome api.Outcome) {
		id++
		s.submit(id, idempotentEvent, 0)
		s.EndTurn()
		s.advance(api.Second / 10)
		s.endAttemptAndTurn(id, outcome, 0)
	}
	for range 9 {
		call(api.Delivered)
	}
	call(api.ConnectFailed)
	endpoint := s.webhooks[id].destination.endpoints[0]
	assert.Less(t, endpoint.connectionLimit, 2.0)
	for range 16 {
		call(api.Delivered)
	}
	assert.GreaterOrEqual(t, endpoint.connectionLimit, 3.0)
	for range 9 {
		for range 3 {
			call(api.ConnectionReset)
			s.advance(api.Second / 5)
		}
		call(api.Delivered)
	}
	assert.EqualValues(t, never, endpoint.route.slowStartSince)
	assert.Empty(t, s.fake.logs, "none was taken for an outage")
}

// Guards against connection limits taken for outages where the host can't tell them apart.
func TestFastConnectFailureIsAConnectionLimitAndASlowOneAnOutage(t *testing.T) {
	for _, c := range []struct {
		latency        api.Micros
		limitsReported bool
		wantLimit      bool
	}{
		{latency: api.Second / 20, limitsReported: false, wantLimit: true},
		{latency: api.Second, limitsReported: false, wantLimit: false},
		{latency: api.Second / 20, limitsReported: true, wantLimit: false},
	} {
		settings := settingsWithoutRates(200)
		settings.ConnectionLimitsReported = c.limitsReported
		s := startScenario(settings, plainKind)
		s.now = s.fake.now
		s.ensureRoute(s.destinations[0])
		endpoint := s.destinations[0].endpoints[0]
		for range 3 {
			s.recordOutcome(endpoint, api.AttemptResult{Outcome: api.ConnectFailed, Latency: c.latency})
		}
		assert.Equal(t, c.wantLimit, endpoint.consecutiveFailures == 0)
		assert.Equal(t, !c.wantLimit, s.destinations[0].sharedRoute.slowStartSince != never)
	}
}
