package policy

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/webhook/api"
)

func TestScheduleHasTwoBandsAndNeverOverflows(t *testing.T) {
	s := begin(plainFacts(), 0)
	row := &s.eventTypes[0] // TTL 20 s: m is 5 s, early up to 2*log2(5) = 4.6
	for range 200 {
		for i, most := range []api.Micros{1, 2, 4, 5, 5} {
			assert.LessOrEqual(t, Backoff(row.maxBackoff, i, s.random.Float64()), most*sec)
		}
		for _, i := range []int{5, 6, 100, 1 << 40} {
			assert.GreaterOrEqual(t, Backoff(row.maxBackoff, i, s.random.Float64()), 4*sec)
			assert.LessOrEqual(t, Backoff(row.maxBackoff, i, s.random.Float64()), 5*sec)
		}
	}
}

func TestWhoMayTryAgainAfterWhat(t *testing.T) {
	for _, c := range []struct {
		evt   api.EventTypeID
		what  api.Outcome
		again bool
	}{
		{0, api.ErrorResponse, true}, {0, api.TimedOut, true}, {1, api.ConnectionReset, true},
		{2, api.Rejected, true}, {2, api.ConnectFailed, true}, {2, api.ConnectionLimited, true},
		{2, api.TimedOut, false}, {2, api.ErrorResponse, false},
	} {
		s := begin(plainFacts(), 0)
		s.take(1, c.evt, 0)
		s.EndTurn()
		s.came(1, c.what, 0)
		s.run(4 * sec)
		assert.Equal(t, c.again, s.sentOf(1) == 2, "event type %d after %d", c.evt, c.what)
		assert.Equal(t, !c.again, len(s.h.dead) == 1)
	}
}

func TestTokenedIsNotSentOutsideItsWindow(t *testing.T) {
	s := begin(plainFacts(), 0)
	s.take(1, 1, 0)
	s.EndTurn()
	first := s.h.now
	s.came(1, api.ErrorResponse, 0)
	for s.h.answers == 0 && s.h.now < first+20*sec {
		s.run(5000)
		if s.webhooks[1] != nil && s.webhooks[1].call != nil {
			s.came(1, api.ErrorResponse, 0)
		}
	}
	last := s.h.sent[len(s.h.sent)-1]
	assert.Less(t, last.at, first+8*sec)
	assert.Less(t, last.latest, first+8*sec, "however long connecting takes")
	assert.Equal(t, []api.WebhookID{1}, s.h.dead)
}

func TestEveryWebhookEndsOnceBeforeItsTTL(t *testing.T) {
	s := begin(plainFacts()) // no destination is known
	for id := range api.WebhookID(20) {
		s.take(id, api.EventTypeID(id%4), api.DestinationID(id%3))
	}
	s.EndTurn()
	s.run(20*sec - 5000)
	assert.Len(t, s.h.rejected, 20)
	assert.Equal(t, 20, s.h.answers)
	assert.Empty(t, s.webhooks)
}

func TestOrderedWebhooksOfAKeyGoInTurn(t *testing.T) {
	s := begin(plainFacts(), 0)
	s.take(1, 3, 0)
	s.take(2, 3, 0)
	s.EndTurn()
	s.h.now += sec
	s.came(1, api.TimedOut, 0)
	s.Withdraw(1) // the earlier one is over, but its attempt may still run
	s.run(2*sec - 10000)
	assert.Equal(t, 0, s.sentOf(2))
	s.run(sec)
	assert.Equal(t, 1, s.sentOf(2))
}

func TestResumedWebhookGoesOnWhereItStood(t *testing.T) {
	const none = api.Never
	for _, c := range []struct {
		evt      api.EventTypeID
		attempts int
		mayRun   api.Micros // before now
		sent     bool       // at the latest after the schedule's wait
		dead     int
	}{
		{evt: 2, attempts: 0, mayRun: none, sent: true},
		{evt: 2, attempts: 1, mayRun: none, sent: true}, // proved not to have run
		{evt: 2, attempts: 1, mayRun: sec, dead: 1},     // at-most-once: never again
		{evt: 1, attempts: 1, mayRun: sec, sent: true},  // tokened: inside its window
		{evt: 1, attempts: 1, mayRun: 9 * sec, dead: 1}, // and not outside
		{evt: 0, attempts: 6, mayRun: 9 * sec, dead: 1}, // the attempts of both lives count
		{evt: 0, attempts: 5, mayRun: 9 * sec, sent: true},
	} {
		s := begin(plainFacts(), 0)
		if c.mayRun != none {
			c.mayRun = s.h.now - c.mayRun
		}
		s.Recover(api.Webhook{ID: 1, EventType: c.evt, Deadline: s.h.now + 18*sec},
			api.PriorAttempts{Count: c.attempts, MayHaveRunAt: c.mayRun})
		s.EndTurn()
		assert.Equal(t, c.attempts == 0, s.sentOf(1) == 1, "an attempt that was out is followed by a wait")
		s.run(6 * sec)
		assert.Equal(t, c.sent, s.sentOf(1) == 1, c)
		assert.Len(t, s.h.dead, c.dead, c)
	}
}

// Guards against dispatchers that stood still and send in one moment all that came due meanwhile.
func TestRetriesThatCameDueInAStallAreSpreadAnew(t *testing.T) {
	f := untold(1)
	f.MaxInFlight = 80
	kinds := make([]api.DestinationKindID, 40)
	s := begin(f, kinds...)
	for i := range kinds {
		s.take(api.WebhookID(i), 0, api.DestinationID(i))
	}
	s.EndTurn()
	s.all(always(api.ErrorResponse))
	sent := len(s.h.sent)
	s.h.now += 2 * sec // all have come due
	for i := range kinds {
		s.take(api.WebhookID(100+i), 0, api.DestinationID(i))
	}
	s.TimerFired(timerPeriodic)
	s.EndTurn()
	assert.Less(t, len(s.h.sent)-sent, 20, "what came new where calls failed is spread, too")
	s.run(2 * sec)
	assert.GreaterOrEqual(t, len(s.h.sent)-sent, 35)
}
