package site

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/cluster/config"
	"rowanlink/cluster/stream"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/callback"
	"rowanlink/webhook/dispatcher/eventloop"
	"rowanlink/webhook/dispatcher/inflight"
	"rowanlink/webhook/dispatcher/lifecycle"
	"rowanlink/webhook/dispatcher/upstream"
	"rowanlink/webhook/dispatcher/wal"
	"rowanlink/webhook/policy"
)

// closedAdmission is a member that may call for nothing: all is parked.
type closedAdmission struct{ openAdmission }

func (closedAdmission) MayCall(api.DestinationID, bool) bool { return false }

// Guards against a webhook that may be at its relay and that nobody asks for any more: it goes out once more
// in a frame that is not sent, as the frame has what has gone already.
func TestSiteSender_KeepsSentRecordOfUnsentFrame(t *testing.T) {
	kept, err := wal.Open(t.TempDir(), 1)
	require.NoError(t, err)
	x, life := inflight.New(), &lifecycle.Lifecycle{}
	life.Enter(lifecycle.Serving)
	d := eventloop.New(x, life, kept, api.Settings{MaxInFlight: 4, BufferSize: 9, MaxAttempts: 3, MinTurnInterval: 1000,
		EventTypes: []api.EventType{{LatencyTarget: api.Second, TTL: 9 * api.Second}}})
	d.JoinCluster(closedAdmission{})
	d.Begin(upstream.New(&x.Counters, d.CallFinished, api.Second, api.Second, 4),
		callback.New("127.0.0.1:1", &x.Counters, d.CallbacksDelivered),
		func(f api.Settings, h api.Host) api.Policy { return policy.New(f, h) })
	go d.Run()
	t.Cleanup(func() { life.Enter(lifecycle.Stopped) })
	marks, err := openSentLog(t.TempDir(), 1)
	require.NoError(t, err)
	l := newSiteSender(&Sites{sentLog: marks, loop: d}, config.Site{ID: "harbor", Relay: "r"})
	item := func(id string) stream.Item { return stream.Item{RequestID: id, Destinations: []api.DestinationID{7}} }
	for _, id := range []inflight.RequestID{"a", "b"} {
		now := inflight.Now()
		what, _ := x.SubmitLocal(&inflight.Webhook{RequestID: id, Destination: 7, Deadline: now + 9*api.Second,
			ReceivedAt: now})
		require.Equal(t, inflight.Accepted, what)
	}
	require.NoError(t, l.RecordSending([]stream.Item{item("a")}, 1, 100))
	require.ErrorIs(t, l.RecordSending([]stream.Item{item("a"), item("b")}, 2, 200), errNotParked)
	m, marked := marks.get("a")
	assert.True(t, marked)
	assert.Equal(t, api.Micros(100), m.SentAt)
	_, marked = marks.get("b")
	assert.False(t, marked)
}
