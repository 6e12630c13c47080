package inflight

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/webhook/api"
)

func FuzzSubscriber(f *testing.F) {
	f.Add("a", uint32(3))
	f.Add("a.dest=4", uint32(5))
	f.Fuzz(func(t *testing.T, id string, number uint32) {
		broadcast, subscriber, ok := ForSubscriber(RequestID(id), api.DestinationID(number)).Subscriber()
		assert.True(t, ok)
		assert.Equal(t, RequestID(id), broadcast)
		assert.EqualValues(t, number, subscriber)
	})
}

func TestBroadcastListsAreReadFromARouteOnlyInACluster(t *testing.T) {
	inbox := New()
	_, ok := inbox.ListInRoute("list=prices")
	assert.False(t, ok, "without a cluster there are no lists")
	assert.False(t, inbox.IsReserved("a.dest=3"))

	inbox.HasList = func(name string) bool { return name == "prices" }
	name, ok := inbox.ListInRoute("zone=a;list=prices")
	assert.True(t, ok)
	assert.Equal(t, "prices", name)
	_, ok = inbox.ListInRoute("list=others")
	assert.False(t, ok)
	assert.True(t, inbox.IsReserved("a.dest=3"), "else it would be taken for a subscriber's")
	assert.False(t, inbox.IsReserved("a.dest=b"))
}
