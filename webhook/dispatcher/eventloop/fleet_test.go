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

// elsewhere is a fleet of which this dispatcher may call nobody, until it is home.
type elsewhere struct{ home, doubts bool }

func (e *elsewhere) MayCall(api.DestinationID, bool) bool { return e.home }
func (e *elsewhere) RateShare(api.DestinationID) float64  { return 1 }
func (e *elsewhere) IsInDoubt(inflight.RequestID) bool    { return e.doubts }

// side is a dispatcher without its sockets' other ends.
type side struct {
	*Loop
	kept *wal.Log
	all  *elsewhere
}

func stands(t *testing.T, dir string, ttl api.Micros) *side {
	return standsBeside(t, dir, ttl, &elsewhere{})
}

func standsBeside(t *testing.T, dir string, ttl api.Micros, all *elsewhere) *side {
	kept, err := wal.Open(dir, 1)
	require.NoError(t, err)
	x, life := inflight.New(), &lifecycle.Lifecycle{}
	life.Enter(lifecycle.Serving)
	d := New(x, life, kept, api.Settings{MaxInFlight: 4, BufferSize: 9, MaxAttempts: 3, MinTurnInterval: 1000, RatesListed: true,
		EventTypes: []api.EventType{{LatencyTarget: ttl / 9, TTL: ttl, Semantics: api.AtMostOnce}}})
	d.JoinCluster(all)
	d.Begin(upstream.New(&x.Counters, d.CallFinished, api.Second, api.Second, 4),
		callback.New("127.0.0.1:1", &x.Counters, d.CallbacksDelivered),
		func(f api.Settings, h api.Host) api.Policy { return policy.New(f, h) })
	d.UpdateEndpoints([]api.EndpointEntry{{Endpoint: 1, Destination: 3, Rate: 500}}, []string{"127.0.0.1:1"}, true)
	d.turn()
	return &side{d, kept, all}
}

func (s *side) hand(w inflight.Webhook) inflight.Answer {
	said := make(chan inflight.Answer, 1)
	go func() {
		what, _ := s.inbox.SubmitLocal(&w)
		said <- what
	}()
	for len(said) == 0 {
		s.turn()
		time.Sleep(time.Millisecond)
	}
	return <-said
}

// during takes turns until something is through.
func (s *side) during(do func()) {
	done := make(chan struct{})
	go func() { do(); close(done) }()
	for {
		s.turn()
		select {
		case <-done:
			return
		case <-time.After(time.Millisecond):
		}
	}
}

func (s *side) owes() (all []Parked) {
	s.during(func() { all, _ = s.ParkedWebhooks(func(*inflight.Webhook) bool { return true }) })
	return all
}

func webhook(id inflight.RequestID, ttl api.Micros) inflight.Webhook {
	now := inflight.Now()
	return inflight.Webhook{RequestID: id, Destination: 3, ReceivedAt: now, Deadline: now + ttl}
}

// Guards against two callers: what belongs to another home is taken on, owed over a restart and called by
// nobody here, and is over here once it was passed on.
func TestWhatMayNotBeCalledFromHereIsParkedOverARestartAndPassedOn(t *testing.T) {
	dir, ttl := t.TempDir(), 90*api.Second
	s := stands(t, dir, ttl)
	assert.Equal(t, inflight.Accepted, s.hand(webhook("a1", ttl)))
	assert.Zero(t, s.inbox.Calls.Load())
	require.NoError(t, s.kept.Close())
	s = stands(t, dir, ttl)
	all := s.owes()
	require.Len(t, all, 1)
	s.during(func() { s.FinishTransferred([]api.WebhookID{all[0].ID}) })
	s.all.home = true
	s.Reevaluate()
	assert.Empty(t, s.owes())
	assert.Zero(t, s.inbox.Calls.Load())
	require.NoError(t, s.kept.Close())
	assert.Empty(t, stands(t, dir, ttl).owes(), "nor does a restart bring it back")
}

