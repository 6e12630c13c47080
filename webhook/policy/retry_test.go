package policy

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/webhook/api"
)

func TestBackoffHasTwoBandsAndNeverOverflows(t *testing.T) {
	s := startScenario(testSettings(), plainKind)
	maxBackoff := s.eventTypes[idempotentEvent].maxBackoff // for a TTL of 20 s, m is 5 s; the early band ends at 2*log2(5) = 4.6
	for range 200 {
		for retry, limit := range []api.Micros{1, 2, 4, 5, 5} {
			assert.LessOrEqual(t, Backoff(maxBackoff, retry, s.random.Float64()), limit*api.Second)
		}
		for _, retry := range []int{5, 6, 100, 1 << 40} {
			assert.GreaterOrEqual(t, Backoff(maxBackoff, retry, s.random.Float64()), 4*api.Second)
			assert.LessOrEqual(t, Backoff(maxBackoff, retry, s.random.Float64()), 5*api.Second)
		}
	}
}

func TestRetryDependsOnSemanticsAndOutcome(t *testing.T) {
	for _, c := range []struct {
		eventType api.EventTypeID
		outcome   api.Outcome
		wantRetry bool
	}{
		{idempotentEvent, api.ErrorResponse, true},
		{idempotentEvent, api.TimedOut, true},
		{deduplicatedEvent, api.ConnectionReset, true},
		{atMostOnceEvent, api.Rejected, true},
		{atMostOnceEvent, api.ConnectFailed, true},
		{atMostOnceEvent, api.ConnectionLimited, true},
		{atMostOnceEvent, api.TimedOut, false},
		{atMostOnceEvent, api.ErrorResponse, false},
	} {
		s := startScenario(testSettings(), plainKind)
		s.submit(1, c.eventType, 0)
		s.EndTurn()
		s.endAttemptAndTurn(1, c.outcome, 0)
		s.advance(4 * api.Second)
		assert.Equal(t, c.wantRetry, s.attemptsOf(1) == 2, "event type %d after outcome %d", c.eventType, c.outcome)
		assert.Equal(t, !c.wantRetry, len(s.fake.deadLettered) == 1)
	}
}

func TestDeduplicatedWebhookIsNotSentOutsideItsWindow(t *testing.T) {
	s := startScenario(testSettings(), plainKind)
	s.submit(1, deduplicatedEvent, 0)
	s.EndTurn()
	firstSentAt := s.fake.now
	s.endAttemptAndTurn(1, api.ErrorResponse, 0)
	for s.fake.answers == 0 && s.fake.now < firstSentAt+webhookTTL {
		s.advance(turnInterval)
		if s.webhooks[1] != nil && s.webhooks[1].call != nil {
			s.endAttemptAndTurn(1, api.ErrorResponse, 0)
		}
	}
	last := s.fake.lastAttempt()
	assert.Less(t, last.at, firstSentAt+8*api.Second)
	assert.Less(t, last.latest, firstSentAt+8*api.Second, "a slow connect must not start the call after the window, either")
	assert.Equal(t, []api.WebhookID{1}, s.fake.deadLettered)
}

func TestEveryWebhookEndsOnceBeforeItsTTL(t *testing.T) {
	s := startScenario(testSettings()) // without destinations
	for id := range api.WebhookID(20) {
		s.submit(id, api.EventTypeID(id%4), api.DestinationID(id%3))
	}
	s.EndTurn()
	s.advance(webhookTTL - turnInterval)
	assert.Len(t, s.fake.rejected, 20)
	assert.Equal(t, 20, s.fake.answers)
	assert.Empty(t, s.webhooks)
}

func TestOrderedWebhooksOfAKeyAreSentOneAtATime(t *testing.T) {
	s := startScenario(testSettings(), plainKind)
	s.submit(1, orderedEvent, 0)
	s.submit(2, orderedEvent, 0)
	s.EndTurn()
	s.fake.now += api.Second
	s.endAttemptAndTurn(1, api.TimedOut, 0)
	s.Withdraw(1) // the first one is finished, but its attempt may still run
	s.advance(2*api.Second - 2*turnInterval)
	assert.Equal(t, 0, s.attemptsOf(2))
	s.advance(api.Second)
	assert.Equal(t, 1, s.attemptsOf(2))
}

