package register

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestNode_ExtraMachineIsLearner checks that a machine beyond the desired voters stores the record without voting.
func TestNode_ExtraMachineIsLearner(t *testing.T) {
	runSimulation(t, 4, func(t *testing.T, s *simulation) {
		require.NoError(t, s.replace(s.machines[0], 1, 0, 3))
		s.shareRecords()
		time.Sleep(time.Second)
		node := s.machines[3].running().node
		assert.False(t, node.IsVoter())
		own, _ := node.acceptor.State()
		assert.Equal(t, uint64(3), own.Learned.Configuration.Version)
		assert.True(t, own.Accepted.IsZero(), "it has voted on nothing")
	})
}

// TestNode_LearnerReplacesDownVoter checks that a learner replaces a voter that is down, and that the set doesn't
// change if a voter is down and there is no learner.
func TestNode_LearnerReplacesDownVoter(t *testing.T) {
	runSimulation(t, 4, func(t *testing.T, s *simulation) {
		s.machines[2].crash()
		time.Sleep(joinDeadline)
		node := s.machines[0].running().node
		require.Len(t, node.Voters().Replicas, 3)
		assert.True(t, s.machines[3].running().node.IsVoter())
		epoch := node.Voters().Epoch
		s.machines[1].crash()
		time.Sleep(joinDeadline)
		assert.Equal(t, epoch, node.Voters().Epoch)
		assert.Equal(t, []string{s.machines[1].address}, downVoters(node))
		s.startAll()
		s.awaitStable(joinDeadline)
	})
}

// downVoters returns the addresses of the voters that the node takes to be down.
func downVoters(n *Node) (down []string) {
	for _, voter := range n.Voters().Replicas {
		if n.isDown(voter.Address) {
			down = append(down, voter.Address)
		}
	}
	return down
}

// TestTransferVote_DiskLossRightAfter checks that the register survives if a voter transfers its vote and leaves for
// good, and another voter loses its disk immediately afterwards. A set of four voters would have lost its majority.
func TestTransferVote_DiskLossRightAfter(t *testing.T) {
	runSimulation(t, 4, func(t *testing.T, s *simulation) {
		require.NoError(t, s.replace(s.machines[0], 1, 0, 3))
		s.machines[0].shutDown()
		s.machines[1].crash()
		s.machines[1].wipe()
		s.removeMachine(s.machines[0])
		s.machines[0].start() // index 0 is now the machine that was wiped
		s.awaitStable(joinDeadline)
		require.NoError(t, s.replace(s.machines[0], 1, 3, 4))
	})
}

// TestTransferVote_Interrupted kills the process at 40 points in time of a transfer, and checks that the vote either
// stayed or was transferred: nothing is lost, and the register becomes stable.
func TestTransferVote_Interrupted(t *testing.T) {
	for point := range 40 {
		runSimulation(t, 4, func(t *testing.T, s *simulation) {
			require.NoError(t, s.replace(s.machines[0], 1, 0, 3))
			leaving := s.machines[0]
			time.AfterFunc(time.Duration(point)*2*time.Millisecond, leaving.crash)
			ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
			defer cancel()
			leaving.running().node.TransferVote(ctx)
			time.Sleep(200 * time.Millisecond)
			leaving.crash()
			time.Sleep(joinDeadline)
			require.NoError(t, s.replace(s.machines[1], 1, 3, 4), "without the machine that leaves, point %d", point)
			s.startAll()
			s.awaitStable(joinDeadline)
		})
	}
}

// TestTransferVote_WithoutLearnerKeepsVote checks that a planned restart changes no voters if there is no learner.
func TestTransferVote_WithoutLearnerKeepsVote(t *testing.T) {
	runSimulation(t, 3, func(t *testing.T, s *simulation) {
		epoch := s.machines[1].running().node.Voters().Epoch
		begun := time.Now()
		s.machines[0].shutDown()
		assert.Less(t, time.Since(begun), 100*time.Millisecond, "shutdown must not wait for a learner")
		s.machines[0].start()
		s.awaitStable(joinDeadline)
		assert.Equal(t, epoch, s.machines[1].running().node.Voters().Epoch)
	})
}

