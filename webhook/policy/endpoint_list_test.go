package policy

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/webhook/api"
)

func TestNothingNewGoesToADrainingEndpoint(t *testing.T) {
	s := begin(plainFacts(), 0)
	s.UpdateEndpoints([]api.EndpointEntry{{Endpoint: 0, Destination: 0, Status: api.EndpointDraining}}, false)
	for id := range api.WebhookID(4) {
		s.take(id, 0, 0)
		s.EndTurn()
		s.h.now += sec / 10
		s.came(id, api.Delivered, 0)
		assert.Equal(t, api.EndpointID(1), s.h.sent[id].ep)
	}
}

func TestEndpointOffTheListIsForgottenLaterAndOneThatCameBackIsNot(t *testing.T) {
	s := begin(plainFacts(), 0)
	gone := func(ep api.EndpointID, standing api.EndpointStatus) {
		s.UpdateEndpoints([]api.EndpointEntry{{Endpoint: ep, Rate: 1000, Status: standing}}, false)
	}
	gone(0, api.EndpointDraining)
	gone(0, api.EndpointRemoved)
	gone(1, api.EndpointDraining)
	s.run(50 * sec)
	gone(1, api.EndpointActive)
	s.run(60 * sec)
	assert.Nil(t, s.endpoints[0])
	assert.NotNil(t, s.endpoints[1])
	assert.Empty(t, s.delistedEndpoints)
	s.take(1, 0, 0)
	s.EndTurn()
	assert.Equal(t, api.EndpointID(1), s.h.sent[0].ep)
}

func TestADestinationAtRestHasNoRouteAndWakesWithWhatTheListSaid(t *testing.T) {
	s := begin(plainFacts(), 0, 2) // the second one's endpoints are routes apart
	s.run(10 * sec)
	d := s.destinations[0]
	assert.Nil(t, d.sharedRoute)
	s.UpdateEndpoints([]api.EndpointEntry{{Endpoint: 1, Status: api.EndpointRemoved}, {Endpoint: 2, Rate: 40}}, false)
	s.take(1, 0, 0)
	s.EndTurn()
	assert.Equal(t, 40.0, d.sharedRoute.listedRate)
	assert.Equal(t, 40.0, d.sharedRoute.rate)
	assert.Equal(t, 40*burstSeconds-1, d.sharedRoute.tokens, "the bucket filled while it rested; one call is out of it")
	s.UpdateEndpoints([]api.EndpointEntry{{Endpoint: 1, Rate: 40}}, false)
	for _, e := range d.endpoints {
		assert.Same(t, d.sharedRoute, e.route, "endpoint %d", e.id)
	}
	apart := s.destinations[1].endpoints
	assert.NotSame(t, apart[0].route, apart[1].route)
}

func untold(fleet int) api.Settings {
	f := plainFacts()
	f.Dispatchers, f.RatesListed = fleet, false
	return f
}

// Guards against the slots taken for a rate by each of hundreds where no list states one.
func TestReportsStandInForARateThatNoListStates(t *testing.T) {
	s := begin(untold(200), 0, 0, 0, 0)
	s.take(1, 0, 0)
	s.EndTurn()
	r := s.destinations[0].sharedRoute
	assert.LessOrEqual(t, r.listedRate, 2.0, "the slots serve all destinations")
	s.ReportLoad(api.LoadReport{Endpoint: 0, Headroom: 0.5, Limit: 40})
	s.came(1, api.Delivered, 0)
	assert.InDelta(t, 0.2, r.listedRate, 1e-9)
	s.ReportLoad(api.LoadReport{Endpoint: 0, Headroom: 0.5, Limit: 0})
	s.ReportLoad(api.LoadReport{Endpoint: 99, Headroom: 0.5, Limit: 40})
	assert.InDelta(t, 0.2, r.listedRate, 1e-9, "no limit, or no such endpoint, says nothing")
	s.UpdateEndpoints([]api.EndpointEntry{{Endpoint: 0, Rate: 4}}, false)
	assert.InDelta(t, 0.2, r.listedRate, 1e-9, "what the destination tells goes before a list")
	s.ReportLoad(api.LoadReport{Endpoint: 0, Headroom: 0.5, Limit: 40})
	before := fallbackRate(s.destinations[0], r)
	assert.Greater(t, before, 5.0, "a clump goes by the room told, not by the part")
	s.now = s.h.now
	s.recordOutcome(s.endpoints[0], api.AttemptResult{Outcome: api.Rejected, Latency: sec / 10})
	assert.Less(t, fallbackRate(s.destinations[0], r), before/8)
}

// Guards against all that waits anywhere for a destination without endpoints, sent as soon as one is listed.
func TestEndpointsListedWhereNoneWasAreCold(t *testing.T) {
	s := begin(untold(200), 0)
	gone := []api.EndpointEntry{{Endpoint: 0, Status: api.EndpointRemoved}, {Endpoint: 1, Status: api.EndpointRemoved}}
	s.UpdateEndpoints(gone, false)
	s.take(1, 0, 0)
	s.EndTurn()
	s.UpdateEndpoints([]api.EndpointEntry{{Endpoint: 7}}, false)
	s.EndTurn()
	assert.NotEqualValues(t, never, s.destinations[0].sharedRoute.slowStartSince)
}
