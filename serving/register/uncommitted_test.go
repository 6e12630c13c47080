package register

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// finishAll does what a keeper does: a process that has accepted a record and knows nothing of its end reads.
func (s *simulation) finishAll() (reads int) {
	for number, m := range s.all() {
		process := m.running()
		if process == nil {
			continue
		}
		if _, unfinished := process.node.UncommittedRevision(); unfinished {
			reads++
			_, _ = s.read(m, number)
		}
	}
	return reads
}

// TestChangeWhoseMakerGoesIsFinishedByOthers has the machine that makes a change lose its process at each point of time
// in turn, from before the first message to after the acknowledgement, and never tell of it. The others must know what
// is in force once those that are left with it have read.
func TestChangeWhoseMakerGoesIsFinishedByOthers(t *testing.T) {
	acknowledged, finished := 0, 0
	for point := range 60 {
		synctest.Test(t, func(t *testing.T) {
			s := newSimulation(t, 3, uint64(point))
			defer s.stopAll()
			s.startAll()
			s.awaitSettled(joinBound)
			maker := s.machines[0]
			time.AfterFunc(time.Duration(point)*2*time.Millisecond, maker.crash)
			err := s.replace(maker, 1, 0, 3)
			time.Sleep(500 * time.Millisecond)
			finished += s.finishAll()
			s.shareRecords()
			for _, m := range s.machines[1:] {
				_, unfinished := m.running().node.UncommittedRevision()
				assert.False(t, unfinished, "point %d", point)
			}
			if err == nil {
				acknowledged++
				for _, m := range s.machines[1:] {
					record, _ := m.running().node.Latest()
					assert.EqualValues(t, 3, record.Configuration.Version, "point %d", point)
				}
			}
			s.judge(t)
			time.Sleep(lateDelay)
		})
	}
	assert.Positive(t, acknowledged)
	assert.Positive(t, finished)
	t.Log("acknowledged", acknowledged, "reads", finished)
}

// TestChangeOfVotersIsSettledByOthers has whoever changes the voters give up at each point of time in turn. While the
// newest proposal names the former set, a majority of that one is needed too, though its voters may go: whoever has
// accepted it sees to it that a proposal follows that names the new set alone.
func TestChangeOfVotersIsSettledByOthers(t *testing.T) {
	unsettled := 0
	for point := range 60 {
		inSimulation(t, 4, func(t *testing.T, s *simulation) {
			former, _ := s.machines[0].running().node.acceptor.State()
			successor, _ := s.machines[3].running().node.caughtUpLearner()
			node := s.machines[1].running().node
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(point)*time.Millisecond)
			defer cancel()
			_, _ = node.Change(ctx, ReplaceReplica(former.ReplicaID, successor.replica))
			time.Sleep(100 * time.Millisecond)
			if s.newestIsPending(t, node) {
				unsettled++
				latest, _ := node.Latest()
				assert.True(t, latest.Voters.Contains(former.ReplicaID), "a change that isn't settled isn't told")
			}
			time.Sleep(400 * time.Millisecond)
			s.shareRecords()
			s.finishAll()
			assert.False(t, s.newestIsPending(t, node), "given up after %d ms", point)
			assert.Zero(t, s.finishAll(), "and nobody asks any more")
		})
	}
	assert.NotZero(t, unsettled)
}

// newestIsPending tells whether the newest proposal names a former set of voters.
func (s *simulation) newestIsPending(t *testing.T, asking *Node) bool {
	votes, err := asking.proposer.query(t.Context(), time.Second)
	require.NoError(t, err)
	return votes.highestAccepted.Proposal.isJoint()
}
