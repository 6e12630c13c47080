package policy

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/webhook/api"
)

func TestRetryAfterDelaysAllWebhooksOfTheDestination(t *testing.T) {
	s := startScenario(testSettings(), batchingKind)
	for id := range api.WebhookID(3) {
		s.submit(id, idempotentEvent, 0)
	}
	s.EndTurn() // the webhooks share a call
	s.endAttempt(0, api.Rejected, api.Second/2)
	s.endAttempt(1, api.Rejected, 3*api.Second/2) // each may have its own delay: the longest counts
	s.endAttemptAndTurn(2, api.Rejected, 0)
	s.submit(9, idempotentEvent, 0)
	s.advance(3*api.Second/2 - 2*turnInterval)
	assert.Len(t, s.fake.attempts, 3)
	s.advance(api.Second)
	assert.Greater(t, len(s.fake.attempts), 3)
}

func TestRecoveringDestinationIsNotOverloaded(t *testing.T) {
	settings := testSettings()
	s := startScenario(settings, plainKind)
	route := s.ensureRoute(s.destinations[0]).sharedRoute
	route.listedRate, route.rate = 10, 10
	for id := range api.WebhookID(90) {
		s.submit(id, idempotentEvent, 0)
	}
	s.EndTurn()
	recoversAt := s.fake.now + 4*api.Second
	delivered := 0
	for s.fake.now < recoversAt+2*api.Second {
		s.advance(turnInterval)
		if s.fake.now < recoversAt {
			s.endAllAttempts(always(api.ConnectFailed))
		} else {
			delivered += s.endAllAttempts(always(api.Delivered))
		}
	}
	assert.Positive(t, delivered)
	assert.LessOrEqual(t, float64(delivered), settings.OverloadFactor*(settings.SlowStartCapacity+0.1)*10*2)
}

func TestRateGrowsBeyondALowListedRateWhileAQueueWaits(t *testing.T) {
	rateWith := func(queued api.WebhookID) float64 {
		s := startScenario(testSettings(), plainKind)
		route := s.ensureRoute(s.destinations[0]).sharedRoute
		route.listedRate, route.rate = 2, 2
		for id := range queued {
			s.submit(id, idempotentEvent, 0)
		}
		for range 50 {
			s.advance(api.Second / 10)
			s.endAllAttempts(always(api.Delivered))
		}
		return route.rate
	}
	assert.Less(t, rateWith(3), 2.2)
	assert.Greater(t, rateWith(60), 3.0)
}

func TestTinyShareOfARateDoesNotDelayTheSecondWebhook(t *testing.T) {
	s := startRateLimitedScenario(200)
	for id := range api.WebhookID(2) {
		s.submit(id, idempotentEvent, 0)
	}
	for range 50 {
		s.advance(api.Second / 10)
		s.endAllAttempts(always(api.Delivered))
	}
	assert.Len(t, s.fake.attempts, 2)
	before := s.kinds[0].fallbackRate
	for id := api.WebhookID(10); id < 13; id++ {
		s.submit(id, idempotentEvent, 1)
		s.advance(api.Second / 10)
		s.endAllAttempts(always(api.Rejected))
	}
	assert.Less(t, s.kinds[0].fallbackRate, before, "rejections of calls that it admitted lower the fallback rate")
	rejecting := s.destinations[1]
	assert.Less(t, fallbackRate(rejecting, rejecting.sharedRoute), s.kinds[0].fallbackRate,
		"the rate falls furthest at the destination that rejected")
}

func TestCanariesOfManyDispatchersAreSpreadBeyondRetryAfter(t *testing.T) {
	for _, dispatchers := range []int{1, 200} {
		s := startRateLimitedScenario(dispatchers)
		s.submit(1, idempotentEvent, 0)
		s.EndTurn()
		s.endAttemptAndTurn(1, api.Rejected, 4*api.Second) // longer than OverloadDuration: taken for an outage
		route := s.ensureRoute(s.destinations[0]).sharedRoute
		assert.True(t, route.unhealthy)
		assert.Greater(t, route.nextCanaryAt, route.retryAfterUntil, "else all dispatchers would call at once")
		assert.Equal(t, dispatchers == 200, s.canaryInterval(route) > 5*api.Second)
		s.advance(4 * api.Second)
		assert.Len(t, s.fake.attempts, 1)
	}
}
