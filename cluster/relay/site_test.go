package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/cluster/stream"
	"rowanlink/webhook/api"
)

func (s *testSite) add(id uint64, to ...api.DestinationID) {
	i := stream.Item{
		ID:             stream.MessageID{Origin: "m", Incarnation: 1, Number: id},
		RequestID:      "a",
		IsAnnouncement: true,
		Deadline:       1 << 60,
		FirstAttemptAt: api.Never,
		Body:           []byte("b"),
		Destinations:   to,
	}
	s.mu.Lock()
	for _, d := range to {
		s.unfinished[stream.Delivery{Message: i.ID, Destination: d}] = stream.LocationRelay
	}
	s.mu.Unlock()
	s.sender.Add(i, 10_000)
}

// waitForResults waits until n deliveries have a result. It returns how many further results and attempts they had.
func (s *testSite) waitForResults(n int) (extraResults, extraAttempts int) {
	require.Eventually(s.t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.results) == n && len(s.unfinished) == 0
	}, 20*time.Second, 5*time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	for d, times := range s.results {
		extraResults += times - 1
		extraAttempts += max(s.attempts[d]-1, 0)
	}
	return extraResults, extraAttempts
}

func destinations(n int) (all []api.DestinationID) {
	for d := range n {
		all = append(all, api.DestinationID(d+1))
	}
	return all
}

func TestSite_ResultsOnceDespiteLossAndDuplication(t *testing.T) {
	s := newTestSite(t)
	s.toRelay.set(false, 2)
	s.toOrigin.set(false, 2)
	for id := range uint64(20) {
		s.add(id, destinations(20)...)
	}
	extraResults, extraAttempts := s.waitForResults(400)
	assert.Zero(t, extraResults)
	assert.Zero(t, extraAttempts)
}

func TestSender_RetransmitsLastFrame(t *testing.T) {
	s := newTestSite(t)
	s.toRelay.mu.Lock()
	s.toRelay.lostFrames = 1
	s.toRelay.mu.Unlock()
	s.add(1, 1, 2)
	extraResults, extraAttempts := s.waitForResults(2)
	assert.Zero(t, extraResults)
	assert.Zero(t, extraAttempts)
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.unacknowledged) == 0
	}, 10*time.Second, time.Millisecond, "acknowledged results are forgotten")
}

func TestReceiver_RestartLosesAndRepeatsNothing(t *testing.T) {
	s := newTestSite(t)
	s.blocked[3] = true // an unhealthy destination must not block the others
	for id := range uint64(10) {
		s.add(id, destinations(5)...)
	}
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.results) == 40
	}, 10*time.Second, 5*time.Millisecond)
	_ = s.server.Close(time.Second)
	s.receiver.Close()
	s.add(10, destinations(5)...)
	s.startRelay()
	s.mu.Lock()
	s.blocked[3] = false
	s.mu.Unlock()
	extraResults, extraAttempts := s.waitForResults(55)
	assert.Zero(t, extraResults)
	assert.Zero(t, extraAttempts)
}

func TestSender_PartitionBypassesOnlyWhatWasNotSent(t *testing.T) {
	s := newTestSite(t)
	s.blocked[1] = true
	s.add(1, 1)
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.pending) == 1
	}, 10*time.Second, time.Millisecond)
	s.toRelay.set(true, 1)
	s.toOrigin.set(true, 1)
	require.Eventually(t, func() bool { return s.sender.IsUnreachable() }, 10*time.Second, 5*time.Millisecond)
	s.add(2, 1, 2)
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.bypassed == 2
	}, 10*time.Second, 5*time.Millisecond)
	s.mu.Lock()
	assert.Len(t, s.unfinished, 1, "the delivery at the relay may have run")
	s.blocked[1] = false
	s.mu.Unlock()
	s.toRelay.set(false, neverFaulty)
	s.toOrigin.set(false, neverFaulty)
	extraResults, extraAttempts := s.waitForResults(3)
	assert.Zero(t, extraResults)
	assert.Zero(t, extraAttempts)
}

func TestReceiver_FullDiskRejectsWholeFrame(t *testing.T) {
	s := newTestSite(t)
	s.mu.Lock()
	s.diskFull = true
	s.mu.Unlock()
	s.add(1, 1, 2)
	time.Sleep(TimingFor(leaseTTL).PollInterval * 4)
	s.mu.Lock()
	s.diskFull = false
	s.mu.Unlock()
	extraResults, extraAttempts := s.waitForResults(2)
	assert.Zero(t, extraResults)
	assert.Zero(t, extraAttempts)
}
