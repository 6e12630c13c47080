package policy

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/webhook/api"
)

func TestWebhookSentAndReturnedWithinOneTurnIsNotSentTwice(t *testing.T) {
	s := startScenario(testSettings(), plainKind)
	s.submit(1, idempotentEvent, 0)
	s.EndTurn()
	s.endAttempt(1, api.ConnectFailed, 0)
	s.advance(3 * api.Second)
	assert.Equal(t, 2, s.attemptsOf(1))
}

func TestSameInputsGiveSameActions(t *testing.T) {
	run := func() []startedAttempt {
		s := startScenario(testSettings(), plainKind, batchingKind, separateRoutesKind)
		for id := range api.WebhookID(60) {
			s.submit(id, api.EventTypeID(id%4), api.DestinationID(id%3))
			s.advance(4 * turnInterval)
			if id%2 == 0 {
				s.endAttemptAndTurn(id/2, api.Outcome(id%5), 0)
			}
		}
		return s.fake.attempts
	}
	assert.Equal(t, run(), run())
}

func TestMinimalSettingsLoseNoWebhook(t *testing.T) {
	for _, slots := range []int{0, 1, 2} {
		s := startScenario(api.Settings{MaxInFlight: slots}, plainKind, plainKind)
		unknown := api.EndpointEntry{Endpoint: 50, Destination: 7, Kind: 9, Status: api.EndpointRemoved}
		s.UpdateEndpoints([]api.EndpointEntry{unknown}, false)
		for id := range api.WebhookID(10) {
			s.Submit(api.Webhook{
				ID:          id,
				EventType:   api.EventTypeID(id),
				Tenant:      3,
				Deadline:    s.fake.now + 5*api.Second,
				Destination: api.DestinationID(id),
			})
		}
		s.advance(6 * api.Second)
		for id := range api.WebhookID(10) {
			if s.webhooks[id] != nil {
				s.endAttemptAndTurn(id, api.Rejected, 0)
			}
		}
		assert.Equal(t, 10, s.fake.answers)
	}
}

// Guards against unbounded memory: endpoints are replaced continually, and new ordering keys keep arriving.
func TestRemovedEndpointsAndIdleOrderingKeysAreForgotten(t *testing.T) {
	s := startScenario(testSettings(), plainKind)
	for i := range api.WebhookID(20) {
		s.Submit(api.Webhook{
			ID:          i,
			EventType:   orderedEvent,
			OrderingKey: api.OrderingKey(i + 1),
			Deadline:    s.fake.now + webhookTTL,
		})
		s.advance(api.Second / 2)
		s.endAttemptAndTurn(i, api.Delivered, 0)
		added := api.EndpointID(100 + i)
		s.UpdateEndpoints([]api.EndpointEntry{
			{Endpoint: added, Rate: 1000},
			{Endpoint: added - 1, Status: api.EndpointRemoved},
		}, false)
	}
	assert.Greater(t, len(s.endpoints), 20, "endpoints that may return are remembered")
	s.advance(101 * api.Second)
	assert.Len(t, s.endpoints, 3)
	assert.Empty(t, s.sequences)
	s.submit(99, idempotentEvent, 0)
	s.EndTurn()
	assert.Equal(t, 1, s.attemptsOf(99))
}

func TestOnlyDestinationsAndEndpointsInUseAreVisited(t *testing.T) {
	s := startScenario(testSettings(), plainKind, plainKind, plainKind)
	s.submit(1, idempotentEvent, 2)
	s.submit(2, idempotentEvent, 2) // waits, since the window is one call
	s.EndTurn()
	assert.Equal(t, []*destination{s.destinations[2]}, s.backlogged)
	s.endAttemptAndTurn(1, api.Delivered, 0)
	s.advance(api.Second)
	s.endAttemptAndTurn(2, api.Delivered, 0)
	assert.Empty(t, s.backlogged)
	assert.Len(t, s.connectedEndpoints, 1)
}

// Guards against a reload that loses, duplicates or changes the terms of webhooks accepted before it.
func TestNewSettingsKeepTheTermsOfPendingWebhooksAndDropNone(t *testing.T) {
	settings, reduced := testSettings(), testSettings()
	s := startScenario(settings, plainKind, plainKind, plainKind, plainKind)
	for id := range api.WebhookID(60) {
		s.submit(id, atMostOnceEvent, api.DestinationID(id%4))
	}
	s.EndTurn()
	inFlight := s.inFlight
	reduced.MaxInFlight = 2
	reduced.BufferSize = 5
	reduced.Dispatchers = 2
	reduced.EventTypes = append(reduced.EventTypes[:atMostOnceEvent], reduced.EventTypes[idempotentEvent])
	s.UpdateSettings(reduced)
	assert.InDelta(t, 500, s.destinations[0].sharedRoute.listedRate, 1, "the share of one of two dispatchers")
	s.endAllAttempts(always(api.TimedOut))
	assert.Len(t, s.fake.deadLettered, inFlight, "webhooks accepted as at-most-once keep these semantics")
	assert.Empty(t, s.fake.rejected, "webhooks beyond the new buffer size aren't shed")
	assert.LessOrEqual(t, s.inFlight, 2)
	s.UpdateSettings(settings)
	s.submit(100, atMostOnceEvent, 0)
	assert.Equal(t, api.AtMostOnce, s.webhooks[100].eventType.Semantics, "the old settings are in force again")
}
