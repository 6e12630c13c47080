package register

import "rowanlink/serving/state"

// learnedState is what a proposer has learned of the register from votes and from other processes. It isn't stored: the
// safety of the register doesn't depend on it, only the number of attempts that a change takes.
type learnedState struct {
	highestBallotNumber uint64           // the highest number seen or used
	committedVoters     state.ReplicaSet // the newest set known to be committed; empty: none
	highestAccepted     AcceptedProposal // the accepted proposal with the highest ballot seen
}

// nextBallot returns a ballot above all ballots seen so far, and a different one at each call.
func (l *learnedState) nextBallot(proposer string) Ballot {
	l.highestBallotNumber++
	return Ballot{Number: l.highestBallotNumber, Proposer: proposer}
}

// observeVoters records a committed set of voters and reports whether it is newer than the known one.
func (l *learnedState) observeVoters(set state.ReplicaSet) bool {
	if len(set.Replicas) == 0 {
		return false
	}
	if len(l.committedVoters.Replicas) > 0 && set.Epoch <= l.committedVoters.Epoch {
		return false
	}
	l.committedVoters = set
	return true
}

// observeAccepted records a proposal that some replica has accepted, and reports whether newer committed voters have
// become known by it.
func (l *learnedState) observeAccepted(accepted AcceptedProposal) bool {
	l.highestBallotNumber = max(l.highestBallotNumber, accepted.Ballot.Number)
	if l.highestAccepted.Ballot.Before(accepted.Ballot) {
		l.highestAccepted = accepted
	}
	return l.observeVoters(accepted.Proposal.CommittedVoters())
}

// observeCommitted records a committed proposal, and reports whether newer committed voters have become known by it.
func (l *learnedState) observeCommitted(committed AcceptedProposal) bool {
	changed := l.observeAccepted(committed)
	return l.observeVoters(committed.Proposal.Record.Voters) || changed
}

// observeVote records the content of a replica's vote, and reports whether newer committed voters have become known by
// it.
func (l *learnedState) observeVote(vote *Vote) bool {
	l.highestBallotNumber = max(l.highestBallotNumber, vote.Promised.Number, vote.Accepted.Number)
	changed := false
	if vote.Proposal != nil {
		changed = l.observeAccepted(AcceptedProposal{Ballot: vote.Accepted, Proposal: *vote.Proposal})
	}
	if vote.CommittedVoters != nil {
		changed = l.observeVoters(*vote.CommittedVoters) || changed
	}
	return changed
}
