package eventloop

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/callback"
	"rowanlink/webhook/dispatcher/inflight"
	"rowanlink/webhook/dispatcher/lifecycle"
	"rowanlink/webhook/dispatcher/upstream"
	"rowanlink/webhook/dispatcher/wal"
	"rowanlink/webhook/policy"
)

func TestWhatTheDiskRefusesIsRejectedAndNotSent(t *testing.T) {
	dir := t.TempDir()
	kept, err := wal.Open(dir, 1)
	require.NoError(t, err)
	x, life := inflight.New(), &lifecycle.Lifecycle{}
	life.Enter(lifecycle.Serving)
	d := New(x, life, kept, api.Settings{MaxInFlight: 4, BufferSize: 9, MaxAttempts: 3, MinTurnInterval: 1000, RatesListed: true,
		EventTypes: []api.EventType{{LatencyTarget: api.Second, TTL: 9 * api.Second}}})
	d.Begin(upstream.New(&x.Counters, d.CallFinished, api.Second, api.Second, 4),
		callback.New("127.0.0.1:1", &x.Counters, d.CallbacksDelivered),
		func(f api.Settings, h api.Host) api.Policy { return policy.New(f, h) })
	d.UpdateEndpoints([]api.EndpointEntry{{Endpoint: 1, Destination: 3, Rate: 500}}, []string{"127.0.0.1:1"}, true)
	d.turn()
	hand := func(id inflight.RequestID) inflight.Answer {
		said := make(chan inflight.Answer, 1)
		go func() {
			now := inflight.Now()
			w := inflight.Webhook{RequestID: id, Destination: 3, ReceivedAt: now, Deadline: now + 9*api.Second}
			what, _ := x.Submit(&w)
			said <- what
		}()
		for len(said) == 0 {
			d.turn()
			time.Sleep(time.Millisecond)
		}
		return <-said
	}
	require.NoError(t, kept.Close()) // the next write fails
	assert.Equal(t, inflight.Rejected, hand("a1"))
	assert.Zero(t, x.Calls.Load(), "nothing goes out that would not survive")
	assert.Empty(t, d.webhooks)
	assert.Equal(t, inflight.Accepted, hand("a2"), "the next one is written anew")
	assert.EqualValues(t, 1, x.Calls.Load())
	next, err := wal.Open(dir, 1)
	require.NoError(t, err)
	require.Len(t, next.Entries(), 1)
	assert.Equal(t, api.WebhookID(2), next.Entries()[0].ID)
}
