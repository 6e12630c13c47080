package gossip

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestDifferenceThatStandsIsRepairedSoon(t *testing.T) {
	e := testEngine(9)
	_, due := e.TakeDueRepair(begun)
	require.True(t, due, "the first one")
	noted := begun.Add(time.Second)
	e.RecordDifference(noted, "m1", []TableID{TableEndpoints})
	assert.Equal(t, noted.Add(settleSpan), e.NextRepairTime())
	_, due = e.TakeDueRepair(noted)
	assert.False(t, due, "it may be on its way")
	found, due := e.TakeDueRepair(noted.Add(settleSpan))
	require.True(t, due)
	assert.Equal(t, "m1", found.Peer.Name)
	assert.Equal(t, []TableID{TableEndpoints}, found.Tables)
	assert.Zero(t, e.NextRepairTime())
}

func TestDifferenceThatEndsIsNotRepaired(t *testing.T) {
	e := testEngine(9)
	e.TakeDueRepair(begun)
	noted := begun.Add(time.Second)
	e.RecordDifference(noted, "m1", []TableID{TableEndpoints})
	e.RecordDifference(noted.Add(time.Millisecond), "m1", nil)
	_, due := e.TakeDueRepair(noted.Add(time.Second))
	assert.False(t, due)
}

func TestDifferencesThatPersistAreRepairedDuringChanges(t *testing.T) {
	e := testEngine(9)
	e.TakeDueRepair(begun)
	noted := begun.Add(time.Second)
	repairs := 0
	for at := time.Duration(0); at < 2*time.Second; at += 10 * time.Millisecond {
		now := noted.Add(at)
		e.PutLocal(now, endpointEntry("k", uint64(at)+1))
		e.RecordDifference(now, "m1", []TableID{TableEndpoints})
		if _, due := e.TakeDueRepair(now); due {
			repairs++
		}
	}
	assert.InDelta(t, 2*time.Second/persistSpan, repairs, 1)
}

func TestIdleMembersCompareSeldom(t *testing.T) {
	e := testEngine(9)
	repairs := 0
	for at := time.Duration(0); at < time.Minute; at += 100 * time.Millisecond {
		if _, due := e.TakeDueRepair(begun.Add(at)); due {
			repairs++
		}
	}
	assert.Equal(t, int(time.Minute/idleRepairInterval), repairs)
}

// TestNeighboursChangeSlowly counts the receivers of pushes within a minute in a large system.
func TestNeighboursChangeSlowly(t *testing.T) {
	e := testEngine(400)
	receivers := map[string]bool{}
	for second := range 30 {
		now := begun.Add(time.Duration(second) * time.Second)
		e.PutLocal(now, endpointEntry("k", uint64(second+1)))
		for _, envelope := range e.TakeOutgoing(now.Add(500 * time.Millisecond)) {
			receivers[envelope.To.Name] = true
		}
	}
	assert.Less(t, len(receivers), 30)
}