// TestTransferVote_AllMachinesReplaced replaces all machines, one after the other, each concurrently with a change.
func TestTransferVote_AllMachinesReplaced(t *testing.T) {
	for _, machines := range []int{3, 5} {
		runSimulation(t, machines, func(t *testing.T, s *simulation) {
			version := uint64(0)
			for range machines {
				added := s.startNew()
				time.Sleep(time.Second)
				leaving := s.machines[0]
				changed := make(chan error, 1)
				go func() { changed <- s.replace(s.machines[1], 1, version, version+1) }()
				leaving.shutDown()
				require.NoError(t, <-changed)
				version++
				s.removeMachine(leaving)
				s.awaitStable(joinDeadline)
				assert.True(t, added.running().node.IsVoter())
			}
		})
	}
}

// TestNode_LearnerCatchesUpBeforeVoting checks that a learner that has missed more changes than a proposal remembers
// may become a voter only after it has caught up.
func TestNode_LearnerCatchesUpBeforeVoting(t *testing.T) {
	runSimulation(t, 4, func(t *testing.T, s *simulation) {
		behind := s.machines[3]
		behind.crash()
		for version := range uint64(40) {
			require.NoError(t, s.replace(s.machines[0], 1, version, version+1))
		}
		behind.start()
		_, ready := behind.running().node.caughtUpLearner()
		assert.False(t, ready, "its record on disk is out of date")
		s.awaitStable(joinDeadline)
		own, _ := behind.running().node.acceptor.State()
		assert.Equal(t, uint64(40), own.Learned.Configuration.Version)
	})
}

// TestRepairVoters_FollowsSettings raises and lowers the tolerated losses in the settings of one machine after the
// other, and checks that the voters grow and shrink by two and that nothing is lost.
func TestRepairVoters_FollowsSettings(t *testing.T) {
	runSimulation(t, 3, func(t *testing.T, s *simulation) {
		require.NoError(t, s.replace(s.machines[0], 1, 0, 1))
		for range 2 {
			s.startNew()
		}
		for version, losses := range []int{2, 1} {
			s.tolerated = losses
			for _, m := range s.all() {
				m.crash()
				m.start()
				time.Sleep(200 * time.Millisecond)
			}
			s.awaitStable(joinDeadline)
			assert.Len(t, s.machines[0].running().node.Voters().Replicas, 2*losses+1)
			require.NoError(t, s.replace(s.machines[4], 1, uint64(version+1), uint64(version+2)))
		}
	})
}

// TestRepairVoters_EvenSetBecomesOdd checks that an even set of two voters, as with two seeds, becomes odd with the
// first learner.
func TestRepairVoters_EvenSetBecomesOdd(t *testing.T) {
	runSimulation(t, 3, func(t *testing.T, s *simulation) {
		first := s.machines[0].running().node
		_, err := first.Change(t.Context(), RemoveReplica(first.Voters().Replicas[2].ID))
		require.NoError(t, err)
		require.Len(t, first.Voters().Replicas, 2)
		s.awaitStable(2 * joinDeadline)
		assert.Len(t, first.Voters().Replicas, 3)
	})
}

// TestNode_QuorumLoss checks that the voters that are down are reported once there is no majority.
func TestNode_QuorumLoss(t *testing.T) {
	runSimulation(t, 3, func(t *testing.T, s *simulation) {
		node := s.machines[0].running().node
		s.machines[1].crash()
		assert.Empty(t, node.QuorumLoss(), "two voters are a majority")
		s.machines[2].crash()
		assert.ElementsMatch(t, []string{s.machines[1].address, s.machines[2].address}, node.QuorumLoss())
		s.startAll()
		s.awaitStable(joinDeadline)
		assert.Empty(t, node.QuorumLoss())
	})
}

// TestNode_OneLearnerClaimsVote checks that only one of many learners claims the vote of a voter that is down.
func TestNode_OneLearnerClaimsVote(t *testing.T) {
	runSimulation(t, 3, func(t *testing.T, s *simulation) {
		for range 12 {
			s.startNew()
		}
		s.awaitStable(joinDeadline)
		before := s.changesBegun()
		s.machines[1].crash()
		time.Sleep(joinDeadline)
		set := s.machines[0].running().node.Voters()
		assert.Len(t, set.Replicas, 3)
		assert.Empty(t, downVoters(s.machines[0].running().node))
		assert.LessOrEqual(t, s.changesBegun()-before, uint64(3), "changes begun by all processes together")
		s.startAll()
		s.awaitStable(joinDeadline)
	})
}

// changesBegun returns the number of changes that all running processes have begun.
func (s *simulation) changesBegun() (changes uint64) {
	for _, m := range s.all() {
		if process := m.running(); process != nil {
			changes += process.node.proposer.sequence
		}
	}
	return changes
}
