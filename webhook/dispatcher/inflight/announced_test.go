package inflight

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/webhook/api"
)

func FuzzEndFrom(f *testing.F) {
	f.Add(Result{RequestID: "a.dest=3", Status: StatusRejected, RetryAfter: 5, Attempts: 2, MayHaveRun: true}.Encode())
	f.Add([]byte(`{"message":"w","outcome":"given_up"}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if e, is := DecodeResult(raw); is {
			again, _ := DecodeResult(e.Encode())
			assert.Equal(t, e, again)
		} else if len(raw) >= resultFixedLen {
			assert.NotEqual(t, byte(resultTag), raw[0])
		}
	})
}

func FuzzSubscriber(f *testing.F) {
	f.Add("a", uint32(3))
	f.Add("a.dest=4", uint32(5))
	f.Fuzz(func(t *testing.T, id string, to uint32) {
		of, dest, is := ForSubscriber(RequestID(id), api.DestinationID(to)).Subscriber()
		assert.True(t, is)
		assert.Equal(t, RequestID(id), of)
		assert.EqualValues(t, to, dest)
	})
}

func TestOnlyAFleetsListsAreReadFromARoute(t *testing.T) {
	x := New()
	_, ok := x.ListInRoute("list=prices")
	assert.False(t, ok, "off on the platform")
	assert.False(t, x.IsReserved("a.dest=3"))
	x.HasList = func(name string) bool { return name == "prices" }
	name, ok := x.ListInRoute("zone=a;list=prices")
	assert.True(t, ok)
	assert.Equal(t, "prices", name)
	_, ok = x.ListInRoute("list=others")
	assert.False(t, ok)
	assert.True(t, x.IsReserved("a.dest=3"), "else it would be taken for a subscriber's")
	assert.False(t, x.IsReserved("a.dest=b"))
}
