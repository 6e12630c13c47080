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

// joinDeadline is the time within which a replica that starts has to become a voter or a caught-up learner if a
// majority is up.
const joinDeadline = 2 * time.Second

// runSimulation runs a test on machines that are stable, and checks the history at the end.
func runSimulation(t *testing.T, machines int, run func(t *testing.T, s *simulation)) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, machines, 7)
		defer s.stopAll()
		s.startAll()
		s.awaitStable(joinDeadline)
		run(t, s)
		s.checkHistory(t)
		time.Sleep(longDelay)
	})
}

func TestNode_NonSeedsJoinAtFirstStart(t *testing.T) {
	runSimulation(t, 5, func(t *testing.T, s *simulation) {
		require.NoError(t, s.replace(s.machines[4], 1, 0, 3))
	})
}

func TestNode_WipedReplicaRejoinsUnderNewID(t *testing.T) {
	runSimulation(t, 3, func(t *testing.T, s *simulation) {
		require.NoError(t, s.replace(s.machines[0], 1, 0, 3))
		former, _ := s.machines[0].running().node.acceptor.State()
		s.machines[0].crash()
		s.machines[0].wipe()
		s.machines[0].start()
		s.awaitStable(joinDeadline)
		own, _ := s.machines[0].running().node.acceptor.State()
		assert.NotEqual(t, former.ReplicaID, own.ReplicaID)
	})
}

// TestNode_DiskLossDuringPowerFailure checks that an acknowledged change survives if the machine that acknowledged it
// loses its disk while all others lose power.
func TestNode_DiskLossDuringPowerFailure(t *testing.T) {
	runSimulation(t, 3, func(t *testing.T, s *simulation) {
		for number, m := range s.machines {
			require.NoError(t, s.replace(m, 1, uint64(number), uint64(number+1)))
			s.powerCycle(m)
			time.Sleep(2 * restartDelay)
			s.awaitStable(joinDeadline)
		}
	})
}

func TestNode_TwoOfFiveDisksLostDuringPowerFailure(t *testing.T) {
	runSimulation(t, 5, func(t *testing.T, s *simulation) {
		require.NoError(t, s.replace(s.machines[0], 1, 0, 1))
		s.powerCycle(s.machines[0])
		s.machines[1].wipe()
		time.Sleep(2 * restartDelay)
		s.awaitStable(joinDeadline)
	})
}

func TestNode_RecordKnownSoonAfterFullRestart(t *testing.T) {
	runSimulation(t, 3, func(t *testing.T, s *simulation) {
		require.NoError(t, s.replace(s.machines[0], 1, 0, 3))
		s.powerCycle(nil)
		time.Sleep(2*restartDelay + 500*time.Millisecond)
		for _, m := range s.machines {
			record, ok := m.running().node.Latest()
			assert.True(t, ok)
			assert.Equal(t, uint64(3), record.Configuration.Version)
		}
	})
}

// TestNode_NewMachineReplacesLostVoter checks that a machine at a new address replaces a voter whose machine is lost
// for good.
func TestNode_NewMachineReplacesLostVoter(t *testing.T) {
	runSimulation(t, 3, func(t *testing.T, s *simulation) {
		require.NoError(t, s.replace(s.machines[0], 1, 0, 3))
		s.machines[0].crash()
		lost := s.machines[0]
		replacement := s.startNew()
		time.Sleep(joinDeadline)
		assert.True(t, replacement.running().node.IsVoter())
		assert.Len(t, replacement.running().node.Voters().Replicas, 3)
		require.NoError(t, s.replace(replacement, 1, 3, 4))
		s.removeMachine(lost)
		s.awaitStable(joinDeadline)
	})
}

// TestNode_ReplacedVoterRejoinsUnderNewID checks that a voter that was replaced while it was partitioned rejoins under
// a new ID.
func TestNode_ReplacedVoterRejoinsUnderNewID(t *testing.T) {
	runSimulation(t, 3, func(t *testing.T, s *simulation) {
		former, _ := s.machines[0].running().node.acceptor.State()
		s.isolate(s.machines[0], true)
		s.setFalselyDown(s.machines[0], true)
		added := s.startNew()
		time.Sleep(joinDeadline)
		require.True(t, added.running().node.IsVoter())
		require.NoError(t, s.replace(added, 1, 0, 3))
		assert.Error(t, s.replace(s.machines[0], 2, 3, 4), "partitioned")
		s.clearFaults()
		s.shareRecords()
		s.awaitStable(joinDeadline)
		own, _ := s.machines[0].running().node.acceptor.State()
		assert.NotEqual(t, former.ReplicaID, own.ReplicaID)
	})
}

