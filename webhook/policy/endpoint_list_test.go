package policy

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/webhook/api"
)

func TestDrainingEndpointGetsNoNewAttempts(t *testing.T) {
	s := startScenario(testSettings(), plainKind)
	s.UpdateEndpoints([]api.EndpointEntry{{Endpoint: 0, Destination: 0, Status: api.EndpointDraining}}, false)
	for id := range api.WebhookID(4) {
		s.submit(id, idempotentEvent, 0)
		s.EndTurn()
		s.fake.now += api.Second / 10
		s.endAttemptAndTurn(id, api.Delivered, 0)
		assert.Equal(t, api.EndpointID(1), s.fake.attempts[id].endpoint)
	}
}

func TestRemovedEndpointIsForgottenLaterUnlessItReturns(t *testing.T) {
	s := startScenario(testSettings(), plainKind)
	setStatus := func(endpoint api.EndpointID, status api.EndpointStatus) {
		s.UpdateEndpoints([]api.EndpointEntry{{Endpoint: endpoint, Rate: 1000, Status: status}}, false)
	}
	setStatus(0, api.EndpointDraining)
	setStatus(0, api.EndpointRemoved)
	setStatus(1, api.EndpointDraining)
	s.advance(50 * api.Second)
	setStatus(1, api.EndpointActive)
	s.advance(60 * api.Second)
	assert.Nil(t, s.endpoints[0])
	assert.NotNil(t, s.endpoints[1])
	assert.Empty(t, s.delistedEndpoints)
	s.submit(1, idempotentEvent, 0)
	s.EndTurn()
	assert.Equal(t, api.EndpointID(1), s.fake.attempts[0].endpoint)
}

func TestIdleDestinationHasNoRouteAndGetsTheListedRateWithItsFirstWebhook(t *testing.T) {
	s := startScenario(testSettings(), plainKind, separateRoutesKind)
	s.advance(10 * api.Second)
	idle := s.destinations[0]
	assert.Nil(t, idle.sharedRoute)
	s.UpdateEndpoints([]api.EndpointEntry{
		{Endpoint: 1, Status: api.EndpointRemoved},
		{Endpoint: 2, Rate: 40},
	}, false)
	s.submit(1, idempotentEvent, 0)
	s.EndTurn()
	assert.Equal(t, 40.0, idle.sharedRoute.listedRate)
	assert.Equal(t, 40.0, idle.sharedRoute.rate)
	assert.Equal(t, 40*burstSeconds-1, idle.sharedRoute.tokens, "the bucket was full, less one call")
	s.UpdateEndpoints([]api.EndpointEntry{{Endpoint: 1, Rate: 40}}, false)
	for _, e := range idle.endpoints {
		assert.Same(t, idle.sharedRoute, e.route, "endpoint %d", e.id)
	}
	separate := s.destinations[1].endpoints
	assert.NotSame(t, separate[0].route, separate[1].route)
}

// Guards against hundreds of dispatchers that each derive a rate from their slots where no list states one.
func TestLoadReportsReplaceARateThatNoListStates(t *testing.T) {
	s := startScenario(settingsWithoutRates(200), plainKind, plainKind, plainKind, plainKind)
	s.submit(1, idempotentEvent, 0)
	s.EndTurn()
	route := s.destinations[0].sharedRoute
	assert.LessOrEqual(t, route.listedRate, 2.0, "all destinations share the slots")
	s.ReportLoad(api.LoadReport{Endpoint: 0, Headroom: 0.5, Limit: 40})
	s.endAttemptAndTurn(1, api.Delivered, 0)
	assert.InDelta(t, 0.2, route.listedRate, 1e-9)
	s.ReportLoad(api.LoadReport{Endpoint: 0, Headroom: 0.5, Limit: 0})
	s.ReportLoad(api.LoadReport{Endpoint: 99, Headroom: 0.5, Limit: 40})
	assert.InDelta(t, 0.2, route.listedRate, 1e-9, "a report without a limit or of an unknown endpoint has no effect")
	s.UpdateEndpoints([]api.EndpointEntry{{Endpoint: 0, Rate: 4}}, false)
	assert.InDelta(t, 0.2, route.listedRate, 1e-9, "a report takes precedence over a list")
	s.ReportLoad(api.LoadReport{Endpoint: 0, Headroom: 0.5, Limit: 40})
	before := fallbackRate(s.destinations[0], route)
	assert.Greater(t, before, 5.0, "a burst is limited by the reported headroom, not by the share")
	s.now = s.fake.now
	s.recordOutcome(s.endpoints[0], api.AttemptResult{Outcome: api.Rejected, Latency: api.Second / 10})
	assert.Less(t, fallbackRate(s.destinations[0], route), before/8)
}

// Guards against a surge when the first endpoint of a destination is listed: all dispatchers may have webhooks queued for it.
func TestFirstEndpointOfADestinationHasASlowStart(t *testing.T) {
	s := startScenario(settingsWithoutRates(200), plainKind)
	removed := []api.EndpointEntry{
		{Endpoint: 0, Status: api.EndpointRemoved},
		{Endpoint: 1, Status: api.EndpointRemoved},
	}
	s.UpdateEndpoints(removed, false)
	s.submit(1, idempotentEvent, 0)
	s.EndTurn()
	s.UpdateEndpoints([]api.EndpointEntry{{Endpoint: 7}}, false)
	s.EndTurn()
	assert.NotEqualValues(t, never, s.destinations[0].sharedRoute.slowStartSince)
}
