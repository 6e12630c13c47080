package register

import (
	"context"
	"time"

	"rowanlink/internal/ctxsleep"
	"rowanlink/serving/event"
	"rowanlink/serving/state"
)

const (
	// transferRetryInterval is the time between two attempts to transfer the own vote.
	transferRetryInterval = 100 * time.Millisecond
	// voteCheckTimeout bounds the read with which a learner that is shutting down checks that it has no vote.
	voteCheckTimeout = 500 * time.Millisecond
)

// TransferVote transfers the own replica's vote to a learner, before the process is shut down. It returns true if the
// replica certainly has no vote, so that its machine may be removed for good. It returns at once if the replica has no
// vote or no learner could take it, otherwise when the transfer is complete or the context ends. Afterwards the replica
// claims no vote again, but still answers requests with what it has accepted.
func (n *Node) TransferVote(ctx context.Context) bool {
	n.transferring.Store(true)
	own, loaded := n.acceptor.State()
	if !loaded || len(n.Voters().Replicas) == 0 {
		return false
	}
	if !n.IsVoter() && n.confirmNotVoter(ctx) {
		return true
	}
	for len(n.potentialLearners()) > 0 && ctx.Err() == nil {
		if n.attemptVoteTransfer(ctx, own.ReplicaID) {
			event.VoteTransferred.Log(n.log).Str("replica", own.ReplicaID).Send()
			return true
		}
		ctxsleep.Sleep(ctx, transferRetryInterval)
	}
	event.VoteRetained.Log(n.log).Str("replica", own.ReplicaID).Send()
	return false
}

// confirmNotVoter reads the record from a majority and reports whether the own replica has no vote. The locally known
// voters may be out of date: the replica may have just become a voter.
func (n *Node) confirmNotVoter(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, voteCheckTimeout)
	defer cancel()
	record, err := n.Read(ctx)
	own, _ := n.acceptor.State()
	return err == nil && !record.Voters.Contains(own.ReplicaID)
}

// attemptVoteTransfer makes one attempt and reports whether the replica no longer has a vote.
func (n *Node) attemptVoteTransfer(ctx context.Context, id string) bool {
	placement := n.voterPlacement(n.queryLearners(ctx))
	if len(placement.learners) == 0 {
		return false
	}
	record, err := n.Change(ctx, placementUpdate(func(voters []state.Replica) ([]state.Replica, bool) {
		return placement.transferVote(voters, id)
	}))
	if err != nil || record.Voters.Contains(id) {
		return false
	}
	// The read succeeds only once the outgoing voters, this replica among them, are no longer needed.
	_, err = n.Read(ctx)
	return err == nil
}