func TestNode_MinorityIsUnavailable(t *testing.T) {
	runSimulation(t, 3, func(t *testing.T, s *simulation) {
		s.isolate(s.machines[0], true)
		err := s.replace(s.machines[0], 1, 0, 3)
		assert.True(t, errcode.RegisterUnavailable.Is(err), "%v", err)
		_, err = s.read(s.machines[0], 1)
		assert.True(t, errcode.RegisterUnavailable.Is(err), "%v", err)
		s.clearFaults()
	})
}

// TestNode_HungDiskDelaysNobodyElse checks that a hung disk delays neither changes, for which the other replicas are a
// majority, nor reads.
func TestNode_HungDiskDelaysNobodyElse(t *testing.T) {
	runSimulation(t, 3, func(t *testing.T, s *simulation) {
		s.machines[0].setDiskFaults(false, 20*time.Second)
		begun := time.Now()
		require.NoError(t, s.replace(s.machines[0], 1, 0, 3), "through the machine with the hung disk")
		_, err := s.read(s.machines[0], 1)
		require.NoError(t, err)
		_, ok := s.machines[0].running().node.Latest()
		assert.True(t, ok)
		assert.Less(t, time.Since(begun), 500*time.Millisecond)
		s.clearFaults()
		time.Sleep(30 * time.Second)
	})
}

func TestChange_CancelledContextChangesNothing(t *testing.T) {
	runSimulation(t, 3, func(t *testing.T, s *simulation) {
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

// TestChange_AbandonedChangeTakesNoEffectLater cancels the begin of an evacuation after 0 to 39 ms, and then ends the
// evacuation. Whatever the result of the begin, it must not take effect after the end.
func TestChange_AbandonedChangeTakesNoEffectLater(t *testing.T) {
	inDoubt, unavailable := 0, 0
	for point := range 40 {
		runSimulation(t, 3, func(t *testing.T, s *simulation) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(point)*time.Millisecond)
			defer cancel()
			_, err := s.machines[0].running().node.Change(ctx, SetEvacuation("z", true))
			require.NoError(t, s.evacuate(s.machines[1], "z", false))
			time.Sleep(time.Second)
			record, failed := s.machines[2].running().node.Read(t.Context())
			require.NoError(t, failed)
			assert.False(t, record.Evacuated("z"), "cancelled after %d ms", point)
			switch {
			case errcode.RegisterUnavailable.Is(err):
				unavailable++
			case errcode.RegisterInDoubt.Is(err):
				inDoubt++
			}
		})
	}
	assert.NotZero(t, unavailable)
	assert.NotZero(t, inDoubt)
}

// acceptOnlyAt makes a change that only the machine's own replica accepts: the machine is isolated between the Prepare
// and the Accept round.
func (s *simulation) acceptOnlyAt(t *testing.T, m *machine, update Update) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := m.running().node.Change(ctx, func(record state.Record) (state.Record, error) {
		s.isolate(m, true)
		return update(record)
	})
	require.True(t, errcode.RegisterInDoubt.Is(err), "%v", err)
}

// TestChange_FencesBeginThatAMinorityAccepted checks that the end of an evacuation that finds nothing to change
// prevents an earlier begin, which only one replica has accepted, from being completed later.
func TestChange_FencesBeginThatAMinorityAccepted(t *testing.T) {
	runSimulation(t, 3, func(t *testing.T, s *simulation) {
		s.acceptOnlyAt(t, s.machines[0], SetEvacuation("z", true))
		require.NoError(t, s.evacuate(s.machines[1], "z", false))
		s.isolate(s.machines[0], false)
		s.machines[1].crash() // so that the first machine is part of each majority
		record, err := s.machines[2].running().node.Read(t.Context())
		require.NoError(t, err)
		assert.False(t, record.Evacuated("z"))
		s.machines[1].start()
		s.awaitStable(joinDeadline)
	})
}

