package register

import (
	"context"
	"time"

	"rowanlink/internal/ctxsleep"
	"rowanlink/serving/event"
	"rowanlink/serving/state"
)

const (
	// catchUpSlack is how many revisions a learner may be behind and still become a voter: records are told within a
	// fraction of a second, and a storm of changes must not keep every learner out.
	catchUpSlack = 8
	// candidatesMost bounds how many learners are asked before one change of the voters.
	candidatesMost = 16
	// handOverWait is the time between two tries to give the own vote to a learner.
	handOverWait = 100 * time.Millisecond
	// voteCheckLimit bounds the question of a learner that ends whether it has a vote.
	voteCheckLimit = 500 * time.Millisecond
)

// candidate is a learner that may become a voter.
type candidate struct {
	replica state.Replica
	held    uint64 // the highest revision on its disk
}

// learner returns the own replica where it is a learner that has caught up.
func (n *Node) learner() (candidate, bool) {
	own, loaded := n.acceptor.State()
	if !loaded || n.leaving.Load() || !n.caughtUp.Load() || n.Voters().Contains(own.ReplicaID) {
		return candidate{}, false
	}
	return candidate{replica: state.Replica{ID: own.ReplicaID, Address: n.settings.InnerAddress()}, held: own.held()}, true
}

// IsLearner tells whether the own replica is a learner that has caught up and may be given a vote.
func (n *Node) IsLearner() bool {
	_, ok := n.learner()
	return ok
}

// machines returns the live processes that may hold replicas.
func (n *Node) machines() []Peer {
	if n.members == nil {
		return nil
	}
	return n.members()
}

// seating returns what is known for a change of the voters.
func (n *Node) seating(learners []state.Replica) *seating {
	zones := map[string]string{}
	for _, machine := range n.machines() {
		zones[machine.Address] = machine.Zone
	}
	return &seating{wanted: votersWanted(n.settings), absent: n.isAbsent, forgotten: n.isForgotten,
		zone: func(address string) string { return zones[address] }, learners: learners}
}

// RepairVoters makes the next change of the voters: it replaces one that is absent, and brings their number to what the
// settings ask for. The holder of the duty calls it now and then; where there is nothing to do it asks nobody. Errors
// are those of Change.
func (n *Node) RepairVoters(ctx context.Context) error {
	before := n.Voters()
	if len(before.Replicas) == 0 {
		return nil
	}
	if _, changed := n.seating(n.possibleLearners()).next(before.Replicas); !changed {
		return nil
	}
	seats := n.seating(n.candidates(ctx))
	if _, changed := seats.next(before.Replicas); !changed {
		return nil
	}
	record, err := n.Change(ctx, replaceVoters(seats.next))
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
	n.leaving.Store(true)
	own, loaded := n.acceptor.State()
	if !loaded || len(n.Voters().Replicas) == 0 {
		return false
	}
	if !n.IsVoter() && n.surelyLearner(ctx) {
		return true
	}
	for len(n.possibleLearners()) > 0 && ctx.Err() == nil {
		if n.handOver(ctx, own.ReplicaID) {
			event.VoteTransferred.Log(n.log).Str("replica", own.ReplicaID).Send()
			return true
		}
		ctxsleep.Sleep(ctx, handOverWait)
	}
	event.VoteRetained.Log(n.log).Str("replica", own.ReplicaID).Send()
	return false
}

// surelyLearner asks a majority whether the own replica has no vote: it may have been given one just now.
func (n *Node) surelyLearner(ctx context.Context) bool {
	bounded, cancel := context.WithTimeout(ctx, voteCheckLimit)
	defer cancel()
	record, err := n.Read(bounded)
	own, _ := n.acceptor.State()
	return err == nil && !record.Voters.Contains(own.ReplicaID)
}

// handOver makes one try and tells whether the replica has no vote any more.
func (n *Node) handOver(ctx context.Context, id string) bool {
	seats := n.seating(n.candidates(ctx))
	if len(seats.learners) == 0 {
		return false
	}
	record, err := n.Change(ctx, replaceVoters(func(voters []state.Replica) ([]state.Replica, bool) {
		return seats.handOver(voters, id)
	}))
	if err != nil || record.Voters.Contains(id) {
		return false
	}
	_, err = n.Read(ctx) // nobody may need the former set any more, of which this replica is one
	return err == nil
}

// possibleLearners returns the other processes that may hold learners, by address alone, without asking them.
func (n *Node) possibleLearners() (learners []state.Replica) {
	voting := map[string]bool{n.settings.InnerAddress(): true}
	for _, voter := range n.Voters().Replicas {
		voting[voter.Address] = true
	}
	if own, ok := n.learner(); ok {
		learners = append(learners, own.replica)
	}
	for _, machine := range n.machines() {
		if !voting[machine.Address] {
			learners = append(learners, state.Replica{ID: machine.Address, Address: machine.Address})
		}
	}
	return learners
}

// candidates returns the learners that hold the record as it was when they were asked. Those at the address of a voter
// see to themselves.
func (n *Node) candidates(ctx context.Context) (learners []state.Replica) {
	latest, _ := n.Latest()
	asked := n.possibleLearners()
	asked = asked[:min(len(asked), candidatesMost)]
	answers := make(chan candidate, len(asked))
	for _, possible := range asked {
		go func() { answers <- n.candidateAt(possible.Address) }()
	}
	for range asked {
		select {
		case answer := <-answers:
			if answer.replica.ID != "" && answer.held+catchUpSlack >= latest.Revision {
				learners = append(learners, answer.replica)
			}
		case <-ctx.Done():
			return learners
		}
	}
	return learners
}

// candidateAt asks one process for its learner; the zero value stands for none.
func (n *Node) candidateAt(address string) candidate {
	if address == n.settings.InnerAddress() {
		own, _ := n.learner()
		return own
	}
	description := n.describe(address)
	if description == nil || description.Learner.Address != address {
		return candidate{}
	}
	return candidate{replica: description.Learner, held: description.LearnerRevision}
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