func TestRecoveredWebhookContinuesFromItsPriorAttempts(t *testing.T) {
	for _, c := range []struct {
		name             string
		eventType        api.EventTypeID
		attempts         int
		mayHaveRun       bool
		mayHaveRunAgo    api.Micros
		wantSent         bool // at the latest after the backoff
		wantDeadLettered int
	}{
		{
			name:      "never attempted",
			eventType: atMostOnceEvent,
			wantSent:  true,
		},
		{
			name:      "proved not to have run",
			eventType: atMostOnceEvent,
			attempts:  1,
			wantSent:  true,
		},
		{
			name:             "at most once, may have run",
			eventType:        atMostOnceEvent,
			attempts:         1,
			mayHaveRun:       true,
			mayHaveRunAgo:    api.Second,
			wantDeadLettered: 1,
		},
		{
			name:          "inside its deduplication window",
			eventType:     deduplicatedEvent,
			attempts:      1,
			mayHaveRun:    true,
			mayHaveRunAgo: api.Second,
			wantSent:      true,
		},
		{
			name:             "outside its deduplication window",
			eventType:        deduplicatedEvent,
			attempts:         1,
			mayHaveRun:       true,
			mayHaveRunAgo:    9 * api.Second,
			wantDeadLettered: 1,
		},
		{
			name:             "prior attempts reach the limit",
			eventType:        idempotentEvent,
			attempts:         6,
			mayHaveRun:       true,
			mayHaveRunAgo:    9 * api.Second,
			wantDeadLettered: 1,
		},
		{
			name:          "prior attempts are below the limit",
			eventType:     idempotentEvent,
			attempts:      5,
			mayHaveRun:    true,
			mayHaveRunAgo: 9 * api.Second,
			wantSent:      true,
		},
	} {
		s := startScenario(testSettings(), plainKind)
		prior := api.PriorAttempts{Count: c.attempts, MayHaveRunAt: api.Never}
		if c.mayHaveRun {
			prior.MayHaveRunAt = s.fake.now - c.mayHaveRunAgo
		}
		s.Recover(api.Webhook{ID: 1, EventType: c.eventType, Deadline: s.fake.now + 18*api.Second}, prior)
		s.EndTurn()
		assert.Equal(t, c.attempts == 0, s.attemptsOf(1) == 1, "%s: a prior attempt is followed by a backoff", c.name)
		s.advance(6 * api.Second)
		assert.Equal(t, c.wantSent, s.attemptsOf(1) == 1, c.name)
		assert.Len(t, s.fake.deadLettered, c.wantDeadLettered, c.name)
	}
}

// Guards against a burst after a stall of the process: all retries that came due meanwhile would be sent at once.
func TestRetriesThatCameDueDuringAStallAreSpread(t *testing.T) {
	settings := settingsWithoutRates(1)
	settings.MaxInFlight = 80
	kinds := make([]api.DestinationKindID, 40)
	s := startScenario(settings, kinds...)
	for i := range kinds {
		s.submit(api.WebhookID(i), idempotentEvent, api.DestinationID(i))
	}
	s.EndTurn()
	s.endAllAttempts(always(api.ErrorResponse))
	before := len(s.fake.attempts)
	s.fake.now += 2 * api.Second // all have come due
	for i := range kinds {
		s.submit(api.WebhookID(100+i), idempotentEvent, api.DestinationID(i))
	}
	s.TimerFired(timerPeriodic)
	s.EndTurn()
	assert.Less(t, len(s.fake.attempts)-before, 20, "new webhooks for destinations that failed are spread, too")
	s.advance(2 * api.Second)
	assert.GreaterOrEqual(t, len(s.fake.attempts)-before, 35)
}
