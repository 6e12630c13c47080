package register

import (
	"context"
	"time"

	"rowanlink/internal/ctxsleep"
	"rowanlink/serving/event"
	"rowanlink/serving/state"
)

const (
	// maxLearnerLag is how many revisions a learner may be behind and still become a voter: records are told within a
	// fraction of a second, and a storm of changes must not keep every learner out.
	maxLearnerLag = 8
	// maxLearnerQueries bounds how many learners are asked before one change of the voters.
	maxLearnerQueries = 16
	// transferRetryInterval is the time between two tries to give the own vote to a learner.
	transferRetryInterval = 100 * time.Millisecond
	// voteCheckTimeout bounds the question of a learner that ends whether it has a vote.
	voteCheckTimeout = 500 * time.Millisecond
)

// learnerProgress is a learner that may become a voter.
type learnerProgress struct {
	replica  state.Replica
	revision uint64 // the highest revision on its disk
}

// caughtUpLearner returns the own replica where it is a learner that has caught up.
func (n *Node) caughtUpLearner() (learnerProgress, bool) {
	own, loaded := n.acceptor.State()
	if !loaded || n.transferring.Load() || !n.caughtUp.Load() || n.Voters().Contains(own.ReplicaID) {
		return learnerProgress{}, false
	}
	return learnerProgress{replica: state.Replica{ID: own.ReplicaID, Address: n.settings.InnerAddress()}, revision: own.durableRevision()}, true
}

// IsLearner tells whether the own replica is a learner that has caught up and may be given a vote.
func (n *Node) IsLearner() bool {
	_, ok := n.caughtUpLearner()
	return ok
}

// peers returns the live processes that may hold replicas.
func (n *Node) peers() []Peer {
	if n.listPeers == nil {
		return nil
	}
	return n.listPeers()
}

// voterPlacement returns what is known for a change of the voters.
func (n *Node) voterPlacement(learners []state.Replica) *voterPlacement {
	zones := map[string]string{}
	for _, machine := range n.peers() {
		zones[machine.Address] = machine.Zone
	}
	return &voterPlacement{desiredVoters: desiredVoterCount(n.settings), isDown: n.isAbsent, isExpired: n.isForgotten,
		zoneOf: func(address string) string { return zones[address] }, learners: learners}
}

// RepairVoters makes the next change of the voters: it replaces one that is absent, and brings their number to what the
// settings ask for. The holder of the duty calls it now and then; where there is nothing to do it asks nobody. Errors
// are those of Change.
func (n *Node) RepairVoters(ctx context.Context) error {
	before := n.Voters()
	if len(before.Replicas) == 0 {
		return nil
	}
	if _, changed := n.voterPlacement(n.potentialLearners()).nextVoters(before.Replicas); !changed {
		return nil
	}
	seats := n.voterPlacement(n.queryLearners(ctx))
	if _, changed := seats.nextVoters(before.Replicas); !changed {
		return nil
	}
	record, err := n.Change(ctx, placementUpdate(seats.nextVoters))
	if err == nil && record.Voters.Epoch > before.Epoch {
		event.ReplicasChanged.Log(n.log).Uint64("epoch", record.Voters.Epoch).Int("voters", len(record.Voters.Replicas)).Send()
	}
	return err
}

// TransferVote gives the own vote to a learner before the process ends by plan. It returns at once where the replica has
// no vote or no other process could take it, else when that is done or the context ends; true where the replica surely
// has no vote, so that its machine may go for good. The replica takes part in nothing new afterwards; what it has
// accepted it still answers for.
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

// confirmNotVoter asks a majority whether the own replica has no vote: it may have been given one just now.
func (n *Node) confirmNotVoter(ctx context.Context) bool {
	bounded, cancel := context.WithTimeout(ctx, voteCheckTimeout)
	defer cancel()
	record, err := n.Read(bounded)
	own, _ := n.acceptor.State()
	return err == nil && !record.Voters.Contains(own.ReplicaID)
}

// transferVote makes one try and tells whether the replica has no vote any more.
func (n *Node) attemptVoteTransfer(ctx context.Context, id string) bool {
	seats := n.voterPlacement(n.queryLearners(ctx))
	if len(seats.learners) == 0 {
		return false
	}
	record, err := n.Change(ctx, placementUpdate(func(voters []state.Replica) ([]state.Replica, bool) {
		return seats.transferVote(voters, id)
	}))
	if err != nil || record.Voters.Contains(id) {
		return false
	}
	_, err = n.Read(ctx) // nobody may need the former set any more, of which this replica is one
	return err == nil
}

// potentialLearners returns the other processes that may hold learners, by address alone, without asking them.
func (n *Node) potentialLearners() (learners []state.Replica) {
	voting := map[string]bool{n.settings.InnerAddress(): true}
	for _, voter := range n.Voters().Replicas {
		voting[voter.Address] = true
	}
	if own, ok := n.caughtUpLearner(); ok {
		learners = append(learners, own.replica)
	}
	for _, machine := range n.peers() {
		if !voting[machine.Address] {
			learners = append(learners, state.Replica{ID: machine.Address, Address: machine.Address})
		}
	}
	return learners
}

// queryLearners returns the learners that hold the record as it was when they were asked. Those at the address of a voter
// see to themselves.
func (n *Node) queryLearners(ctx context.Context) (learners []state.Replica) {
	latest, _ := n.Latest()
	asked := n.potentialLearners()
	asked = asked[:min(len(asked), maxLearnerQueries)]
	answers := make(chan learnerProgress, len(asked))
	for _, possible := range asked {
		go func() { answers <- n.queryLearner(possible.Address) }()
	}
	for range asked {
		select {
		case answer := <-answers:
			if answer.replica.ID != "" && answer.revision+maxLearnerLag >= latest.Revision {
				learners = append(learners, answer.replica)
			}
		case <-ctx.Done():
			return learners
		}
	}
	return learners
}

// queryLearner asks one process for its learner; the zero value stands for none.
func (n *Node) queryLearner(address string) learnerProgress {
	if address == n.settings.InnerAddress() {
		own, _ := n.caughtUpLearner()
		return own
	}
	description := n.describe(address)
	if description == nil || description.Learner.Address != address {
		return learnerProgress{}
	}
	return learnerProgress{replica: description.Learner, revision: description.LearnerRevision}
}

// QuorumLoss returns the addresses of the voters that are absent where too few are left for a majority: nothing
// can be changed or read before some of them are back, with their disks.
func (n *Node) QuorumLoss() (absent []string) {
	set := n.Voters()
	for _, voter := range set.Replicas {
		if n.isAbsent(voter.Address) {
			absent = append(absent, voter.Address)
		}
	}
	if len(set.Replicas)-len(absent) >= set.Quorum() {
		return nil
	}
	return absent
}
