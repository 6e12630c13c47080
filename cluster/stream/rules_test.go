package stream

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/webhook/api"
)

func TestWhatTheRelayHasIsNotTakenOnceMore(t *testing.T) {
	old, r := opened(t, 1, 100)
	old.Add(item(1, 0, 3, 4), target, 0)
	_, err := r.Receive(next(t, old, target))
	require.NoError(t, err)
	r.RecordResult(Result{Delivery: to(1, 3), Outcome: Delivered})
	s := NewSender(2, 0) // its journal lacks that these were sent
	open(t, s, r, 100)
	s.Add(item(1, 0, 3, 4, 5), target, target)
	fresh, err := r.Receive(next(t, s, 2*target))
	require.NoError(t, err)
	require.Len(t, fresh, 1)
	assert.Equal(t, []api.DestinationID{5}, fresh[0].Destinations)
}

func TestAFrameForAFolderThatIsLostIsNotTakenByTheNext(t *testing.T) {
	s, _ := opened(t, 1, 100)
	s.Add(item(1, 0, 3), target, 0)
	late := next(t, s, target)
	r := NewReceiver(Checkpoint{Incarnation: 10}, nil, nil)
	_, err := r.Open(s.OpenRequest()) // asked for news of its room
	require.NoError(t, err)
	_, err = r.Receive(late)
	assert.ErrorIs(t, err, ErrNotOpen)
	assert.False(t, s.HandleAck(r.Ack(100, 0), 0))
	assert.Len(t, s.MarkUnreachable(), 1)
	again, lost := open(t, s, r, 100)
	assert.Empty(t, again)
	assert.Equal(t, []InDoubt{{to(1, 3), target, 0}}, lost)
}

func TestARelayThatIsBackIsNotPushedOver(t *testing.T) {
	s, r := opened(t, 1, 64)
	s.MarkUnreachable()
	open(t, s, r, 64)
	for id := range uint64(64) {
		s.Add(item(id, 0, api.DestinationID(id)), target, 0)
	}
	was := uint64(0)
	for _, most := range []int{4, 8, 16, 32} {
		f := next(t, s, target)
		_, err := r.Receive(f)
		require.NoError(t, err)
		now := was + uint64(len(f.Items))
		for ; was < now; was++ {
			s.Complete(to(was, api.DestinationID(was)))
		}
		assert.LessOrEqual(t, len(f.Items), most)
	}
	assert.Greater(t, was, uint64(50), "but it grows")
}

func TestAFullRelayIsAskedForNewsAndThenGetsMore(t *testing.T) {
	s, r := opened(t, 1, 1)
	s.Add(item(1, 0, 3), target, 0)
	s.Add(item(2, 0, 4), target, 0)
	_, err := r.Receive(next(t, s, target))
	require.NoError(t, err)
	_, due := s.NextFrameAt()
	assert.False(t, due)
	r.RecordResult(Result{Delivery: to(1, 3), Outcome: Delivered})
	_, err = r.Open(s.OpenRequest())
	require.NoError(t, err)
	assert.True(t, s.HandleAck(r.Ack(1, 0), 0))
	assert.Equal(t, uint64(2), next(t, s, target).Items[0].ID.Number)
}

func TestASubscriberThatLeavesTakesWhatWasNotSent(t *testing.T) {
	s, _ := opened(t, 1, 100)
	s.Add(item(1, 7, 3), target, 0)
	next(t, s, target)
	s.Add(item(2, 7, 3), target, target)
	s.Add(item(3, 0, 3), target, target)
	s.DetachDestination(3)
	assert.Equal(t, []Delivery{to(3, 3)}, s.TakeBypassing(), "2 is behind 1, which ends where it is")
	s.Complete(to(1, 3))
	assert.Equal(t, []Delivery{to(2, 3)}, s.TakeBypassing())
	s.AttachDestination(3)
	s.Add(item(4, 7, 3), target, target)
	assert.Equal(t, []Delivery{to(4, 3)}, s.TakeBypassing(), "2 has not ended")
	s.Complete(to(2, 3))
	s.Complete(to(4, 3))
	s.Add(item(5, 7, 3), target, target)
	assert.Equal(t, uint64(5), next(t, s, 3*target).Items[0].ID.Number)
}

