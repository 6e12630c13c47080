package policy

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/webhook/api"
)

func TestSentAndBackWithinOneTurnIsNotSentTwice(t *testing.T) {
	s := begin(plainFacts(), 0)
	s.take(1, 0, 0)
	s.EndTurn()
	s.report(1, api.ConnectFailed, 0)
	s.run(3 * sec)
	assert.Equal(t, 2, s.sentOf(1))
}

func TestSameEventsSameActions(t *testing.T) {
	play := func() []sent {
		s := begin(plainFacts(), 0, 1, 2)
		for id := range api.WebhookID(60) {
			s.take(id, api.EventTypeID(id%4), api.DestinationID(id%3))
			s.run(20000)
			if id%2 == 0 {
				s.came(id/2, api.Outcome(id%5), 0)
			}
		}
		return s.h.sent
	}
	assert.Equal(t, play(), play())
}

func TestSparseFactsLoseNothing(t *testing.T) {
	for _, slots := range []int{0, 1, 2} {
		s := begin(api.Settings{MaxInFlight: slots}, 0, 0)
		s.UpdateEndpoints([]api.EndpointEntry{{Endpoint: 50, Destination: 7, Kind: 9, Status: api.EndpointRemoved}}, false)
		for id := range api.WebhookID(10) {
			s.Submit(api.Webhook{ID: id, EventType: api.EventTypeID(id), Tenant: 3, Deadline: s.h.now + 5*sec,
				Destination: api.DestinationID(id)})
		}
		s.run(6 * sec)
		for id := range api.WebhookID(10) {
			if w := s.webhooks[id]; w != nil {
				s.came(id, api.Rejected, 0)
			}
		}
		assert.Equal(t, 10, s.h.answers)
	}
}

// Guards against memory that grows with everyone who ever was: endpoints are replaced all day, keys are new.
func TestThoseLongGoneAreForgotten(t *testing.T) {
	s := begin(plainFacts(), 0)
	for i := range api.WebhookID(20) {
		s.Submit(api.Webhook{ID: i, EventType: 3, OrderingKey: api.OrderingKey(i + 1), Deadline: s.h.now + 20*sec})
		s.run(sec / 2)
		s.came(i, api.Delivered, 0)
		ep := api.EndpointID(100 + i)
		s.UpdateEndpoints([]api.EndpointEntry{{Endpoint: ep, Rate: 1000}, {Endpoint: ep - 1, Status: api.EndpointRemoved}}, false)
	}
	assert.Greater(t, len(s.endpoints), 20, "what may come back is known")
	s.run(101 * sec)
	assert.Len(t, s.endpoints, 3)
	assert.Empty(t, s.sequences)
	s.take(99, 0, 0)
	s.EndTurn()
	assert.Equal(t, 1, s.sentOf(99))
}

func TestOnlyWhatIsInUseIsWalked(t *testing.T) {
	s := begin(plainFacts(), 0, 0, 0)
	s.take(1, 0, 2)
	s.take(2, 0, 2) // the window is one: this one waits
	s.EndTurn()
	assert.Equal(t, []*destination{s.destinations[2]}, s.backlogged)
	s.came(1, api.Delivered, 0)
	s.run(sec)
	s.came(2, api.Delivered, 0)
	assert.Empty(t, s.backlogged)
	assert.Len(t, s.connectedEndpoints, 1)
}

// Guards against a reload that loses, repeats or re-terms what was taken on before it.
func TestNewFactsLeaveWhatIsHeldItsTermsAndDropNothing(t *testing.T) {
	f, less := plainFacts(), plainFacts()
	s := begin(f, 0, 0, 0, 0)
	for id := range api.WebhookID(60) {
		s.take(id, 2, api.DestinationID(id%4))
	}
	s.EndTurn()
	out := s.inFlight
	less.MaxInFlight, less.BufferSize, less.Dispatchers = 2, 5, 2
	less.EventTypes = append(less.EventTypes[:2], less.EventTypes[0])
	s.UpdateSettings(less)
	assert.InDelta(t, 500, s.destinations[0].sharedRoute.listedRate, 1, "a part of the new fleet's")
	s.all(always(api.TimedOut))
	assert.Len(t, s.h.dead, out, "taken as at-most-once, each ends so")
	assert.Empty(t, s.h.rejected, "what is beyond the new buffer drains")
	assert.LessOrEqual(t, s.inFlight, 2)
	s.UpdateSettings(f)
	s.take(100, 2, 0)
	assert.Equal(t, api.AtMostOnce, s.webhooks[100].eventType.Semantics, "the way back is the same step")
}
