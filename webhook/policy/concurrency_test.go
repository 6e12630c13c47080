package policy

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/webhook/api"
)

func TestWindowGrowsAdditivelyAndIsHalvedOnRejection(t *testing.T) {
	s := startScenario(testSettings(), plainKind)
	for id := range api.WebhookID(8) {
		s.submit(id, idempotentEvent, 0)
	}
	s.EndTurn()
	assert.Len(t, s.fake.attempts, 1, "the window starts at one")
	s.fake.now += api.Second / 10
	s.endAttemptAndTurn(0, api.Delivered, 0)
	assert.Len(t, s.fake.attempts, 3)
	s.endAttempt(1, api.Delivered, 0)
	s.endAttemptAndTurn(2, api.Delivered, 0)
	assert.Equal(t, 4.0, s.destinations[0].sharedRoute.window)
	s.endAttemptAndTurn(3, api.Rejected, 0)
	assert.Equal(t, 2.0, s.destinations[0].sharedRoute.window)
}

func TestUnresponsiveDestinationLeavesSlotsToOthers(t *testing.T) {
	s := startScenario(testSettings(), plainKind, plainKind)
	for id := range api.WebhookID(40) {
		s.submit(id, idempotentEvent, 0)
		s.EndTurn()
		if id < 10 { // healthy at first
			s.fake.now += api.Second / 10
			s.endAttemptAndTurn(id, api.Delivered, 0)
		}
	}
	s.advance(10 * api.Second)
	assert.LessOrEqual(t, s.inFlight, 6)
	s.submit(99, idempotentEvent, 1)
	s.EndTurn()
	assert.Equal(t, 1, s.attemptsOf(99))
}

func TestLostAnswersShortenTheTimeout(t *testing.T) {
	s := startScenario(testSettings(), plainKind)
	for id := range api.WebhookID(20) {
		s.submit(id, idempotentEvent, 0)
		s.advance(api.Second / 10)
		outcome := api.Delivered
		if id > 10 && id%2 == 0 {
			outcome = api.TimedOut
		}
		s.endAttemptAndTurn(id, outcome, 0)
	}
	assert.Equal(t, 14*api.Second, s.fake.attempts[0].timeout)
	assert.Less(t, s.fake.lastAttempt().timeout, api.Second)
}

func TestUnresponsiveCallsOnAllSlotsAreCancelled(t *testing.T) {
	settings := testSettings()
	settings.CanCancel = true
	settings.MaxInFlight = 4
	s := startScenario(settings, plainKind, plainKind, plainKind, plainKind, plainKind)
	id := api.WebhookID(0)
	for ; id < 20; id++ { // all are healthy at first, and their windows grow
		s.submit(id, idempotentEvent, api.DestinationID(id%5))
		s.advance(api.Second / 10)
		s.endAllAttempts(always(api.Delivered))
	}
	for ; id < 24; id++ {
		eventType := deduplicatedEvent
		if id == 23 {
			eventType = atMostOnceEvent
		}
		s.submit(id, eventType, api.DestinationID(id%4))
	}
	s.advance(2*api.Second - 2*turnInterval)
	assert.Equal(t, 4, s.inFlight)
	assert.Empty(t, s.fake.cancelled, "not before the latency target has passed")
	s.advance(api.Second)
	assert.Equal(t, []api.WebhookID{20, 21, 22}, s.fake.cancelled)
}

func TestUnresponsiveDestinationDoesNotShortenTheTimeoutOfOthers(t *testing.T) {
	s := startScenario(testSettings(), plainKind, plainKind)
	for id := range api.WebhookID(60) {
		s.submit(id, idempotentEvent, api.DestinationID(id%2))
		s.advance(api.Second / 10)
		s.endAllAttempts(func(endpoint api.EndpointID) api.Outcome {
			if endpoint < 10 && id > 20 {
				return api.TimedOut
			}
			return api.Delivered
		})
	}
	last := s.fake.lastAttempt()
	assert.GreaterOrEqual(t, last.endpoint, api.EndpointID(10), "the last is for the healthy destination")
	assert.Greater(t, last.timeout, 10*api.Second)
}
