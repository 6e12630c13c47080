package register

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A machine beyond the voters that are wanted is a learner: it keeps the record on disk, and no set is ever even.
func TestMachineBeyondTheVotersIsALearner(t *testing.T) {
	inSimulation(t, 4, func(t *testing.T, s *simulation) {
		require.NoError(t, s.replace(s.machines[0], 1, 0, 3))
		s.shareRecords()
		time.Sleep(time.Second)
		node := s.machines[3].running().node
		assert.False(t, node.IsVoter())
		held, _ := node.acceptor.State()
		assert.Equal(t, uint64(3), held.Learned.Configuration.Version)
		assert.True(t, held.Accepted.IsZero(), "it has voted on nothing")
	})
}

// The learner takes the place of a voter that is gone, one for one; without a learner an odd set stays as it is.
func TestLearnerReplacesAVoterThatIsGone(t *testing.T) {
	inSimulation(t, 4, func(t *testing.T, s *simulation) {
		s.machines[2].crash()
		time.Sleep(joinBound)
		node := s.machines[0].running().node
		require.Len(t, node.Voters().Replicas, 3)
		assert.True(t, s.machines[3].running().node.IsVoter())
		epoch := node.Voters().Epoch
		s.machines[1].crash()
		time.Sleep(joinBound)
		assert.Equal(t, epoch, node.Voters().Epoch)
		assert.Equal(t, []string{s.machines[1].address}, absentVoters(node))
		s.startAll()
		s.awaitSettled(joinBound)
	})
}

func absentVoters(n *Node) (absent []string) {
	for _, voter := range n.Voters().Replicas {
		if n.isDown(voter.Address) {
			absent = append(absent, voter.Address)
		}
	}
	return absent
}

// A successor was added, the voter handed over and ended for good, and at once another voter loses its disk: what was
// a set of four of which two were left is now one of three with a majority.
func TestLossRightAfterAPlannedReplacement(t *testing.T) {
	inSimulation(t, 4, func(t *testing.T, s *simulation) {
		require.NoError(t, s.replace(s.machines[0], 1, 0, 3))
		s.machines[0].leave()
		s.machines[1].crash()
		s.machines[1].wipe()
		s.drop(s.machines[0])
		s.machines[0].start() // the one that was wiped
		s.awaitSettled(joinBound)
		require.NoError(t, s.replace(s.machines[0], 1, 3, 4))
	})
}

// Killed half-way through the hand-over, at any point of time, the machine and its vote are where they were or handed
// over; nothing is lost, and all settle.
func TestHandOverThatIsCutShort(t *testing.T) {
	for point := range 40 {
		inSimulation(t, 4, func(t *testing.T, s *simulation) {
			require.NoError(t, s.replace(s.machines[0], 1, 0, 3))
			leaving := s.machines[0]
			time.AfterFunc(time.Duration(point)*2*time.Millisecond, leaving.crash)
			ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
			defer cancel()
			leaving.running().node.TransferVote(ctx)
			time.Sleep(200 * time.Millisecond)
			leaving.crash()
			time.Sleep(joinBound)
			require.NoError(t, s.replace(s.machines[1], 1, 3, 4), "without it, point %d", point)
			s.startAll()
			s.awaitSettled(joinBound)
		})
	}
}

// A voter without a learner that could take its vote keeps it: a restart by plan changes no set.
func TestEndByPlanWithoutALearnerKeepsTheVote(t *testing.T) {
	inSimulation(t, 3, func(t *testing.T, s *simulation) {
		epoch := s.machines[1].running().node.Voters().Epoch
		begun := time.Now()
		s.machines[0].leave()
		assert.Less(t, time.Since(begun), 100*time.Millisecond, "and ends at once")
		s.machines[0].start()
		s.awaitSettled(joinBound)
		assert.Equal(t, epoch, s.machines[1].running().node.Voters().Epoch)
	})
}

