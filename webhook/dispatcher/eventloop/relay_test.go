package eventloop

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

func TestWebhookAtARelayIsNotCalledHereUntilItIsTakenBack(t *testing.T) {
	const ttl = 9 * api.Second
	dir := t.TempDir()
	loop := startClusterLoop(t, dir, ttl)
	require.Equal(t, inflight.Accepted, loop.submit(newWebhook("w", ttl)))
	assert.False(t, loop.handOneToRelay("w", 1, 7), "the number of attempts differs from the one in the log")
	require.True(t, loop.handOneToRelay("w", 0, 7))
	loop.allowCalls()
	require.Len(t, loop.parkedWebhooks(), 1, "it stays parked although its destination may be called from here")
	assert.EqualValues(t, 7, loop.parkedWebhooks()[0].MayHaveRunAt, "the handover is logged before the webhook is sent")

	restarted := startClusterLoop(t, dir, ttl)
	restarted.duringTurns(func() { restarted.RestoreAtRelay([]inflight.RequestID{"w"}) })
	restarted.allowCalls()
	require.Len(t, restarted.parkedWebhooks(), 1, "also after a restart")
	assert.True(t, restarted.finishDelivered("w"))
	assert.Empty(t, restarted.parkedWebhooks())
	assert.Empty(t, startClusterLoop(t, dir, ttl).parkedWebhooks())
}

// Guards against a duplicate delivery: a webhook that may have run at the relay and may run only once is dead-lettered after
// it was taken back.
func TestWebhookTakenBackFromARelayIsCalledOnlyIfItNeverRan(t *testing.T) {
	for _, c := range []struct {
		name             string
		neverReceived    bool
		wantDeadLettered int64
	}{
		{name: "never received", neverReceived: true, wantDeadLettered: 0},
		{name: "may have run", neverReceived: false, wantDeadLettered: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			loop := startClusterLoop(t, t.TempDir(), 9*api.Second)
			require.Equal(t, inflight.Accepted, loop.submit(newWebhook("w", 9*api.Second)))
			loop.handOneToRelay("w", 0, inflight.Now())
			loop.duringTurns(func() {
				loop.TakeBack(map[inflight.RequestID]TakenBack{"w": {NeverReceived: c.neverReceived}})
			})
			loop.allowCalls()
			assert.Equal(t, c.wantDeadLettered, loop.inbox.DeadLettered.Load())
		})
	}
}

func TestResultForAnotherMemberIsLoggedAndIsNotACallback(t *testing.T) {
	result := inflight.Result{
		RequestID:  "w.dest=4",
		Status:     inflight.StatusRejected,
		RetryAfter: 5,
		Attempts:   2,
		MayHaveRun: true,
	}
	decoded, ok := inflight.DecodeResult(result.Encode())
	assert.True(t, ok)
	assert.Equal(t, result, decoded)
	_, ok = inflight.DecodeResult([]byte(`{"message":"w","outcome":"given_up"}`))
	assert.False(t, ok)
}

func TestExpiredWebhookAtARelayWaitsForTheRelaysResult(t *testing.T) {
	const ttl = api.Second / 5
	loop := startClusterLoop(t, t.TempDir(), ttl)
	require.Equal(t, inflight.Accepted, loop.submit(newWebhook("w", ttl)))
	loop.handOneToRelay("w", 0, inflight.Now())
	for until := inflight.Now() + api.Second/4; inflight.Now() < until; {
		loop.turn()
	}
	require.Len(t, loop.parkedWebhooks(), 1, "it has expired, and the relay may have delivered it just before")
	loop.finishDelivered("w")
	assert.Zero(t, loop.inbox.DeadLettered.Load())
	assert.Empty(t, loop.parkedWebhooks())

	require.Equal(t, inflight.Accepted, loop.submit(newWebhook("v", ttl)))
	loop.handOneToRelay("v", 0, inflight.Now())
	deadLettered := func() bool {
		loop.turn()
		return loop.inbox.DeadLettered.Load() == 1
	}
	assert.Eventually(t, deadLettered, 5*time.Second, time.Millisecond)
}
