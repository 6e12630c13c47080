package gossip

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestTakeDueRepair_OfLastingDifference(t *testing.T) {
	e := newTestEngine(9)
	_, due := e.TakeDueRepair(startTime)
	require.True(t, due, "the first repair needs no difference")
	recorded := startTime.Add(time.Second)
	e.RecordDifference(recorded, "m1", []TableID{TableEndpoints})
	assert.Equal(t, recorded.Add(settleDelay), e.NextRepairTime())
	_, due = e.TakeDueRepair(recorded)
	assert.False(t, due, "the entry may still be in transit")
	found, due := e.TakeDueRepair(recorded.Add(settleDelay))
	require.True(t, due)
	assert.Equal(t, "m1", found.Peer.Name)
	assert.Equal(t, []TableID{TableEndpoints}, found.Tables)
	assert.Zero(t, e.NextRepairTime())
}

func TestTakeDueRepair_OfDifferenceThatEnds(t *testing.T) {
	e := newTestEngine(9)
	e.TakeDueRepair(startTime)
	recorded := startTime.Add(time.Second)
	e.RecordDifference(recorded, "m1", []TableID{TableEndpoints})
	e.RecordDifference(recorded.Add(time.Millisecond), "m1", nil)
	_, due := e.TakeDueRepair(recorded.Add(time.Second))
	assert.False(t, due)
}

func TestTakeDueRepair_DuringChanges(t *testing.T) {
	e := newTestEngine(9)
	e.TakeDueRepair(startTime)
	recorded := startTime.Add(time.Second)
	repairs := 0
	for at := time.Duration(0); at < 2*time.Second; at += 10 * time.Millisecond {
		now := recorded.Add(at)
		e.PutLocal(now, endpointEntry("k", uint64(at)+1))
		e.RecordDifference(now, "m1", []TableID{TableEndpoints})
		if _, due := e.TakeDueRepair(now); due {
			repairs++
		}
	}
	assert.InDelta(t, 2*time.Second/maxSettleDelay, repairs, 1)
}

func TestTakeDueRepair_WhileIdle(t *testing.T) {
	e := newTestEngine(9)
	repairs := 0
	for at := time.Duration(0); at < time.Minute; at += 100 * time.Millisecond {
		if _, due := e.TakeDueRepair(startTime.Add(at)); due {
			repairs++
		}
	}
	assert.Equal(t, int(time.Minute/idleRepairInterval), repairs)
}

// TestPeerRanking_ChangesSlowly checks that a member of a large system pushes to few different receivers within half a
// minute.
func TestPeerRanking_ChangesSlowly(t *testing.T) {
	e := newTestEngine(400)
	receivers := map[string]bool{}
	for second := range 30 {
		now := startTime.Add(time.Duration(second) * time.Second)
		e.PutLocal(now, endpointEntry("k", uint64(second+1)))
		for _, envelope := range e.TakeOutgoing(now.Add(500 * time.Millisecond)) {
			receivers[envelope.To.Name] = true
		}
	}
	assert.Less(t, len(receivers), 30)
}
