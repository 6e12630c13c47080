package register

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// finishAllUncommitted reads through each process that has accepted a proposal without knowing it to be committed, as
// the core service does, and returns the number of reads.
func (s *simulation) finishAllUncommitted() (reads int) {
	for number, m := range s.all() {
		process := m.running()
		if process == nil {
			continue
		}
		if _, uncommitted := process.node.UncommittedRevision(); uncommitted {
			reads++
			_, _ = s.read(m, number)
		}
	}
	return reads
}

// TestUncommitted_ChangeIsFinishedByOthers crashes the machine that makes a change at 60 points in time, from before
// the first message to after the acknowledgement. Once those of the others that have accepted the proposal have read,
// all must know the committed record.
func TestUncommitted_ChangeIsFinishedByOthers(t *testing.T) {
	acknowledged, finished := 0, 0
	for point := range 60 {
		synctest.Test(t, func(t *testing.T) {
			s := newSimulation(t, 3, uint64(point))
			defer s.stopAll()
			s.startAll()
			s.awaitStable(joinDeadline)
			proposer := s.machines[0]
			time.AfterFunc(time.Duration(point)*2*time.Millisecond, proposer.crash)
			err := s.replace(proposer, 1, 0, 3)
			time.Sleep(500 * time.Millisecond)
			finished += s.finishAllUncommitted()
			s.shareRecords()
			for _, m := range s.machines[1:] {
				_, uncommitted := m.running().node.UncommittedRevision()
				assert.False(t, uncommitted, "point %d", point)
			}
			if err == nil {
				acknowledged++
				for _, m := range s.machines[1:] {
					record, _ := m.running().node.Latest()
					assert.EqualValues(t, 3, record.Configuration.Version, "point %d", point)
				}
			}
			s.checkHistory(t)
			time.Sleep(longDelay)
		})
	}
	assert.Positive(t, acknowledged)
	assert.Positive(t, finished)
	t.Log("acknowledged", acknowledged, "reads", finished)
}

// TestUncommitted_ReconfigurationIsFinishedByOthers cancels a change of the voters at 60 points in time. While the
// newest proposal is joint, a majority of the outgoing voters is needed too, though these may leave. A process that has
// accepted the joint proposal therefore has to make sure that a proposal with the new voters alone succeeds it.
func TestUncommitted_ReconfigurationIsFinishedByOthers(t *testing.T) {
	joint := 0
	for point := range 60 {
		runSimulation(t, 4, func(t *testing.T, s *simulation) {
			former, _ := s.machines[0].running().node.acceptor.State()
			successor, _ := s.machines[3].running().node.caughtUpLearner()
			node := s.machines[1].running().node
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(point)*time.Millisecond)
			defer cancel()
			_, _ = node.Change(ctx, ReplaceReplica(former.ReplicaID, successor.replica))
			time.Sleep(100 * time.Millisecond)
			if s.newestIsJoint(t, node) {
				joint++
				latest, _ := node.Latest()
				assert.True(t, latest.Voters.Contains(former.ReplicaID), "a joint proposal isn't published")
			}
			time.Sleep(400 * time.Millisecond)
			s.shareRecords()
			s.finishAllUncommitted()
			assert.False(t, s.newestIsJoint(t, node), "cancelled after %d ms", point)
			assert.Zero(t, s.finishAllUncommitted(), "no process has an uncommitted proposal left")
		})
	}
	assert.NotZero(t, joint)
}

// newestIsJoint reports whether the newest proposal is joint.
func (s *simulation) newestIsJoint(t *testing.T, reader *Node) bool {
	votes, err := reader.proposer.query(t.Context(), time.Second)
	require.NoError(t, err)
	return votes.highestAccepted.Proposal.isJoint()
}
