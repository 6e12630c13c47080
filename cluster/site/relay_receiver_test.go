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

// testRelay is a relay's member without any other members. Its destinations have no endpoints, so its webhooks expire
// without an attempt.
type testRelay struct {
	*relayReceiver
	dispatcherJournal *wal.Log
	lifecycle         *lifecycle.Lifecycle
}

func startTestRelay(t *testing.T, dir string, ttl api.Micros) *testRelay {
	t.Helper()
	journal, err := wal.Open(dir, 1)
	require.NoError(t, err)
	inbox, life := inflight.New(), &lifecycle.Lifecycle{}
	life.Enter(lifecycle.Serving)
	loop := eventloop.New(inbox, life, journal, api.Settings{
		MaxInFlight:     4,
		BufferSize:      9,
		MaxAttempts:     3,
		MinTurnInterval: 1000,
		EventTypes:      []api.EventType{{LatencyTarget: ttl / 9, TTL: ttl, Semantics: api.AtMostOnce}},
	})
	loop.Begin(upstream.New(&inbox.Counters, loop.CallFinished, api.Second, api.Second, 4),
		callback.New("127.0.0.1:1", &inbox.Counters, loop.CallbacksDelivered),
		func(f api.Settings, h api.Host) api.Policy { return policy.New(f, h) })
	go loop.Run()
	dispatcher := localDispatcher{
		loop:        loop,
		inbox:       inbox,
		capacity:    func() int { return 9 },
		isAccepting: life.AcceptsWebhooks,
	}
	messenger := transport.NewClient("r", map[cluster.MemberID]string{})
	receiver, err := openRelayReceiver(dir+"/relay", 1, dispatcher, messenger, relay.TimingFor(api.Second))
	require.NoError(t, err)
	return &testRelay{relayReceiver: receiver, dispatcherJournal: journal, lifecycle: life}
}

// stop stops the member. Its folder remains.
func (r *testRelay) stop() {
	r.lifecycle.Enter(lifecycle.Stopped)
	_ = r.close()
	time.Sleep(20 * time.Millisecond) // lets the event loop end
	_ = r.dispatcherJournal.Close()
}

func (r *testRelay) storedResults() []stream.Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []stream.Result
	for _, e := range r.journal.Entries() {
		var record relayRecord
		if transport.Decode(e.Payload, &record) == nil && record.Result != nil {
			all = append(all, *record.Result)
		}
	}
	return all
}

func newFrame(ttl api.Micros) (stream.Checkpoint, []stream.Item) {
	checkpoint := stream.Checkpoint{
		Incarnation:  3,
		Generation:   stream.Generation{Epoch: 1, Number: 1},
		LastSequence: 1,
		Received:     2,
	}
	item := stream.Item{
		ID:             stream.MessageID{Origin: "m", Incarnation: 1, Number: 1},
		RequestID:      "a",
		IsAnnouncement: true,
		FirstAttemptAt: api.Never,
		Deadline:       inflight.Now() + ttl,
		Body:           []byte("b"),
		Destinations:   []api.DestinationID{4, 5},
	}
	return checkpoint, []stream.Item{item}
}

// A relay that restarts after it stored a result must not deliver the webhook again. The journal may then still have
// the record of the pending delivery, since only the write after that of the result removes it.
func TestRelayReceiver_StoredResultIsNotSubmittedAgain(t *testing.T) {
	dir, ttl := t.TempDir(), api.Second/4
	r := startTestRelay(t, dir, ttl)
	require.NoError(t, r.Persist(newFrame(ttl)))
	require.Eventually(t, func() bool { return len(r.storedResults()) == 2 }, 10*time.Second, time.Millisecond)
	for _, e := range r.storedResults() {
		assert.Equal(t, stream.Rejected, e.Outcome, "the webhook expired without an attempt")
	}
	r.stop()
	r = startTestRelay(t, dir, ttl)
	defer r.stop()
	assert.Empty(t, r.pending, "nothing is pending")
	assert.Len(t, r.storedResults(), 2)
}

func TestRelayReceiver_FrameSurvivesRestart(t *testing.T) {
	dir, ttl := t.TempDir(), 90*api.Second
	r := startTestRelay(t, dir, ttl)
	close(r.closed) // stops run, so that nothing is submitted
	time.Sleep(20 * time.Millisecond)
	require.NoError(t, r.Persist(newFrame(ttl)))
	r.closed = make(chan struct{})
	r.stop()
	r = startTestRelay(t, dir, ttl)
	require.Eventually(t, func() bool { return len(r.loop.PendingIDs()) == 2 }, 10*time.Second, time.Millisecond)
	r.stop()
	r = startTestRelay(t, dir, ttl)
	defer r.stop()
	assert.Len(t, r.loop.PendingIDs(), 2)
	assert.Len(t, r.pending, 2, "each delivery is pending once")
	assert.True(t, r.hasPending(4))
}
