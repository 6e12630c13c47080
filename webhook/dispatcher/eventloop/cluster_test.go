package eventloop

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

const longTTL = 90 * api.Second

// Guards against two members making calls for the same webhook. A member accepts a webhook whose destination another member
// owns, keeps it parked across a restart without a call, and forgets it once it was transferred.
func TestWebhookOfAnotherOwnerIsParkedOverARestartAndTransferred(t *testing.T) {
	dir := t.TempDir()
	loop := startClusterLoop(t, dir, longTTL)
	assert.Equal(t, inflight.Accepted, loop.submit(newWebhook("a1", longTTL)))
	assert.Zero(t, loop.inbox.Calls.Load())
	require.NoError(t, loop.log.Close())
	loop = startClusterLoop(t, dir, longTTL)
	parked := loop.parkedWebhooks()
	require.Len(t, parked, 1)
	loop.duringTurns(func() { loop.FinishTransferred([]api.WebhookID{parked[0].ID}) })
	loop.fake.callsAllowed = true
	loop.Reevaluate()
	assert.Empty(t, loop.parkedWebhooks())
	assert.Zero(t, loop.inbox.Calls.Load())
	require.NoError(t, loop.log.Close())
	assert.Empty(t, startClusterLoop(t, dir, longTTL).parkedWebhooks(), "a restart doesn't bring it back")
}

// Guards against a duplicate delivery: an attempt that an earlier owner of the destination made counts at the next owner.
func TestAtMostOnceWebhookThatMayHaveRunAtAnotherMemberIsNotRetried(t *testing.T) {
	loop := startClusterLoop(t, t.TempDir(), longTTL)
	loop.fake.callsAllowed = true
	neverRan, mayHaveRun := newWebhook("a1", longTTL), newWebhook("a2", longTTL)
	neverRan.Prior = &inflight.PriorAttempts{Attempts: 1, MayHaveRunAt: api.Never}
	mayHaveRun.Prior = &inflight.PriorAttempts{Attempts: 1, MayHaveRunAt: inflight.Now() - api.Second}
	assert.Equal(t, inflight.Accepted, loop.submit(mayHaveRun))
	assert.EqualValues(t, 1, loop.inbox.DeadLettered.Load(), "dead-lettered at once")
	assert.Equal(t, inflight.Accepted, loop.submit(neverRan))
	assert.EqualValues(t, 1, loop.inbox.DeadLettered.Load(), "it never ran, and is retried")
}

// Guards against two members making calls for the same webhook. A webhook in doubt stays parked, even at the owner of its
// destination and after a restart, until the doubt is resolved. If it may have run by then and may run only once, it is
// dead-lettered at once.
func TestWebhookInDoubtIsNotCalledUntilResolved(t *testing.T) {
	for _, c := range []struct {
		name             string
		mayHaveRun       bool
		wantDeadLettered int64
	}{
		{name: "never ran", mayHaveRun: false, wantDeadLettered: 0},
		{name: "may have run", mayHaveRun: true, wantDeadLettered: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			loop := startClusterLoop(t, dir, longTTL)
			loop.fake.callsAllowed = true
			w := newWebhook("a1", longTTL)
			w.InDoubt = true
			assert.Equal(t, inflight.Accepted, loop.submit(w))
			require.NoError(t, loop.log.Close())
			loop = startTestLoop(t, dir, atMostOnce(longTTL), &fakeCluster{callsAllowed: true, inDoubt: true})
			parked := loop.parkedWebhooks()
			require.Len(t, parked, 1)
			assert.True(t, parked[0].MayBeElsewhere)
			if c.mayHaveRun {
				prior := &inflight.PriorAttempts{Attempts: 1, MayHaveRunAt: inflight.Now()}
				loop.duringTurns(func() {
					loop.MergePriorAttempts(map[inflight.RequestID]*inflight.PriorAttempts{"a1": prior})
				})
			}
			loop.ResolveInDoubt([]inflight.RequestID{"a1"})
			loop.parkedWebhooks() // takes turns
			assert.Equal(t, c.wantDeadLettered, loop.inbox.DeadLettered.Load())
		})
	}
}

// Guards against calls for a webhook that is offered to another member: only parked webhooks are marked as in doubt, and
// this member makes no call for a marked one, even if it owns the destination by then.
func TestOfferedWebhookIsNotCalledHere(t *testing.T) {
	loop := startClusterLoop(t, t.TempDir(), longTTL)
	assert.Equal(t, inflight.Accepted, loop.submit(newWebhook("a1", longTTL)))
	id := loop.parkedWebhooks()[0].ID
	var marked map[api.WebhookID]bool
	loop.duringTurns(func() { marked = loop.MarkInDoubt([]api.WebhookID{id, id + 1}) })
	assert.Equal(t, map[api.WebhookID]bool{id: true}, marked)
	loop.fake.callsAllowed = true
	loop.Reevaluate()
	assert.Len(t, loop.parkedWebhooks(), 1, "still parked")
	loop.DeadLetterInDoubt(id)
	assert.Empty(t, loop.parkedWebhooks())
	assert.EqualValues(t, 1, loop.inbox.DeadLettered.Load())
}

// Guards against a parked webhook that never gets a result because the owner of its destination is gone.
func TestParkedWebhookEndsBeforeItsTTL(t *testing.T) {
	const ttl = api.Second / 5
	loop := startClusterLoop(t, t.TempDir(), ttl)
	assert.Equal(t, inflight.Accepted, loop.submit(newWebhook("a1", ttl)))
	mayHaveRun := newWebhook("a2", ttl)
	mayHaveRun.Prior = &inflight.PriorAttempts{Attempts: 1, MayHaveRunAt: inflight.Now()}
	assert.Equal(t, inflight.Accepted, loop.submit(mayHaveRun))
	ended := func() bool {
		loop.turn()
		return loop.inbox.RejectedByCallback.Load() == 1 && loop.inbox.DeadLettered.Load() == 1
	}
	assert.Eventually(t, ended, 5*time.Second, time.Millisecond)
	assert.Empty(t, loop.parkedWebhooks())
}
