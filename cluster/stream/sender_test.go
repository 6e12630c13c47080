package stream

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/webhook/api"
)

const latencyTarget = api.Second

func newItem(id uint64, key api.OrderingKey, to ...api.DestinationID) Item {
	return Item{
		ID:             MessageID{Origin: "m1", Incarnation: 1, Number: id},
		RequestID:      "r",
		IsAnnouncement: len(to) > 1,
		Key:            key,
		Deadline:       100 * api.Second,
		FirstAttemptAt: api.Never,
		Body:           []byte("body"),
		Destinations:   to,
	}
}

func deliveryTo(id uint64, d api.DestinationID) Delivery {
	return Delivery{Message: MessageID{Origin: "m1", Incarnation: 1, Number: id}, Destination: d}
}

// newOpenStream returns a sender of epoch 1 and a receiver with an open generation.
func newOpenStream(t *testing.T, capacity int) (*Sender, *Receiver) {
	t.Helper()
	s, r := NewSender(1, 0), NewReceiver(Checkpoint{Incarnation: 9}, nil, nil)
	openStream(t, s, r, capacity)
	return s, r
}

func openStream(t *testing.T, s *Sender, r *Receiver, capacity int) (requeued []Delivery, lost []InDoubt) {
	t.Helper()
	request := s.OpenRequest()
	known, err := r.Open(request)
	require.NoError(t, err)
	a := r.Ack(capacity, 0)
	a.Pending = known
	return s.HandleOpened(request, a, false, 0)
}

func nextFrame(t *testing.T, s *Sender, now api.Micros) Frame {
	t.Helper()
	f, ok := s.NextFrame(now)
	require.True(t, ok)
	return f
}

func TestSender_GathersAnnouncement(t *testing.T) {
	s, r := newOpenStream(t, 100)
	s.Add(newItem(1, 0, 3, 4, 500), latencyTarget, 0)
	s.Add(newItem(2, 0, 3, 4, 500), latencyTarget, 10)
	at, ok := s.NextFrameAt()
	require.True(t, ok)
	assert.Equal(t, latencyTarget/50, at)
	_, early := s.NextFrame(at - 1)
	assert.False(t, early)
	f := nextFrame(t, s, at)
	assert.Len(t, f.Bodies, 1)
	assert.Len(t, f.DestinationLists, 1)
	fresh, err := r.Receive(f)
	require.NoError(t, err)
	require.Len(t, fresh, 2)
	assert.Equal(t, []api.DestinationID{3, 4, 500}, fresh[1].Destinations)
	assert.Equal(t, "r.dest=500", fresh[1].RequestIDFor(500))
	again, err := r.Receive(f)
	assert.NoError(t, err)
	assert.Empty(t, again)
}

func TestSender_UnhealthyDestinationBlocksNoOther(t *testing.T) {
	s, r := newOpenStream(t, 8)
	for id := range uint64(8) {
		s.Add(newItem(id, 0, 3), latencyTarget, 0)
	}
	s.Add(newItem(8, 0, 4), latencyTarget, 0)
	f := nextFrame(t, s, latencyTarget)
	_, err := r.Receive(f)
	require.NoError(t, err)
	assert.Len(t, f.Items, 5, "four for subscriber 3, and the last one, for subscriber 4")
	r.RecordResult(Result{Delivery: deliveryTo(0, 3), Outcome: Delivered})
	s.Complete(deliveryTo(0, 3))
	f = nextFrame(t, s, latencyTarget)
	assert.Equal(t, uint64(4), f.Items[0].ID.Number, "subscriber 3's deliveries stay in order")
}

func TestSender_RetransmitsUnackedFrames(t *testing.T) {
	s, r := newOpenStream(t, 100)
	s.Add(newItem(1, 0, 3), latencyTarget, 0)
	lost := nextFrame(t, s, latencyTarget)
	s.Add(newItem(2, 0, 3), latencyTarget, latencyTarget)
	f := nextFrame(t, s, 3*latencyTarget)
	fresh, err := r.Receive(f)
	require.NoError(t, err)
	assert.Empty(t, fresh, "the frame before this one is missing")
	s.HandleAck(r.Ack(100, 0), 0)
	s.Retransmit()
	f = nextFrame(t, s, 4*latencyTarget)
	assert.Equal(t, lost.Items, f.Items)
	assert.Equal(t, 2, s.UnackedFrames())
}