func TestNoTimeIsLaterAtTheRelayHoweverSlowTheLink(t *testing.T) {
	const ahead, slow = 50 * api.Second, 3 * api.Second
	s, r := NewSender(1, 0.1), NewReceiver(Checkpoint{Incarnation: 9}, nil, nil)
	ask := s.OpenRequest()
	_, err := r.Open(ask)
	require.NoError(t, err)
	s.HandleOpened(ask, r.Ack(100, ahead), false, slow) // said at 0 by the sender's clock
	i := item(1, 0, 3)
	i.FirstAttemptAt = 5
	s.Add(i, target, slow)
	fresh, err := r.Receive(next(t, s, 2*slow))
	require.NoError(t, err)
	drift := slow / 10
	assert.Equal(t, i.TTL+ahead-slow-drift, fresh[0].TTL)
	assert.Equal(t, i.FirstAttemptAt+ahead-slow-drift, fresh[0].FirstAttemptAt)
	assert.True(t, s.HandleAck(r.Ack(100, ahead+2*slow), 2*slow), "a quick one")
	assert.Equal(t, ahead, s.lag(2*slow))
}

func TestRuleOnWhatIsUnsure(t *testing.T) {
	const last, at = 100 * api.Second, api.Second
	idempotent, once := api.EventType{}, api.EventType{Semantics: api.AtMostOnce}
	tokened := api.EventType{Semantics: api.Deduplicated, DedupWindow: 10 * api.Second}
	zoned := tokened
	zoned.DedupByZone = true
	plain, ordered, ran := item(1, 0, 3), item(1, 7, 3), item(1, 0, 3)
	ran.FirstAttemptAt = 0
	for _, c := range []struct {
		i    *Item
		t    api.EventType
		lost bool
		now  api.Micros
		is   Resolution
		why  string
	}{
		{&plain, idempotent, false, 2 * at, ResolveRetry, "may run again"},
		{&plain, idempotent, false, last, ResolveDeadLetter, "late"},
		{&ordered, idempotent, false, 2 * at, ResolveWait, "it could run there after those behind it"},
		{&ordered, idempotent, true, 2 * at, ResolveRetry, "it runs there no more"},
		{&plain, once, false, 2 * at, ResolveWait, "may have run"},
		{&plain, once, true, 2 * at, ResolveDeadLetter, "nobody will tell"},
		{&plain, tokened, false, 2 * at, ResolveRetry, "inside its window"},
		{&plain, tokened, false, 11 * at, ResolveWait, "outside"},
		{&plain, tokened, true, 11 * at, ResolveDeadLetter, "outside, and nobody will tell"},
		{&ran, tokened, false, 10 * at, ResolveWait, "the window counts from the first"},
		{&plain, zoned, false, 2 * at, ResolveWait, "which zone remembers it is not known"},
	} {
		assert.Equal(t, c.is, Resolve(c.i, at, c.t, c.lost, last, c.now), c.why)
	}
}

func TestAnOrderedOneLostGoesOnlyIfThoseBehindItDo(t *testing.T) {
	lost := []InDoubt{{to(1, 3), 0, 7}, {to(2, 3), 0, 7}, {to(3, 3), 0, 0}, {to(4, 4), 0, 7}, {to(5, 3), 0, 7}}
	got := ResolveLost(lost, func(u InDoubt) Resolution {
		if u.Message.Number == 2 {
			return ResolveDeadLetter
		}
		return ResolveRetry
	})
	assert.Equal(t, []Resolution{ResolveDeadLetter, ResolveDeadLetter, ResolveRetry, ResolveRetry, ResolveRetry}, got)
}

func TestOnlySuccessEndsWhatGoesOnBesideTheRelay(t *testing.T) {
	assert.Equal(t, FinishDelivery, ActionForResult(Result{Outcome: Rejected}, LocationRelay, false))
	assert.Equal(t, IgnoreResult, ActionForResult(Result{Outcome: Rejected}, LocationLocal, false))
	assert.Equal(t, WithdrawDelivery, ActionForResult(Result{Outcome: Delivered}, LocationLocal, false))
	assert.Equal(t, IgnoreResult, ActionForResult(Result{Outcome: Delivered}, 0, true))
	assert.Equal(t, WithdrawDelivery, ActionForResult(Result{Outcome: DeadLettered}, LocationLocal, true), "those behind it may have run since")
}

func TestEndsAreToldInTheOrderInWhichTheyCame(t *testing.T) {
	owed := []Result{{Delivery: to(2, 3)}, {Delivery: to(1, 3)}}
	r := NewReceiver(Checkpoint{Incarnation: 9}, []Delivery{to(3, 3)}, owed)
	r.RecordResult(Result{Delivery: to(3, 3)})
	assert.Equal(t, append(owed, Result{Delivery: to(3, 3)}), r.UnacknowledgedResults("m1", 9))
	assert.Empty(t, r.UnacknowledgedResults("m2", 9))
	r.AcknowledgeResults([]Delivery{to(2, 3)})
	assert.Equal(t, owed[1:], r.UnacknowledgedResults("m1", 1))
	assert.NotEmpty(t, r.OriginsAwaitingResults())
}