// Machine after machine is replaced by plan, until none of the first is left, also beside a change half-way.
func TestAllMachinesReplacedByPlan(t *testing.T) {
	for _, losses := range []int{3, 5} {
		inSimulation(t, losses, func(t *testing.T, s *simulation) {
			version := uint64(0)
			for number := range losses {
				added := s.add(losses + number)
				added.started = true
				added.start()
				time.Sleep(time.Second)
				leaving := s.machines[0]
				changed := make(chan error, 1)
				go func() { changed <- s.replace(s.machines[1], 1, version, version+1) }()
				leaving.leave()
				require.NoError(t, <-changed)
				version++
				s.drop(leaving)
				s.awaitSettled(joinBound)
				assert.True(t, added.running().node.IsVoter())
			}
		})
	}
}

// A learner that was away through changes beyond the history comes back caught up before it may vote.
func TestLearnerCatchesUpBeforeItVotes(t *testing.T) {
	inSimulation(t, 4, func(t *testing.T, s *simulation) {
		behind := s.machines[3]
		behind.crash()
		for version := range uint64(40) {
			require.NoError(t, s.replace(s.machines[0], 1, version, version+1))
		}
		behind.start()
		_, ready := behind.running().node.caughtUpLearner()
		assert.False(t, ready, "what it has on disk is from before")
		s.awaitSettled(joinBound)
		held, _ := behind.running().node.acceptor.State()
		assert.Equal(t, uint64(40), held.Learned.Configuration.Version)
	})
}

// The losses to be borne are raised and lowered again in the settings, machine after machine: the voters grow and shrink
// by two, and nothing is lost.
func TestVotersGrowAndShrinkWithTheSettings(t *testing.T) {
	inSimulation(t, 3, func(t *testing.T, s *simulation) {
		require.NoError(t, s.replace(s.machines[0], 1, 0, 1))
		for range 2 {
			added := s.addNext()
			added.started = true
			added.start()
		}
		for version, losses := range []int{2, 1} {
			s.losses = losses
			for _, m := range s.all() {
				m.crash()
				m.start()
				time.Sleep(200 * time.Millisecond)
			}
			s.awaitSettled(joinBound)
			assert.Len(t, s.machines[0].running().node.Voters().Replicas, 2*losses+1)
			require.NoError(t, s.replace(s.machines[4], 1, uint64(version+1), uint64(version+2)))
		}
	})
}

// Two seeds make an even set; the first learner makes it odd.
func TestFewerSeedsThanVotersWanted(t *testing.T) {
	inSimulation(t, 3, func(t *testing.T, s *simulation) {
		first := s.machines[0].running().node
		_, err := first.Change(t.Context(), RemoveReplica(first.Voters().Replicas[2].ID))
		require.NoError(t, err)
		require.Len(t, first.Voters().Replicas, 2)
		s.awaitSettled(2 * joinBound)
		assert.Len(t, first.Voters().Replicas, 3)
	})
}

// A majority that is gone is told by the addresses of those that are missed.
func TestLostMajorityIsTold(t *testing.T) {
	inSimulation(t, 3, func(t *testing.T, s *simulation) {
		node := s.machines[0].running().node
		s.machines[1].crash()
		assert.Empty(t, node.QuorumLoss(), "two are left")
		s.machines[2].crash()
		assert.ElementsMatch(t, []string{s.machines[1].address, s.machines[2].address}, node.QuorumLoss())
		s.startAll()
		s.awaitSettled(joinBound)
		assert.Empty(t, node.QuorumLoss())
	})
}

// Of many learners one goes for a vote that is free, not all at once.
func TestOneOfManyLearnersTakesAFreeVote(t *testing.T) {
	inSimulation(t, 3, func(t *testing.T, s *simulation) {
		for range 12 {
			added := s.addNext()
			added.started = true
			added.start()
		}
		s.awaitSettled(joinBound)
		before := s.changesBegun()
		s.machines[1].crash()
		time.Sleep(joinBound)
		set := s.machines[0].running().node.Voters()
		assert.Len(t, set.Replicas, 3)
		assert.Empty(t, absentVoters(s.machines[0].running().node))
		assert.LessOrEqual(t, s.changesBegun()-before, uint64(3), "changes begun by all processes together")
		s.startAll()
		s.awaitSettled(joinBound)
	})
}

// changesBegun counts the changes that the processes have begun.
func (s *simulation) changesBegun() (changes uint64) {
	for _, m := range s.all() {
		if process := m.running(); process != nil {
			changes += process.node.proposer.sequence
		}
	}
	return changes
}
