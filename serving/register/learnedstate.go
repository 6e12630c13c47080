package register

import "rowanlink/serving/state"

// learnedState is what a process has learned of the register from votes and from others. It is lost with the process;
// the register's safety doesn't rest on its being up to date.
type learnedState struct {
	highestBallotNumber uint64           // the highest ballot number seen or used
	committedVoters     state.ReplicaSet // the newest set known to be committed; empty: none
	highestAccepted     AcceptedProposal // the highest proposal that some replica has accepted
}

// nextBallot returns a ballot above all that were seen, never used before by this process.
func (k *learnedState) nextBallot(proposer string) Ballot {
	k.highestBallotNumber++
	return Ballot{Number: k.highestBallotNumber, Proposer: proposer}
}

// observeVoters takes in a set that is known to be committed and tells whether it was news.
func (k *learnedState) observeVoters(set state.ReplicaSet) bool {
	if len(set.Replicas) == 0 || len(k.committedVoters.Replicas) > 0 && set.Epoch <= k.committedVoters.Epoch {
		return false
	}
	k.committedVoters = set
	return true
}

// observeAccepted takes in a proposal that some replica has accepted and tells whether it showed a newer established set.
func (k *learnedState) observeAccepted(candidate AcceptedProposal) bool {
	k.highestBallotNumber = max(k.highestBallotNumber, candidate.Ballot.Number)
	if k.highestAccepted.Ballot.Before(candidate.Ballot) {
		k.highestAccepted = candidate
	}
	return k.observeVoters(candidate.Proposal.CommittedVoters())
}

// observeCommitted takes in a proposal that is known to be committed and tells whether it showed a newer established set.
func (k *learnedState) observeCommitted(candidate AcceptedProposal) bool {
	news := k.observeAccepted(candidate)
	return k.observeVoters(candidate.Proposal.Record.Voters) || news
}

// observeVote takes in what a vote tells and reports whether it showed a newer established set.
func (k *learnedState) observeVote(vote *Vote) bool {
	k.highestBallotNumber = max(k.highestBallotNumber, vote.Promised.Number, vote.Accepted.Number)
	news := false
	if vote.Proposal != nil {
		news = k.observeAccepted(AcceptedProposal{Ballot: vote.Accepted, Proposal: *vote.Proposal})
	}
	if vote.CommittedVoters != nil {
		news = k.observeVoters(*vote.CommittedVoters) || news
	}
	return news
}