// Guards against a second effect: an attempt of an earlier owner is not forgotten by the next.
func TestWhatMayHaveRunElsewhereIsNotCalledAgainIfItMayNotRunTwice(t *testing.T) {
	ttl := 90 * api.Second
	s := stands(t, t.TempDir(), ttl)
	s.all.home = true
	clean, ran := webhook("a1", ttl), webhook("a2", ttl)
	clean.Prior = &inflight.PriorAttempts{Attempts: 1, MayHaveRunAt: api.Never}
	ran.Prior = &inflight.PriorAttempts{Attempts: 1, MayHaveRunAt: inflight.Now() - api.Second}
	assert.Equal(t, inflight.Accepted, s.hand(ran))
	assert.EqualValues(t, 1, s.inbox.GivenUp.Load(), "told at once")
	assert.Equal(t, inflight.Accepted, s.hand(clean))
	assert.EqualValues(t, 1, s.inbox.GivenUp.Load(), "it never ran, and is tried again")
}

// Guards against a webhook called by two: in doubt it waits, though this is its home, until that is settled,
// after a restart too; and what may have run meanwhile and may not run twice is told of at once.
func TestInDoubtNobodyCallsUntilItIsSettled(t *testing.T) {
	ttl := 90 * api.Second
	for _, ran := range []bool{false, true} {
		dir := t.TempDir()
		s := stands(t, dir, ttl)
		s.all.home = true
		w := webhook("a1", ttl)
		w.InDoubt = true
		assert.Equal(t, inflight.Accepted, s.hand(w))
		require.NoError(t, s.kept.Close())
		earlier := &elsewhere{home: true, doubts: true}
		s = standsBeside(t, dir, ttl, earlier)
		all := s.owes()
		require.Len(t, all, 1)
		assert.True(t, all[0].MayBeElsewhere)
		if ran {
			s.during(func() {
				s.MergePriorAttempts(map[inflight.RequestID]*inflight.PriorAttempts{"a1": {Attempts: 1, MayHaveRunAt: inflight.Now()}})
			})
		}
		s.ResolveInDoubt([]inflight.RequestID{"a1"})
		s.owes()
		assert.EqualValues(t, map[bool]int{false: 0, true: 1}[ran], s.inbox.GivenUp.Load())
	}
}

// Guards against a webhook offered to another member and called here as well: only what is still parked is
// marked, and what is marked is not called, wherever its home is by then.
func TestWhatIsOfferedIsNotCalledMeanwhile(t *testing.T) {
	ttl := 90 * api.Second
	s := stands(t, t.TempDir(), ttl)
	assert.Equal(t, inflight.Accepted, s.hand(webhook("a1", ttl)))
	id := s.owes()[0].ID
	var marked map[api.WebhookID]bool
	s.during(func() { marked = s.MarkInDoubt([]api.WebhookID{id, id + 1}) })
	assert.Equal(t, map[api.WebhookID]bool{id: true}, marked)
	s.all.home = true
	s.Reevaluate()
	assert.Len(t, s.owes(), 1, "still parked")
	s.DeadLetterInDoubt(id)
	assert.Empty(t, s.owes())
	assert.EqualValues(t, 1, s.inbox.GivenUp.Load())
}

// Guards against a webhook lost while its home is gone: it ends in time.
func TestWhatIsParkedEndsWithItsTTL(t *testing.T) {
	s := stands(t, t.TempDir(), api.Second/5)
	assert.Equal(t, inflight.Accepted, s.hand(webhook("a1", api.Second/5)))
	ran := webhook("a2", api.Second/5)
	ran.Prior = &inflight.PriorAttempts{Attempts: 1, MayHaveRunAt: inflight.Now()}
	assert.Equal(t, inflight.Accepted, s.hand(ran))
	over := func() bool { s.turn(); return s.inbox.HandedBack.Load() == 1 && s.inbox.GivenUp.Load() == 1 }
	assert.Eventually(t, over, 5*time.Second, time.Millisecond)
	assert.Empty(t, s.owes())
}
