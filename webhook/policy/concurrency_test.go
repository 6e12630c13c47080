package policy

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/webhook/api"
)

func TestWindowGrowsByOneAndHalves(t *testing.T) {
	s := begin(plainFacts(), 0)
	for id := range api.WebhookID(8) {
		s.take(id, 0, 0)
	}
	s.EndTurn()
	assert.Len(t, s.h.sent, 1, "the window starts at one")
	s.h.now += sec / 10
	s.came(0, api.Delivered, 0)
	assert.Len(t, s.h.sent, 3)
	s.report(1, api.Delivered, 0)
	s.came(2, api.Delivered, 0)
	assert.Equal(t, 4.0, s.destinations[0].sharedRoute.window)
	s.came(3, api.Rejected, 0)
	assert.Equal(t, 2.0, s.destinations[0].sharedRoute.window)
}

func TestHungDestinationLeavesSlotsToTheOthers(t *testing.T) {
	s := begin(plainFacts(), 0, 0)
	for id := range api.WebhookID(40) {
		s.take(id, 0, 0)
		s.EndTurn()
		if id < 10 { // well at first
			s.h.now += sec / 10
			s.came(id, api.Delivered, 0)
		}
	}
	s.run(10 * sec)
	assert.LessOrEqual(t, s.inFlight, 6)
	s.take(99, 0, 1)
	s.EndTurn()
	assert.Equal(t, 1, s.sentOf(99))
}

func TestLostAnswersShortenPatience(t *testing.T) {
	s := begin(plainFacts(), 0)
	for id := range api.WebhookID(20) {
		s.take(id, 0, 0)
		s.run(sec / 10)
		what := api.Delivered
		if id > 10 && id%2 == 0 {
			what = api.TimedOut
		}
		s.came(id, what, 0)
	}
	first, last := s.h.sent[0].patience, s.h.sent[len(s.h.sent)-1].patience
	assert.Equal(t, 14*sec, first)
	assert.Less(t, last, sec)
}

func TestHangOverAllSlotsIsCalledOff(t *testing.T) {
	f := plainFacts()
	f.CanCancel, f.MaxInFlight = true, 4
	s := begin(f, 0, 0, 0, 0, 0)
	id := api.WebhookID(0)
	for ; id < 20; id++ { // all are well at first, and their windows grow
		s.take(id, 0, api.DestinationID(id%5))
		s.run(sec / 10)
		s.all(always(api.Delivered))
	}
	for ; id < 24; id++ {
		s.take(id, 1+api.EventTypeID(id/23), api.DestinationID(id%4)) // the last is at-most-once
	}
	s.run(2*sec - 10000)
	assert.Equal(t, 4, s.inFlight)
	assert.Empty(t, s.h.cancelled, "not before the target latency is over")
	s.run(sec)
	assert.Equal(t, []api.WebhookID{20, 21, 22}, s.h.cancelled)
}

func TestHangElsewhereLeavesPatienceAlone(t *testing.T) {
	s := begin(plainFacts(), 0, 0)
	for id := range api.WebhookID(60) {
		s.take(id, 0, api.DestinationID(id%2))
		s.run(sec / 10)
		s.all(func(ep api.EndpointID) api.Outcome {
			if ep < 10 && id > 20 {
				return api.TimedOut
			}
			return api.Delivered
		})
	}
	last := s.h.sent[len(s.h.sent)-1]
	assert.GreaterOrEqual(t, last.ep, api.EndpointID(10), "the last is for the well destination")
	assert.Greater(t, last.patience, 10*sec)
}
