package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/cluster/stream"
	"rowanlink/webhook/api"
)

func (s *site) add(id uint64, to ...api.DestinationID) {
	i := stream.Item{ID: stream.MessageID{Origin: "m", Incarnation: 1, Number: id}, RequestID: "a", IsAnnouncement: true, TTL: 1 << 60,
		FirstAttemptAt: api.Never, Body: []byte("b"), Destinations: to}
	s.mu.Lock()
	for _, d := range to {
		s.open[stream.Delivery{Message: i.ID, Destination: d}] = stream.LocationRelay
	}
	s.mu.Unlock()
	s.stream.Add(i, 10_000)
}

// all waits until so many have ended, and tells what ended or ran more than once.
func (s *site) all(n int) (ended, ran int) {
	require.Eventually(s.t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.ends) == n && len(s.open) == 0
	}, 20*time.Second, 5*time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	for d, times := range s.ends {
		ended += times - 1
		ran += max(s.ran[d]-1, 0)
	}
	return ended, ran
}

func to(n int) (all []api.DestinationID) {
	for d := range n {
		all = append(all, api.DestinationID(d+1))
	}
	return all
}

func TestAnnouncementsEndOnceOverALinkThatLosesAndDoubles(t *testing.T) {
	s := begin(t, true)
	s.toward.set(false, 2)
	s.back.set(false, 2)
	for id := range uint64(20) {
		s.add(id, to(20)...)
	}
	ended, ran := s.all(400)
	assert.Zero(t, ended)
	assert.Zero(t, ran)
}

func TestAFrameThatIsLostWithNoneBehindItGoesAgain(t *testing.T) {
	s := begin(t, true)
	s.toward.mu.Lock()
	s.toward.few = 1
	s.toward.mu.Unlock()
	s.add(1, 1, 2)
	ended, ran := s.all(2)
	assert.Zero(t, ended)
	assert.Zero(t, ran)
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.owed) == 0
	}, 10*time.Second, time.Millisecond, "what was heard is owed no more")
}

func TestARelayStartedAgainInTheMiddleLosesAndRepeatsNothing(t *testing.T) {
	s := begin(t, true)
	s.slow[3] = true // sick: the others don't wait
	for id := range uint64(10) {
		s.add(id, to(5)...)
	}
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.ends) == 40
	}, 10*time.Second, 5*time.Millisecond)
	s.server.Close(time.Second)
	s.relay.Close()
	s.add(10, to(5)...)
	s.start()
	s.mu.Lock()
	s.slow[3] = false
	s.mu.Unlock()
	ended, ran := s.all(55)
	assert.Zero(t, ended)
	assert.Zero(t, ran)
}

func TestWhatWasNeverSentGoesDirectAndWhatWasWaits(t *testing.T) {
	s := begin(t, true)
	s.slow[1] = true
	s.add(1, 1)
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.held) == 1
	}, 10*time.Second, time.Millisecond)
	s.toward.set(true, 1)
	s.back.set(true, 1)
	require.Eventually(t, func() bool { return s.stream.IsUnreachable() }, 10*time.Second, 5*time.Millisecond)
	s.add(2, 1, 2)
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.beside == 2
	}, 10*time.Second, 5*time.Millisecond)
	s.mu.Lock()
	assert.Len(t, s.open, 1, "it may have run")
	s.slow[1] = false
	s.mu.Unlock()
	s.toward.set(false, 1<<20)
	s.back.set(false, 1<<20)
	ended, ran := s.all(3)
	assert.Zero(t, ended)
	assert.Zero(t, ran)
}

func TestAFullDiskAtTheRelayIsAnsweredSoAndNothingOfItIsKept(t *testing.T) {
	s := begin(t, true)
	s.mu.Lock()
	s.full = true
	s.mu.Unlock()
	s.add(1, 1, 2)
	time.Sleep(TimingFor(term).PollInterval * 4)
	s.mu.Lock()
	s.full = false
	s.mu.Unlock()
	ended, ran := s.all(2)
	assert.Zero(t, ended)
	assert.Zero(t, ran)
}
