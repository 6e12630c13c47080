package stream

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

const target = api.Second

func item(id uint64, key api.OrderingKey, to ...api.DestinationID) Item {
	return Item{ID: MessageID{Origin: "m1", Incarnation: 1, Number: id}, RequestID: "r", Key: key, TTL: 100 * api.Second,
		FirstAttemptAt: api.Never, Body: []byte("body"), Destinations: to, IsAnnouncement: len(to) > 1}
}

func to(id uint64, d api.DestinationID) Delivery {
	return Delivery{Message: MessageID{Origin: "m1", Incarnation: 1, Number: id}, Destination: d}
}

// opened is a sender and a relay that know each other.
func opened(t *testing.T, epoch cluster.Epoch, buffer int) (*Sender, *Receiver) {
	s, r := NewSender(epoch, 0), NewReceiver(Checkpoint{Incarnation: 9}, nil, nil)
	open(t, s, r, buffer)
	return s, r
}

func open(t *testing.T, s *Sender, r *Receiver, buffer int) (again []Delivery, lost []InDoubt) {
	ask := s.OpenRequest()
	held, err := r.Open(ask)
	require.NoError(t, err)
	a := r.Ack(buffer, 0)
	a.Pending = held
	return s.HandleOpened(ask, a, false, 0)
}

func next(t *testing.T, s *Sender, now api.Micros) Frame {
	f, ok := s.NextFrame(now)
	require.True(t, ok)
	return f
}

func TestAnAnnouncementGathersThenGoesOnceWithItsList(t *testing.T) {
	s, r := opened(t, 1, 100)
	s.Add(item(1, 0, 3, 4, 500), target, 0)
	s.Add(item(2, 0, 3, 4, 500), target, 10)
	at, ok := s.NextFrameAt()
	require.True(t, ok)
	assert.Equal(t, target/50, at)
	_, early := s.NextFrame(at - 1)
	assert.False(t, early)
	f := next(t, s, at)
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

func TestASickSubscriberHoldsNoOther(t *testing.T) {
	s, r := opened(t, 1, 8)
	for id := range uint64(8) {
		s.Add(item(id, 0, 3), target, 0)
	}
	s.Add(item(8, 0, 4), target, 0)
	f := next(t, s, target)
	_, err := r.Receive(f)
	require.NoError(t, err)
	assert.Len(t, f.Items, 5, "four of subscriber 3, and the one of 4 that came last")
	r.RecordResult(Result{Delivery: to(0, 3), Outcome: Delivered})
	s.Complete(to(0, 3))
	f = next(t, s, target)
	assert.Equal(t, uint64(4), f.Items[0].ID.Number, "its own stay behind one another")
}

func TestAfterACutWhatIsNotAnsweredGoesAgain(t *testing.T) {
	s, r := opened(t, 1, 100)
	s.Add(item(1, 0, 3), target, 0)
	lost := next(t, s, target)
	s.Add(item(2, 0, 3), target, target)
	f := next(t, s, 3*target)
	fresh, err := r.Receive(f)
	require.NoError(t, err)
	assert.Empty(t, fresh, "behind a gap")
	s.HandleAck(r.Ack(100, 0), 0)
	s.Retransmit()
	f = next(t, s, 4*target)
	assert.Equal(t, lost.Items, f.Items)
	assert.Equal(t, 2, s.UnackedFrames())
}

func TestALowerEpochIsRefusedAlsoAfterARestart(t *testing.T) {
	old, r := opened(t, 1, 100)
	old.Add(item(1, 0, 3), target, 0)
	late := next(t, old, target)
	open(t, NewSender(2, 0), r, 100)
	r = NewReceiver(r.Checkpoint(), nil, nil)
	_, err := r.Receive(late)
	assert.ErrorIs(t, err, cluster.ErrFenced)
	old.MarkUnreachable()
	held, err := r.Open(old.OpenRequest())
	assert.ErrorIs(t, err, cluster.ErrFenced)
	assert.Empty(t, held)
	again, _ := old.HandleOpened(old.OpenRequest(), r.Ack(100, 0), true, 0)
	assert.Equal(t, []Delivery{to(1, 3)}, again)
	assert.Equal(t, again, old.TakeBypassing(), "it goes to the new holder")
}

func TestAKeyThatWentBesideTwiceComesBackToTheStream(t *testing.T) {
	s, r := opened(t, 1, 100)
	s.MarkUnreachable()
	for range 2 { // its owner had listed it before it was told of the first time
		s.Add(item(1, 5, 3), target, 0)
		require.Len(t, s.TakeBypassing(), 1)
	}
	s.Complete(to(1, 3))
	open(t, s, r, 100)
	s.Add(item(2, 5, 3), target, 0)
	assert.Empty(t, s.TakeBypassing())
	fresh, err := r.Receive(next(t, s, target))
	require.NoError(t, err)
	assert.Len(t, fresh, 1)
}
