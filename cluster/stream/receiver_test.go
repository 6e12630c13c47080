package stream

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

func TestReceiver_FencesLowerEpochAfterRestart(t *testing.T) {
	old, r := newOpenStream(t, 100)
	old.Add(newItem(1, 0, 3), latencyTarget, 0)
	late := nextFrame(t, old, latencyTarget)
	openStream(t, NewSender(2, 0), r, 100)
	r = NewReceiver(r.Checkpoint(), nil, nil)
	_, err := r.Receive(late)
	assert.ErrorIs(t, err, cluster.ErrFenced)
	old.MarkUnreachable()
	known, err := r.Open(old.OpenRequest())
	assert.ErrorIs(t, err, cluster.ErrFenced)
	assert.Empty(t, known)
	requeued, _ := old.HandleOpened(old.OpenRequest(), r.Ack(100, 0), true, 0)
	assert.Equal(t, []Delivery{deliveryTo(1, 3)}, requeued)
	assert.Equal(t, requeued, old.TakeBypassing(), "it goes to the new lease holder")
}

func TestReceiver_IgnoresDeliveriesItHas(t *testing.T) {
	old, r := newOpenStream(t, 100)
	old.Add(newItem(1, 0, 3, 4), latencyTarget, 0)
	_, err := r.Receive(nextFrame(t, old, latencyTarget))
	require.NoError(t, err)
	r.RecordResult(Result{Delivery: deliveryTo(1, 3), Outcome: Delivered})
	s := NewSender(2, 0) // the journal that it starts from does not say that the deliveries were sent
	openStream(t, s, r, 100)
	s.Add(newItem(1, 0, 3, 4, 5), latencyTarget, latencyTarget)
	fresh, err := r.Receive(nextFrame(t, s, 2*latencyTarget))
	require.NoError(t, err)
	require.Len(t, fresh, 1)
	assert.Equal(t, []api.DestinationID{5}, fresh[0].Destinations)
}

func TestReceiver_RejectsFrameOfLostFolder(t *testing.T) {
	s, _ := newOpenStream(t, 100)
	s.Add(newItem(1, 0, 3), latencyTarget, 0)
	late := nextFrame(t, s, latencyTarget)
	r := NewReceiver(Checkpoint{Incarnation: 10}, nil, nil)
	_, err := r.Open(s.OpenRequest()) // a poll for credit
	require.NoError(t, err)
	_, err = r.Receive(late)
	assert.ErrorIs(t, err, ErrNotOpen)
	assert.False(t, s.HandleAck(r.Ack(100, 0), 0))
	assert.Len(t, s.MarkUnreachable(), 1)
	requeued, lost := openStream(t, s, r, 100)
	assert.Empty(t, requeued)
	assert.Equal(t, []InDoubt{{Delivery: deliveryTo(1, 3), SentAt: latencyTarget}}, lost)
}

func TestReceiver_ResultsInOrderOfArrival(t *testing.T) {
	unacknowledged := []Result{{Delivery: deliveryTo(2, 3)}, {Delivery: deliveryTo(1, 3)}}
	r := NewReceiver(Checkpoint{Incarnation: 9}, []Delivery{deliveryTo(3, 3)}, unacknowledged)
	r.RecordResult(Result{Delivery: deliveryTo(3, 3)})
	assert.Equal(t, append(unacknowledged, Result{Delivery: deliveryTo(3, 3)}), r.UnacknowledgedResults("m1", 9))
	assert.Empty(t, r.UnacknowledgedResults("m2", 9))
	r.AcknowledgeResults([]Delivery{deliveryTo(2, 3)})
	assert.Equal(t, unacknowledged[1:], r.UnacknowledgedResults("m1", 1))
	assert.NotEmpty(t, r.OriginsAwaitingResults())
}
