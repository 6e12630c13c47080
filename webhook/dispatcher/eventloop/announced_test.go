package eventloop

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// whole does something that waits for turns while turns go on.
func (s *side) whole(do func()) {
	done := make(chan struct{})
	go func() { do(); close(done) }()
	for {
		select {
		case <-done:
			return
		default:
			s.turn()
		}
	}
}

// announcement is one for so many subscribers.
func announcement(n int) (all []*inflight.Webhook) {
	for to := range api.DestinationID(n) {
		all = append(all, &inflight.Webhook{RequestID: inflight.ForSubscriber("a", to), Destination: to,
			Body: make([]byte, 1000), Deadline: inflight.Now() + 9*api.Second, ReceivedAt: inflight.Now()})
	}
	return all
}

func TestAnAnnouncementIsTakenOnAsAWholeOrNotAtAll(t *testing.T) {
	s := stands(t, t.TempDir(), api.Second)
	var what inflight.Answer
	s.whole(func() { what = s.SubmitBroadcast(announcement(10)) })
	assert.Equal(t, inflight.Rejected, what, "ten where nine are held")
	assert.Empty(t, s.owes())
	s.whole(func() { what = s.SubmitBroadcast(announcement(9)) })
	assert.Equal(t, inflight.Accepted, what)
	s.whole(func() { what = s.SubmitBroadcast(announcement(1)) })
	assert.Equal(t, inflight.Rejected, what, "nothing is held beyond the buffer")
	assert.Len(t, s.owes(), 9)
}

func TestWhatIsGivenAwayIsCalledByNobodyHereUntilItIsBack(t *testing.T) {
	dir := t.TempDir()
	s := stands(t, dir, 9*api.Second)
	require.Equal(t, inflight.Accepted, s.hand(inflight.Webhook{RequestID: "w", Destination: 3,
		Deadline: inflight.Now() + 9*api.Second, ReceivedAt: inflight.Now()}))
	ok := false
	s.whole(func() { ok = s.HandToRelay(map[inflight.RequestID]int{"w": 1}, 7) })
	assert.False(t, ok, "it was called for here meanwhile, as far as the one who sends knows")
	s.whole(func() { ok = s.HandToRelay(map[inflight.RequestID]int{"w": 0}, 7) })
	require.True(t, ok)
	s.all.home = true
	s.whole(s.regateNow)
	require.Len(t, s.owes(), 1, "it stays parked though it may be called from here")
	assert.EqualValues(t, 7, s.owes()[0].MayHaveRunAt, "in the journal before it is sent")
	for _, never := range []bool{true, false} {
		t.Run("comes back", func(t *testing.T) { comesBack(t, never) })
	}

	s = stands(t, dir, 9*api.Second)
	s.whole(func() { s.RestoreAtRelay([]inflight.RequestID{"w"}) })
	s.all.home = true
	s.whole(s.regateNow)
	require.Len(t, s.owes(), 1, "also in the next life")
	s.whole(func() { ok = s.FinishByRelay([]inflight.Result{{RequestID: "w", Status: inflight.StatusDelivered}}) })
	assert.True(t, ok)
	assert.Empty(t, s.owes())
	assert.Empty(t, stands(t, dir, 9*api.Second).owes())
}

func TestNoticesOfAnAnnouncementNameTheSubscriber(t *testing.T) {
	s := stands(t, t.TempDir(), api.Second)
	w := announcement(8)[7]
	assert.Equal(t, `{"message":"a","dest":7,"outcome":"given_up"}`,
		string(s.nameSubscriber(w, []byte(`{"message":"a.dest=7","outcome":"given_up"}`))))
}

func TestAnEndThatAnotherIsOwedOutlastsTheProcessAndIsNoNotice(t *testing.T) {
	end := inflight.Result{RequestID: "w.dest=4", Status: inflight.StatusRejected, RetryAfter: 5, Attempts: 2, MayHaveRun: true}
	again, is := inflight.DecodeResult(end.Encode())
	assert.True(t, is)
	assert.Equal(t, end, again)
	_, is = inflight.DecodeResult([]byte(`{"message":"w","outcome":"given_up"}`))
	assert.False(t, is)
}

func (d *Loop) regateNow() { d.runInTurn(d.reevaluate) }

// comesBack guards against a second effect: what may have run elsewhere may run once only, and is over here.
func comesBack(t *testing.T, never bool) {
	s := stands(t, t.TempDir(), 9*api.Second)
	require.Equal(t, inflight.Accepted, s.hand(webhook("w", 9*api.Second)))
	s.whole(func() { s.HandToRelay(map[inflight.RequestID]int{"w": 0}, inflight.Now()) })
	s.whole(func() { s.TakeBack(map[inflight.RequestID]TakenBack{"w": {NeverReceived: never}}) })
	s.all.home = true
	s.whole(s.regateNow)
	assert.EqualValues(t, map[bool]int{true: 0, false: 1}[never], s.inbox.GivenUp.Load())
}

func TestWhatIsGivenAwayHasAWhileForItsEndToBeHeard(t *testing.T) {
	s := stands(t, t.TempDir(), api.Second/5)
	require.Equal(t, inflight.Accepted, s.hand(webhook("w", api.Second/5)))
	s.whole(func() { s.HandToRelay(map[inflight.RequestID]int{"w": 0}, inflight.Now()) })
	for until := inflight.Now() + api.Second/4; inflight.Now() < until; {
		s.turn()
	}
	require.Len(t, s.owes(), 1, "its time is over, and whoever has it may have delivered it just before")
	s.whole(func() { s.FinishByRelay([]inflight.Result{{RequestID: "w", Status: inflight.StatusDelivered}}) })
	assert.Zero(t, s.inbox.GivenUp.Load())
	assert.Empty(t, s.owes())

	require.Equal(t, inflight.Accepted, s.hand(webhook("v", api.Second/5)))
	s.whole(func() { s.HandToRelay(map[inflight.RequestID]int{"v": 0}, inflight.Now()) })
	over := func() bool { s.turn(); return s.inbox.GivenUp.Load() == 1 }
	assert.Eventually(t, over, 5*time.Second, time.Millisecond)
}