func TestSender_KeyReturnsToStreamAfterBypass(t *testing.T) {
	s, r := newOpenStream(t, 100)
	s.MarkUnreachable()
	for range 2 { // the origin adds the delivery again before it learns that it bypassed the relay
		s.Add(newItem(1, 5, 3), latencyTarget, 0)
		require.Len(t, s.TakeBypassing(), 1)
	}
	s.Complete(deliveryTo(1, 3))
	openStream(t, s, r, 100)
	s.Add(newItem(2, 5, 3), latencyTarget, 0)
	assert.Empty(t, s.TakeBypassing())
	fresh, err := r.Receive(nextFrame(t, s, latencyTarget))
	require.NoError(t, err)
	assert.Len(t, fresh, 1)
}

func TestSender_SlowStartAfterRelayReturns(t *testing.T) {
	s, r := newOpenStream(t, 64)
	s.MarkUnreachable()
	openStream(t, s, r, 64)
	for id := range uint64(64) {
		s.Add(newItem(id, 0, api.DestinationID(id)), latencyTarget, 0)
	}
	completed := uint64(0)
	for _, most := range []int{4, 8, 16, 32} {
		f := nextFrame(t, s, latencyTarget)
		_, err := r.Receive(f)
		require.NoError(t, err)
		sent := completed + uint64(len(f.Items))
		for ; completed < sent; completed++ {
			s.Complete(deliveryTo(completed, api.DestinationID(completed)))
		}
		assert.LessOrEqual(t, len(f.Items), most)
	}
	assert.Greater(t, completed, uint64(50), "the window grows")
}

func TestSender_PollsFullRelayForCredit(t *testing.T) {
	s, r := newOpenStream(t, 1)
	s.Add(newItem(1, 0, 3), latencyTarget, 0)
	s.Add(newItem(2, 0, 4), latencyTarget, 0)
	_, err := r.Receive(nextFrame(t, s, latencyTarget))
	require.NoError(t, err)
	_, due := s.NextFrameAt()
	assert.False(t, due)
	r.RecordResult(Result{Delivery: deliveryTo(1, 3), Outcome: Delivered})
	_, err = r.Open(s.OpenRequest())
	require.NoError(t, err)
	assert.True(t, s.HandleAck(r.Ack(1, 0), 0))
	assert.Equal(t, uint64(2), nextFrame(t, s, latencyTarget).Items[0].ID.Number)
}

func TestSender_DetachedDestinationBypassesRelay(t *testing.T) {
	s, _ := newOpenStream(t, 100)
	s.Add(newItem(1, 7, 3), latencyTarget, 0)
	nextFrame(t, s, latencyTarget)
	s.Add(newItem(2, 7, 3), latencyTarget, latencyTarget)
	s.Add(newItem(3, 0, 3), latencyTarget, latencyTarget)
	s.DetachDestination(3)
	assert.Equal(t, []Delivery{deliveryTo(3, 3)}, s.TakeBypassing(), "2 waits for 1, which the relay may have")
	s.Complete(deliveryTo(1, 3))
	assert.Equal(t, []Delivery{deliveryTo(2, 3)}, s.TakeBypassing())
	s.AttachDestination(3)
	s.Add(newItem(4, 7, 3), latencyTarget, latencyTarget)
	assert.Equal(t, []Delivery{deliveryTo(4, 3)}, s.TakeBypassing(), "2 has no result yet")
	s.Complete(deliveryTo(2, 3))
	s.Complete(deliveryTo(4, 3))
	s.Add(newItem(5, 7, 3), latencyTarget, latencyTarget)
	assert.Equal(t, uint64(5), nextFrame(t, s, 3*latencyTarget).Items[0].ID.Number)
}

func TestSender_ClockOffsetNeverPostponesDeadlines(t *testing.T) {
	const ahead, slow = 50 * api.Second, 3 * api.Second
	s, r := NewSender(1, 0.1), NewReceiver(Checkpoint{Incarnation: 9}, nil, nil)
	request := s.OpenRequest()
	_, err := r.Open(request)
	require.NoError(t, err)
	s.HandleOpened(request, r.Ack(100, ahead), false, slow) // the ack was sent at time 0 of the sender's clock
	i := newItem(1, 0, 3)
	i.FirstAttemptAt = 5
	s.Add(i, latencyTarget, slow)
	fresh, err := r.Receive(nextFrame(t, s, 2*slow))
	require.NoError(t, err)
	drift := slow / 10
	assert.Equal(t, i.Deadline+ahead-slow-drift, fresh[0].Deadline)
	assert.Equal(t, i.FirstAttemptAt+ahead-slow-drift, fresh[0].FirstAttemptAt)
	assert.True(t, s.HandleAck(r.Ack(100, ahead+2*slow), 2*slow), "a fast ack")
	assert.Equal(t, ahead, s.clockOffset(2*slow))
}
