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

// closedAdmission lets this member call no destination, so that all webhooks are parked.
type closedAdmission struct{ openAdmission }

func (closedAdmission) MayCall(api.DestinationID, bool) bool { return false }

// A webhook that was sent to its relay is in a second frame, which is not sent because another webhook of that frame is
// no longer parked. The first webhook must keep its sent record: otherwise nobody would ask the relay for its result.
func TestSiteSender_KeepsSentRecordOfUnsentFrame(t *testing.T) {
	journal, err := wal.Open(t.TempDir(), 1)
	require.NoError(t, err)
	inbox, life := inflight.New(), &lifecycle.Lifecycle{}
	life.Enter(lifecycle.Serving)
	loop := eventloop.New(inbox, life, journal, api.Settings{
		MaxInFlight:     4,
		BufferSize:      9,
		MaxAttempts:     3,
		MinTurnInterval: 1000,
		EventTypes:      []api.EventType{{LatencyTarget: api.Second, TTL: 9 * api.Second}},
	})
	loop.JoinCluster(closedAdmission{})
	loop.Begin(upstream.New(&inbox.Counters, loop.CallFinished, api.Second, api.Second, 4),
		callback.New("127.0.0.1:1", &inbox.Counters, loop.CallbacksDelivered),
		func(f api.Settings, h api.Host) api.Policy { return policy.New(f, h) })
	go loop.Run()
	t.Cleanup(func() { life.Enter(lifecycle.Stopped) })
	sentLog, err := openSentLog(t.TempDir(), 1)
	require.NoError(t, err)
	sender := newSiteSender(&Sites{sentLog: sentLog, loop: loop}, config.Site{ID: "harbor", Relay: "r"})
	item := func(id string) stream.Item { return stream.Item{RequestID: id, Destinations: []api.DestinationID{7}} }
	for _, id := range []inflight.RequestID{"a", "b"} {
		now := inflight.Now()
		answer, _ := inbox.SubmitLocal(&inflight.Webhook{RequestID: id, Destination: 7, Deadline: now + 9*api.Second,
			ReceivedAt: now})
		require.Equal(t, inflight.Accepted, answer)
	}
	require.NoError(t, sender.RecordSending([]stream.Item{item("a")}, 1, 100))
	require.ErrorIs(t, sender.RecordSending([]stream.Item{item("a"), item("b")}, 2, 200), errNotParked)
	record, recorded := sentLog.get("a")
	assert.True(t, recorded)
	assert.Equal(t, api.Micros(100), record.SentAt)
	_, recorded = sentLog.get("b")
	assert.False(t, recorded)
}
