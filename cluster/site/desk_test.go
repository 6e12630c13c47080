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

// bed is a relay's member without the other members. Its destination has no endpoint, so that nothing
// ends but by its time.
type bed struct {
	*desk
	kept *wal.Log
	life *lifecycle.Lifecycle
}

func relayIn(t *testing.T, dir string, ttl api.Micros) *bed {
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
	k, err := openDesk(dir+"/relay", 1, dispatcher{d, x, func() int { return 9 }, life.AcceptsWebhooks},
		transport.NewClient("r", map[cluster.MemberID]string{}), relay.TimingFor(api.Second))
	require.NoError(t, err)
	return &bed{k, kept, life}
}

// ends stops the member; its folder stays.
func (b *bed) stop() {
	b.life.Enter(lifecycle.Stopped)
	b.desk.close()
	time.Sleep(20 * time.Millisecond) // its last turn
	b.kept.Close()
}

func (b *bed) owed() []stream.Result {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []stream.Result
	for _, e := range b.desk.kept.Entries() {
		var r record
		if transport.Decode(e.Payload, &r) == nil && r.End != nil {
			all = append(all, *r.End)
		}
	}
	return all
}

func brought(ttl api.Micros) (stream.Checkpoint, []stream.Item) {
	return stream.Checkpoint{Incarnation: 3, Generation: stream.Generation{Epoch: 1, Number: 1}, LastSequence: 1, Received: 2}, []stream.Item{{
		ID: stream.MessageID{Origin: "m", Incarnation: 1, Number: 1}, RequestID: "a", IsAnnouncement: true, FirstAttemptAt: api.Never,
		TTL: inflight.Now() + ttl, Body: []byte("b"), Destinations: []api.DestinationID{4, 5}}}
}

// Guards against a second effect: a record whose end is written outlasts that write, as it is taken out
// with the next one only.
func TestAnEndWrittenJustBeforeAKillIsNotHandedInAgain(t *testing.T) {
	dir, ttl := t.TempDir(), api.Second/4
	b := relayIn(t, dir, ttl)
	require.NoError(t, b.Persist(brought(ttl)))
	require.Eventually(t, func() bool { return len(b.owed()) == 2 }, 10*time.Second, time.Millisecond)
	for _, e := range b.owed() {
		assert.Equal(t, stream.Rejected, e.Outcome, "it never ran, and its time is over")
	}
	b.stop()
	b = relayIn(t, dir, ttl)
	defer b.stop()
	assert.Empty(t, b.ids, "nothing is held")
	assert.Len(t, b.owed(), 2)
}

func TestWhatAFrameBroughtOutlastsTheProcessWhetherItWasHandedInOrNot(t *testing.T) {
	dir, ttl := t.TempDir(), 90*api.Second
	b := relayIn(t, dir, ttl)
	close(b.desk.ended) // nothing is handed in any more
	time.Sleep(20 * time.Millisecond)
	require.NoError(t, b.Persist(brought(ttl)))
	b.desk.ended = make(chan struct{})
	b.stop()
	b = relayIn(t, dir, ttl)
	require.Eventually(t, func() bool { return len(b.decider.PendingIDs()) == 2 }, 10*time.Second, time.Millisecond)
	b.stop()
	b = relayIn(t, dir, ttl)
	defer b.stop()
	assert.Len(t, b.decider.PendingIDs(), 2)
	assert.Len(t, b.ids, 2, "once each")
	assert.True(t, b.holds(4))
}
