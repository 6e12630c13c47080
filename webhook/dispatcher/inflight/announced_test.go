package inflight

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/webhook/api"
)

func FuzzEndFrom(f *testing.F) {
	f.Add(End{RequestID: "a.dest=3", How: EndRejected, RetryIn: 5, Attempts: 2, MayRun: true}.Bytes())
	f.Add([]byte(`{"message":"w","outcome":"given_up"}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if e, is := EndFrom(raw); is {
			again, _ := EndFrom(e.Bytes())
			assert.Equal(t, e, again)
		} else if len(raw) >= endFixed {
			assert.NotEqual(t, byte(endMark), raw[0])
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
	_, ok := x.ListIn("list=prices")
	assert.False(t, ok, "off on the platform")
	assert.False(t, x.Reserved("a.dest=3"))
	x.Listed = func(name string) bool { return name == "prices" }
	name, ok := x.ListIn("zone=a;list=prices")
	assert.True(t, ok)
	assert.Equal(t, "prices", name)
	_, ok = x.ListIn("list=others")
	assert.False(t, ok)
	assert.True(t, x.Reserved("a.dest=3"), "else it would be taken for a subscriber's")
	assert.False(t, x.Reserved("a.dest=b"))
}
