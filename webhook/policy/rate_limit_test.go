package policy

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/webhook/api"
)

func TestToldWaitHoldsEveryWebhookOfTheDestination(t *testing.T) {
	s := begin(plainFacts(), 1)
	for id := range api.WebhookID(3) {
		s.take(id, 0, 0)
	}
	s.EndTurn() // they share a call
	s.report(0, api.Rejected, sec/2)
	s.report(1, api.Rejected, 3*sec/2) // each may be told its own wait: the longest holds
	s.came(2, api.Rejected, 0)
	s.take(9, 0, 0)
	s.run(3*sec/2 - 10000)
	assert.Len(t, s.h.sent, 3)
	s.run(sec)
	assert.Greater(t, len(s.h.sent), 3)
}

func TestReturningDestinationIsNotPushedOver(t *testing.T) {
	f := plainFacts()
	s := begin(f, 0)
	r := s.ensureRoute(s.destinations[0]).sharedRoute
	r.listedRate, r.rate = 10, 10
	for id := range api.WebhookID(90) {
		s.take(id, 0, 0)
	}
	s.EndTurn()
	back := s.h.now + 4*sec
	reached := 0
	for s.h.now < back+2*sec {
		s.run(5000)
		if s.h.now < back {
			s.all(always(api.ConnectFailed))
		} else {
			reached += s.all(always(api.Delivered))
		}
	}
	assert.Positive(t, reached)
	assert.LessOrEqual(t, float64(reached), f.OverloadFactor*(f.SlowStartCapacity+0.1)*10*2)
}

func TestPaceOutgrowsALowStatedRate(t *testing.T) {
	pace := func(waiting api.WebhookID) float64 {
		s := begin(plainFacts(), 0)
		r := s.ensureRoute(s.destinations[0]).sharedRoute
		r.listedRate, r.rate = 2, 2
		for id := range waiting {
			s.take(id, 0, 0)
		}
		for range 50 {
			s.run(sec / 10)
			s.all(always(api.Delivered))
		}
		return r.rate
	}
	assert.Less(t, pace(3), 2.2)
	assert.Greater(t, pace(60), 3.0)
}

// crowd is a story of one of so many dispatchers, at destinations that each take four calls a second.
func crowd(fleet int) *story {
	f := plainFacts()
	f.Dispatchers = fleet
	s := begin(f, 0, 0)
	for d := range api.DestinationID(2) {
		s.UpdateEndpoints([]api.EndpointEntry{{Endpoint: api.EndpointID(10 * d), Destination: d, Rate: 4}}, false)
	}
	return s
}

func TestTinyPartOfARateDoesNotHoldTheSecondWebhook(t *testing.T) {
	s := crowd(200)
	for id := range api.WebhookID(2) {
		s.take(id, 0, 0)
	}
	for range 50 {
		s.run(sec / 10)
		s.all(always(api.Delivered))
	}
	assert.Len(t, s.h.sent, 2)
	trickle := s.kinds[0].fallbackRate
	for id := api.WebhookID(10); id < 13; id++ {
		s.take(id, 0, 1)
		s.run(sec / 10)
		s.all(always(api.Rejected))
	}
	assert.Less(t, s.kinds[0].fallbackRate, trickle, "refusals of what it let go lower it")
	full := s.destinations[1]
	assert.Less(t, fallbackRate(full, full.sharedRoute), s.kinds[0].fallbackRate, "and most at the destination that refused")
}

func TestCanariesOfManyWaitForTheirPartAndPastAToldWait(t *testing.T) {
	for _, fleet := range []int{1, 200} {
		s := crowd(fleet)
		s.take(1, 0, 0)
		s.EndTurn()
		s.came(1, api.Rejected, 4*sec) // told to wait for longer than a limit's span: shut
		r := s.ensureRoute(s.destinations[0]).sharedRoute
		assert.True(t, r.unhealthy)
		assert.Greater(t, r.nextCanaryAt, r.retryAfterUntil, "all come back when it opens")
		assert.Equal(t, fleet == 200, s.canaryInterval(r) > 5*sec)
		s.run(4 * sec)
		assert.Len(t, s.h.sent, 1)
	}
}
