package register

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/errcode"
	"rowanlink/serving/state"
)

// joinBound is how soon a replica that starts has to be a member where a majority is up.
const joinBound = 2 * time.Second

// inSimulation runs a test on settled machines and judges the history at the end.
func inSimulation(t *testing.T, machines int, run func(t *testing.T, s *simulation)) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, machines, 7)
		defer s.stopAll()
		s.startAll()
		s.awaitSettled(joinBound)
		run(t, s)
		s.judge(t)
		time.Sleep(lateDelay)
	})
}

func TestMachinesBeyondTheSeedsJoinAtTheFirstStart(t *testing.T) {
	inSimulation(t, 5, func(t *testing.T, s *simulation) {
		require.NoError(t, s.replace(s.machines[4], 1, 0, 3))
	})
}

func TestWipedMachineJoinsUnderANewID(t *testing.T) {
	inSimulation(t, 3, func(t *testing.T, s *simulation) {
		require.NoError(t, s.replace(s.machines[0], 1, 0, 3))
		former, _ := s.machines[0].running().node.acceptor.State()
		s.machines[0].crash()
		s.machines[0].wipe()
		s.machines[0].start()
		s.awaitSettled(joinBound)
		own, _ := s.machines[0].running().node.acceptor.State()
		assert.NotEqual(t, former.ReplicaID, own.ReplicaID)
	})
}

// The record is acknowledged, then the machine that acknowledged it loses its disk while all others lose power.
func TestWipeWhileAllOthersLosePower(t *testing.T) {
	inSimulation(t, 3, func(t *testing.T, s *simulation) {
		for number, m := range s.machines {
			require.NoError(t, s.replace(m, 1, uint64(number), uint64(number+1)))
			s.herd(m)
			time.Sleep(2 * returnTime)
			s.awaitSettled(joinBound)
		}
	})
}

func TestTwoOfFiveWipedWhileAllOthersLosePower(t *testing.T) {
	inSimulation(t, 5, func(t *testing.T, s *simulation) {
		require.NoError(t, s.replace(s.machines[0], 1, 0, 1))
		s.herd(s.machines[0])
		s.machines[1].wipe()
		time.Sleep(2 * returnTime)
		s.awaitSettled(joinBound)
	})
}

func TestAllProcessesKilledAtOnceKnowSoonWhatIsInForce(t *testing.T) {
	inSimulation(t, 3, func(t *testing.T, s *simulation) {
		require.NoError(t, s.replace(s.machines[0], 1, 0, 3))
		s.herd(nil)
		time.Sleep(2*returnTime + 500*time.Millisecond)
		for _, m := range s.machines {
			record, ok := m.running().node.Latest()
			assert.True(t, ok)
			assert.Equal(t, uint64(3), record.Configuration.Version)
		}
	})
}

// A machine is lost for good; another one, at a new address, takes its place.
func TestLostMachineIsReplaced(t *testing.T) {
	inSimulation(t, 3, func(t *testing.T, s *simulation) {
		require.NoError(t, s.replace(s.machines[0], 1, 0, 3))
		s.machines[0].crash()
		lost := s.machines[0]
		replacement := s.add(3)
		replacement.started = true
		replacement.start()
		time.Sleep(joinBound)
		assert.True(t, replacement.running().node.IsVoter())
		assert.Len(t, replacement.running().node.Voters().Replicas, 3)
		require.NoError(t, s.replace(replacement, 1, 3, 4))
		s.drop(lost)
		s.awaitSettled(joinBound)
	})
}

// A machine that was replaced while it was cut off joins again, under a new ID.
func TestReplacedMachineJoinsAgain(t *testing.T) {
	inSimulation(t, 3, func(t *testing.T, s *simulation) {
		former, _ := s.machines[0].running().node.acceptor.State()
		s.isolate(s.machines[0], true)
		s.mistake(s.machines[0], true)
		added := s.add(3)
		added.started = true
		added.start()
		time.Sleep(joinBound)
		require.True(t, added.running().node.IsVoter())
		require.NoError(t, s.replace(added, 1, 0, 3))
		assert.Error(t, s.replace(s.machines[0], 2, 3, 4), "cut off")
		s.heal()
		s.shareRecords()
		s.awaitSettled(joinBound)
		own, _ := s.machines[0].running().node.acceptor.State()
		assert.NotEqual(t, former.ReplicaID, own.ReplicaID)
	})
}

func TestMinorityAnswersThatNothingWasChanged(t *testing.T) {
	inSimulation(t, 3, func(t *testing.T, s *simulation) {
		s.isolate(s.machines[0], true)
		err := s.replace(s.machines[0], 1, 0, 3)
		assert.True(t, errcode.RegisterUnavailable.Is(err), "%v", err)
		_, err = s.read(s.machines[0], 1)
		assert.True(t, errcode.RegisterUnavailable.Is(err), "%v", err)
		s.heal()
	})
}