// TestRead_FinishesWhatAMinorityAccepted checks that a record that a read returns is committed, so that no later read
// through other machines returns an older one.
func TestRead_FinishesWhatAMinorityAccepted(t *testing.T) {
	runSimulation(t, 3, func(t *testing.T, s *simulation) {
		s.acceptOnlyAt(t, s.machines[0], SetEvacuation("z", true))
		s.isolate(s.machines[0], false)
		s.machines[1].crash()
		first, err := s.machines[2].running().node.Read(t.Context())
		require.NoError(t, err)
		require.True(t, first.Evacuated("z"), "each majority includes the first machine")
		s.machines[1].start()
		s.machines[0].crash()
		later, err := s.machines[1].running().node.Read(t.Context())
		require.NoError(t, err)
		assert.True(t, later.Evacuated("z"))
		assert.GreaterOrEqual(t, later.Revision, first.Revision)
		s.machines[0].start()
		s.awaitStable(joinDeadline)
	})
}

// cancelledContext is a context whose end only Err reports, not yet Done, as in a process that was suspended between
// two steps.
type cancelledContext struct{ context.Context }

func (cancelledContext) Err() error { return context.Canceled }

// TestChange_NoProposalForCancelledCaller checks that no Accept round begins if the caller gives up before it.
func TestChange_NoProposalForCancelledCaller(t *testing.T) {
	runSimulation(t, 3, func(t *testing.T, s *simulation) {
		node := s.machines[0].running().node
		change := node.proposer.newChange(func(record state.Record) (state.Record, error) {
			t.Error("the update was called though its caller has given up")
			return record, nil
		})
		result := node.proposer.runAttempt(cancelledContext{t.Context()}, change)
		assert.Equal(t, attemptFailed, result.outcome)
		assert.False(t, change.proposed)
	})
}

func TestNode_LearnedRecordsAreNotPublished(t *testing.T) {
	runSimulation(t, 3, func(t *testing.T, s *simulation) {
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

// TestChange_ConcurrentProposersSucceed checks that all of many concurrent changes through all machines succeed.
func TestChange_ConcurrentProposersSucceed(t *testing.T) {
	runSimulation(t, 5, func(t *testing.T, s *simulation) {
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

// TestNode_DamagedStateIsNoGenesisVoter checks that a replica with a damaged file doesn't start as a genesis voter
// again, without its votes, even with the settings of the first start.
func TestNode_DamagedStateIsNoGenesisVoter(t *testing.T) {
	runSimulation(t, 3, func(t *testing.T, s *simulation) {
		m := s.machines[1]
		m.crash()
		m.wipe()
		m.disk.isDamaged = true
		m.startedBefore = false // as in the settings of the first start
		m.start()
		s.awaitStable(joinDeadline)
		own, _ := m.running().node.acceptor.State()
		assert.NotContains(t, own.ReplicaID, genesisPrefix)
	})
}

// TestNode_FullDisks checks that, while all disks are full, changes aren't acknowledged and reads go on, and that
// changes succeed again without a restart once there is room.
func TestNode_FullDisks(t *testing.T) {
	runSimulation(t, 3, func(t *testing.T, s *simulation) {
		require.NoError(t, s.replace(s.machines[0], 1, 0, 1))
		for _, m := range s.machines {
			m.setDiskFaults(true, 0)
		}
		require.Error(t, s.replace(s.machines[0], 2, 1, 4))
		for client, m := range s.machines {
			record, err := s.read(m, client)
			require.NoError(t, err)
			assert.Equal(t, uint64(1), record.Configuration.Version)
		}
		for _, m := range s.machines {
			m.setDiskFaults(false, 0)
		}
		require.NoError(t, s.replace(s.machines[1], 3, 1, 7), "the failed change was not saved")
	})
}

// TestNode_FullDiskOfOneReplica checks that one full disk stops neither reads nor changes.
func TestNode_FullDiskOfOneReplica(t *testing.T) {
	runSimulation(t, 3, func(t *testing.T, s *simulation) {
		for version, full := range s.machines {
			full.setDiskFaults(true, 0)
			for _, m := range s.machines {
				_, err := s.read(m, 1)
				require.NoError(t, err)
			}
			require.NoError(t, s.replace(full, 1, uint64(version), uint64(version+1)), "through the machine with the full disk")
			full.setDiskFaults(false, 0)
		}
	})
}
