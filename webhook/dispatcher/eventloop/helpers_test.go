package eventloop

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/callback"
	"rowanlink/webhook/dispatcher/inflight"
	"rowanlink/webhook/dispatcher/lifecycle"
	"rowanlink/webhook/dispatcher/upstream"
	"rowanlink/webhook/dispatcher/wal"
	"rowanlink/webhook/policy"
)

// testDestination has one endpoint, at an address where nobody listens.
const testDestination = api.DestinationID(3)

// testBufferSize is the most webhooks that a testLoop holds.
const testBufferSize = 9

// fakeCluster is a cluster in which this dispatcher may call either all destinations or none.
type fakeCluster struct {
	callsAllowed bool
	inDoubt      bool // webhooks of an earlier incarnation are in doubt
}

func (c *fakeCluster) MayCall(api.DestinationID, bool) bool { return c.callsAllowed }
func (c *fakeCluster) RateShare(api.DestinationID) float64  { return 1 }
func (c *fakeCluster) IsInDoubt(inflight.RequestID) bool    { return c.inDoubt }

// testLoop is a Loop without its goroutine: the test itself calls turn.
type testLoop struct {
	*Loop
	fake *fakeCluster // nil without a cluster
}

// startTestLoop starts a Loop on the log in dir; with a nil cluster it is no cluster member.
func startTestLoop(t *testing.T, dir string, eventType api.EventType, cluster *fakeCluster) *testLoop {
	t.Helper()
	log, err := wal.Open(dir, 1)
	require.NoError(t, err)
	inbox := inflight.New()
	life := &lifecycle.Lifecycle{}
	life.Enter(lifecycle.Serving)
	loop := New(inbox, life, log, api.Settings{
		MaxInFlight:     4,
		BufferSize:      testBufferSize,
		MaxAttempts:     3,
		MinTurnInterval: 1000,
		RatesListed:     true,
		EventTypes:      []api.EventType{eventType},
	})
	if cluster != nil {
		loop.JoinCluster(cluster)
	}
	loop.Begin(
		upstream.New(&inbox.Counters, loop.CallFinished, api.Second, api.Second, 4),
		callback.New("127.0.0.1:1", &inbox.Counters, loop.CallbacksDelivered),
		func(settings api.Settings, host api.Host) api.Policy { return policy.New(settings, host) },
	)
	entry := api.EndpointEntry{Endpoint: 1, Destination: testDestination, Rate: 500}
	loop.UpdateEndpoints([]api.EndpointEntry{entry}, []string{"127.0.0.1:1"}, true)
	loop.turn()
	return &testLoop{Loop: loop, fake: cluster}
}

// startClusterLoop starts a Loop for at-most-once webhooks in a cluster that doesn't allow it any calls.
func startClusterLoop(t *testing.T, dir string, ttl api.Micros) *testLoop {
	t.Helper()
	return startTestLoop(t, dir, atMostOnce(ttl), &fakeCluster{})
}

func atMostOnce(ttl api.Micros) api.EventType {
	return api.EventType{LatencyTarget: ttl / 9, TTL: ttl, Semantics: api.AtMostOnce}
}

// newWebhook returns a webhook for testDestination.
func newWebhook(id inflight.RequestID, ttl api.Micros) inflight.Webhook {
	now := inflight.Now()
	return inflight.Webhook{RequestID: id, Destination: testDestination, ReceivedAt: now, Deadline: now + ttl}
}

// submit submits a webhook and takes turns until it is answered.
func (l *testLoop) submit(w inflight.Webhook) (answer inflight.Answer) {
	l.duringTurns(func() { answer, _ = l.inbox.Submit(&w) })
	return answer
}

// duringTurns runs do, which waits for turns of the loop, and takes turns until it has returned.
func (l *testLoop) duringTurns(do func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		do()
	}()
	for {
		l.turn()
		select {
		case <-done:
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// parkedWebhooks returns all parked webhooks.
func (l *testLoop) parkedWebhooks() (all []Parked) {
	l.duringTurns(func() {
		all, _ = l.ParkedWebhooks(func(*inflight.Webhook) bool { return true })
	})
	return all
}

// allowCalls has the cluster allow calls, and waits until the loop has reevaluated its webhooks.
func (l *testLoop) allowCalls() {
	l.fake.callsAllowed = true
	l.duringTurns(func() { l.runInTurn(l.reevaluate) })
}

// handOneToRelay hands a webhook to a relay, with the number of attempts expected, and reports whether that succeeded.
func (l *testLoop) handOneToRelay(id inflight.RequestID, attempts int, at api.Micros) (ok bool) {
	l.duringTurns(func() { ok = l.HandToRelay(map[inflight.RequestID]int{id: attempts}, at) })
	return ok
}

// finishDelivered ends a webhook with a relay's result that says that it was delivered.
func (l *testLoop) finishDelivered(id inflight.RequestID) (written bool) {
	result := inflight.Result{RequestID: id, Status: inflight.StatusDelivered}
	l.duringTurns(func() { written = l.FinishByRelay([]inflight.Result{result}) })
	return written
}
