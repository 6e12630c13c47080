package gossip

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestDifferenceThatStandsIsRepairedSoon(t *testing.T) {
	e := testEngine(9)
	_, due := e.Repair(begun)
	require.True(t, due, "the first one")
	noted := begun.Add(time.Second)
	e.NoteDifference(noted, "m1", []Table{TableEndpoints})
	assert.Equal(t, noted.Add(settleSpan), e.NextRepair())
	_, due = e.Repair(noted)
	assert.False(t, due, "it may be on its way")
	found, due := e.Repair(noted.Add(settleSpan))
	require.True(t, due)
	assert.Equal(t, "m1", found.Peer.Name)
	assert.Equal(t, []Table{TableEndpoints}, found.Tables)
	assert.Zero(t, e.NextRepair())
}

func TestDifferenceThatEndsIsNotRepaired(t *testing.T) {
	e := testEngine(9)
	e.Repair(begun)
	noted := begun.Add(time.Second)
	e.NoteDifference(noted, "m1", []Table{TableEndpoints})
	e.NoteDifference(noted.Add(time.Millisecond), "m1", nil)
	_, due := e.Repair(noted.Add(time.Second))
	assert.False(t, due)
}

func TestDifferencesThatPersistAreRepairedDuringChanges(t *testing.T) {
	e := testEngine(9)
	e.Repair(begun)
	noted := begun.Add(time.Second)
	repairs := 0
	for at := time.Duration(0); at < 2*time.Second; at += 10 * time.Millisecond {
		now := noted.Add(at)
		e.Put(now, endpointEntry("k", uint64(at)+1))
		e.NoteDifference(now, "m1", []Table{TableEndpoints})
		if _, due := e.Repair(now); due {
			repairs++
		}
	}
	assert.InDelta(t, 2*time.Second/persistSpan, repairs, 1)
}

func TestIdleMembersCompareSeldom(t *testing.T) {
	e := testEngine(9)
	repairs := 0
	for at := time.Duration(0); at < time.Minute; at += 100 * time.Millisecond {
		if _, due := e.Repair(begun.Add(at)); due {
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
		e.Put(now, endpointEntry("k", uint64(second+1)))
		for _, envelope := range e.Outgoing(now.Add(500 * time.Millisecond)) {
			receivers[envelope.To.Name] = true
		}
	}
	assert.Less(t, len(receivers), 30)
}
