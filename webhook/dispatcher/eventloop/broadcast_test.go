package eventloop

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// newBroadcast returns a broadcast's webhooks for subscribers 0 to n-1.
func newBroadcast(n int) []*inflight.Webhook {
	var all []*inflight.Webhook
	for subscriber := range api.DestinationID(n) {
		now := inflight.Now()
		all = append(all, &inflight.Webhook{
			RequestID:   inflight.ForSubscriber("a", subscriber),
			Destination: subscriber,
			Body:        make([]byte, 1000),
			Deadline:    now + 9*api.Second,
			ReceivedAt:  now,
		})
	}
	return all
}

func (l *testLoop) submitNewBroadcast(n int) (answer inflight.Answer) {
	l.duringTurns(func() { answer = l.SubmitBroadcast(newBroadcast(n)) })
	return answer
}

func TestBroadcastIsAcceptedCompletelyOrNotAtAll(t *testing.T) {
	loop := startClusterLoop(t, t.TempDir(), api.Second)
	assert.Equal(t, inflight.Rejected, loop.submitNewBroadcast(testBufferSize+1), "more than the buffer holds")
	assert.Empty(t, loop.parkedWebhooks())
	assert.Equal(t, inflight.Accepted, loop.submitNewBroadcast(testBufferSize))
	assert.Equal(t, inflight.Rejected, loop.submitNewBroadcast(1), "the buffer is full")
	assert.Len(t, loop.parkedWebhooks(), testBufferSize)
}

func TestCallbackOfABroadcastNamesTheSubscriber(t *testing.T) {
	loop := startClusterLoop(t, t.TempDir(), api.Second)
	w := newBroadcast(8)[7]
	assert.Equal(t, `{"message":"a","dest":7,"outcome":"given_up"}`,
		string(loop.nameSubscriber(w, []byte(`{"message":"a.dest=7","outcome":"given_up"}`))))
}
