package register

import "rowanlink/serving/state"

// prepareTally counts the votes of a Prepare or Query round.
type prepareTally struct {
	committedVoters state.ReplicaSet  // as the proposer knew them when the round began
	knownAccepted   AcceptedProposal  // whose ballot the requests name; votes leave this proposal out
	granted         map[string]Ballot // by replica ID: the ballot that it has accepted
	failed          map[string]bool   // by replica ID: rejected, wrong replica at the address, or no answer
	highestAccepted AcceptedProposal  // the one with the highest ballot in the granted votes
}

func newPrepareTally(committed state.ReplicaSet, known AcceptedProposal) *prepareTally {
	initial := Proposal{Record: state.Record{Voters: committed}}
	return &prepareTally{
		committedVoters: committed,
		knownAccepted:   known,
		granted:         map[string]Ballot{},
		failed:          map[string]bool{},
		highestAccepted: AcceptedProposal{Proposal: initial},
	}
}

// config returns the sets whose majorities are needed, as far as the votes so far show.
func (t *prepareTally) config() jointConfig {
	return jointConfigFor(&t.highestAccepted.Proposal, t.committedVoters)
}

// add counts a replica's vote; nil stands for no answer.
func (t *prepareTally) add(id string, vote *Vote) {
	if vote == nil || vote.Result != Granted {
		t.failed[id] = true
		return
	}
	accepted := AcceptedProposal{Ballot: vote.Accepted}
	switch {
	case vote.Proposal != nil:
		accepted.Proposal = *vote.Proposal
	case vote.Accepted == t.knownAccepted.Ballot:
		accepted.Proposal = t.knownAccepted.Proposal
	case !vote.Accepted.IsZero(): // the vote lacks a proposal that the proposer doesn't have
		t.failed[id] = true
		return
	}
	t.granted[id] = vote.Accepted
	if t.highestAccepted.Ballot.Before(accepted.Ballot) {
		t.highestAccepted = accepted
	}
}

// hasQuorum reports whether a majority of each set has granted the request.
func (t *prepareTally) hasQuorum() bool {
	return t.config().hasQuorum(func(id string) bool {
		_, ok := t.granted[id]
		return ok
	})
}

// cannotReachQuorum reports whether too many votes failed for a majority.
func (t *prepareTally) cannotReachQuorum() bool {
	return t.config().cannotReachQuorum(func(id string) bool { return t.failed[id] })
}

// isCommitted reports whether a majority of each set has accepted the highest proposal under the same ballot.
func (t *prepareTally) isCommitted() bool {
	return t.config().hasQuorum(func(id string) bool {
		accepted, ok := t.granted[id]
		return ok && accepted == t.highestAccepted.Ballot
	})
}
