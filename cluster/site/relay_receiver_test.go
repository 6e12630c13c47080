package site

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
	"rowanlink/cluster/relay"
	"rowanlink/cluster/stream"
	"rowanlink/cluster/transport"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/callback"
	"rowanlink/webhook/dispatcher/eventloop"
	"rowanlink/webhook/dispatcher/inflight"
	"rowanlink/webhook/dispatcher/lifecycle"
	"rowanlink/webhook/dispatcher/upstream"
	"rowanlink/webhook/dispatcher/wal"
	"rowanlink/webhook/policy"
)

// testRelay is a relay's member without the other members. Its destination has no endpoint, so that nothing
// ends but by its time.
type testRelay struct {
	*relayReceiver
	dispatcherJournal *wal.Log
	lifecycle         *lifecycle.Lifecycle
}

func startTestRelay(t *testing.T, dir string, ttl api.Micros) *testRelay {
	kept, err := wal.Open(dir, 1)
	require.NoError(t, err)
	x, life := inflight.New(), &lifecycle.Lifecycle{}
	life.Enter(lifecycle.Serving)
	d := eventloop.New(x, life, kept, api.Settings{MaxInFlight: 4, BufferSize: 9, MaxAttempts: 3, MinTurnInterval: 1000,
		EventTypes: []api.EventType{{LatencyTarget: ttl / 9, TTL: ttl, Semantics: api.AtMostOnce}}})
	d.Begin(upstream.New(&x.Counters, d.CallFinished, api.Second, api.Second, 4),
		callback.New("127.0.0.1:1", &x.Counters, d.CallbacksDelivered),
		func(f api.Settings, h api.Host) api.Policy { return policy.New(f, h) })
	go d.Run()
	k, err := openRelayReceiver(dir+"/relay", 1, localDispatcher{d, x, func() int { return 9 }, life.AcceptsWebhooks},
		transport.NewClient("r", map[cluster.MemberID]string{}), relay.TimingFor(api.Second))
	require.NoError(t, err)
	return &testRelay{k, kept, life}
}

// ends stops the member; its folder stays.
func (b *testRelay) stop() {
	b.lifecycle.Enter(lifecycle.Stopped)
	b.relayReceiver.close()
	time.Sleep(20 * time.Millisecond) // its last turn
	b.dispatcherJournal.Close()
}

func (b *testRelay) storedResults() []stream.Result {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []stream.Result
	for _, e := range b.relayReceiver.journal.Entries() {
		var r relayRecord
		if transport.Decode(e.Payload, &r) == nil && r.Result != nil {
			all = append(all, *r.Result)
		}
	}
	return all
}

func newFrame(ttl api.Micros) (stream.Checkpoint, []stream.Item) {
	return stream.Checkpoint{Incarnation: 3, Generation: stream.Generation{Epoch: 1, Number: 1}, LastSequence: 1, Received: 2}, []stream.Item{{
		ID: stream.MessageID{Origin: "m", Incarnation: 1, Number: 1}, RequestID: "a", IsAnnouncement: true, FirstAttemptAt: api.Never,
		TTL: inflight.Now() + ttl, Body: []byte("b"), Destinations: []api.DestinationID{4, 5}}}
}

// Guards against a second effect: a record whose end is written outlasts that write, as it is taken out
// with the next one only.
func TestRelayReceiver_StoredResultIsNotSubmittedAgain(t *testing.T) {
	dir, ttl := t.TempDir(), api.Second/4
	b := startTestRelay(t, dir, ttl)
	require.NoError(t, b.Persist(newFrame(ttl)))
	require.Eventually(t, func() bool { return len(b.storedResults()) == 2 }, 10*time.Second, time.Millisecond)
	for _, e := range b.storedResults() {
		assert.Equal(t, stream.Rejected, e.Outcome, "it never ran, and its time is over")
	}
	b.stop()
	b = startTestRelay(t, dir, ttl)
	defer b.stop()
	assert.Empty(t, b.pending, "nothing is held")
	assert.Len(t, b.storedResults(), 2)
}

func TestRelayReceiver_FrameSurvivesRestart(t *testing.T) {
	dir, ttl := t.TempDir(), 90*api.Second
	b := startTestRelay(t, dir, ttl)
	close(b.relayReceiver.closed) // nothing is handed in any more
	time.Sleep(20 * time.Millisecond)
	require.NoError(t, b.Persist(newFrame(ttl)))
	b.relayReceiver.closed = make(chan struct{})
	b.stop()
	b = startTestRelay(t, dir, ttl)
	require.Eventually(t, func() bool { return len(b.loop.PendingIDs()) == 2 }, 10*time.Second, time.Millisecond)
	b.stop()
	b = startTestRelay(t, dir, ttl)
	defer b.stop()
	assert.Len(t, b.loop.PendingIDs(), 2)
	assert.Len(t, b.pending, 2, "once each")
	assert.True(t, b.hasPending(4))
}