// A hung disk holds up neither the majority's work nor what is read from memory.
func TestHungDiskHoldsUpNobodyElse(t *testing.T) {
	inSimulation(t, 3, func(t *testing.T, s *simulation) {
		s.machines[0].trouble(false, 20*time.Second)
		begun := time.Now()
		require.NoError(t, s.replace(s.machines[0], 1, 0, 3), "through the machine itself")
		_, err := s.read(s.machines[0], 1)
		require.NoError(t, err)
		_, ok := s.machines[0].running().node.Latest()
		assert.True(t, ok)
		assert.Less(t, time.Since(begun), 500*time.Millisecond)
		s.heal()
		time.Sleep(30 * time.Second)
	})
}

func TestCallersWithoutPatienceChangeNothingLater(t *testing.T) {
	inSimulation(t, 3, func(t *testing.T, s *simulation) {
		node := s.machines[0].running().node
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := node.Change(ctx, SetEvacuation("z", true))
		assert.True(t, errcode.RegisterUnavailable.Is(err), "%v", err)
		time.Sleep(time.Second)
		record, err := node.Read(t.Context())
		require.NoError(t, err)
		assert.False(t, record.Evacuated("z"))
	})
}

// Whoever gave an order leaves at each point of it in turn. Where the answer is that nothing was changed, nothing is ever
// changed: an evacuation's begin can't come after its end.
func TestOrderThatIsGivenUpChangesNothingLater(t *testing.T) {
	unclear, unavailable := 0, 0
	for point := range 40 {
		inSimulation(t, 3, func(t *testing.T, s *simulation) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(point)*time.Millisecond)
			defer cancel()
			_, err := s.machines[0].running().node.Change(ctx, SetEvacuation("z", true))
			require.NoError(t, s.evacuate(s.machines[1], "z", false))
			time.Sleep(time.Second)
			record, failed := s.machines[2].running().node.Read(t.Context())
			require.NoError(t, failed)
			assert.False(t, record.Evacuated("z"), "given up after %d ms", point)
			switch {
			case errcode.RegisterUnavailable.Is(err):
				unavailable++
			case errcode.RegisterInDoubt.Is(err):
				unclear++
			}
		})
	}
	assert.NotZero(t, unavailable)
	assert.NotZero(t, unclear)
}

// leftContext is one that has ended unnoticed, as in a process that stood still between two steps.
type leftContext struct{ context.Context }

func (leftContext) Err() error { return context.Canceled }

// A caller that leaves between the two rounds has changed nothing: the second one isn't begun.
func TestNothingIsProposedForACallerThatHasLeft(t *testing.T) {
	inSimulation(t, 3, func(t *testing.T, s *simulation) {
		node := s.machines[0].running().node
		change := node.proposer.newChange(func(record state.Record) (state.Record, error) {
			t.Error("the update is computed though its caller has left")
			return record, nil
		})
		result := node.proposer.runAttempt(leftContext{t.Context()}, change)
		assert.Equal(t, attemptFailed, result.outcome)
		assert.False(t, change.proposed)
	})
}

func TestLearnedRecordsAreKnownAndNotToldOn(t *testing.T) {
	inSimulation(t, 3, func(t *testing.T, s *simulation) {
		node := s.machines[0].running().node
		set := node.Voters()
		node.Learn(state.Record{Revision: 9, Voters: state.ReplicaSet{Epoch: set.Epoch, Replicas: set.Replicas}})
		record, ok := node.Latest()
		assert.True(t, ok)
		assert.Equal(t, uint64(9), record.Revision)
		assert.NotContains(t, s.history.records, uint64(9))
		node.Learn(state.Record{Revision: 8})
		record, _ = node.Latest()
		assert.Equal(t, uint64(9), record.Revision)
	})
}

// Many changes through all machines at once all come through in time.
func TestRivalsComeThrough(t *testing.T) {
	inSimulation(t, 5, func(t *testing.T, s *simulation) {
		const each = 4
		errors := make(chan error)
		for number, m := range s.machines {
			go func() {
				for zone := range each {
					ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
					_, err := m.running().node.Change(ctx, SetEvacuation(string(rune('a'+number*each+zone)), true))
					cancel()
					errors <- err
				}
			}()
		}
		for range each * len(s.machines) {
			assert.NoError(t, <-errors)
		}
	})
}

// A damaged file at the very first start doesn't bring the first replica back without its votes.
func TestDamagedStateIsNeverOfTheFirstSet(t *testing.T) {
	inSimulation(t, 3, func(t *testing.T, s *simulation) {
		m := s.machines[1]
		m.crash()
		m.wipe()
		m.disk.damaged = true
		m.started = false // the settings still tell of the first start
		m.start()
		s.awaitSettled(joinBound)
		own, _ := m.running().node.acceptor.State()
		assert.NotContains(t, own.ReplicaID, genesisPrefix)
	})
}
