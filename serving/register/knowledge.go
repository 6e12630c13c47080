package register

import "rowanlink/serving/state"

// knowledge is what a process has learned of the register from votes and from others. It is lost with the process;
// the register's safety doesn't rest on its being up to date.
type knowledge struct {
	number      uint64           // the highest ballot number seen or used
	established state.ReplicaSet // the newest set known to be committed; empty: none
	newest      AcceptedProposal // the highest proposal that some replica has accepted
}

// nextBallot returns a ballot above all that were seen, never used before by this process.
func (k *knowledge) nextBallot(proposer string) Ballot {
	k.number++
	return Ballot{Number: k.number, Proposer: proposer}
}

// establish takes in a set that is known to be committed and tells whether it was news.
func (k *knowledge) establish(set state.ReplicaSet) bool {
	if len(set.Replicas) == 0 || len(k.established.Replicas) > 0 && set.Epoch <= k.established.Epoch {
		return false
	}
	k.established = set
	return true
}

// accepted takes in a proposal that some replica has accepted and tells whether it showed a newer established set.
func (k *knowledge) accepted(candidate AcceptedProposal) bool {
	k.number = max(k.number, candidate.Ballot.Number)
	if k.newest.Ballot.Before(candidate.Ballot) {
		k.newest = candidate
	}
	return k.establish(candidate.Proposal.CommittedVoters())
}

// committed takes in a proposal that is known to be committed and tells whether it showed a newer established set.
func (k *knowledge) committed(candidate AcceptedProposal) bool {
	news := k.accepted(candidate)
	return k.establish(candidate.Proposal.Record.Voters) || news
}

// voted takes in what a vote tells and reports whether it showed a newer established set.
func (k *knowledge) voted(vote *Vote) bool {
	k.number = max(k.number, vote.Promised.Number, vote.Accepted.Number)
	news := false
	if vote.Proposal != nil {
		news = k.accepted(AcceptedProposal{Ballot: vote.Accepted, Proposal: *vote.Proposal})
	}
	if vote.CommittedVoters != nil {
		news = k.establish(*vote.CommittedVoters) || news
	}
	return news
}
