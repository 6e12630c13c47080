package register

import "rowanlink/serving/state"

// prepareTally gathers the votes of a Prepare or Query round and tells what they amount to.
type prepareTally struct {
	committedVoters state.ReplicaSet  // what the proposer took for established when the round began
	knownAccepted   AcceptedProposal  // what the requests named as known
	granted         map[string]Ballot // by replica: what it has accepted
	failed          map[string]bool   // replicas that refused, answered for another, or didn't answer
	highestAccepted AcceptedProposal
}

func newPrepareTally(established state.ReplicaSet, known AcceptedProposal) *prepareTally {
	return &prepareTally{
		committedVoters: established,
		knownAccepted:   known,
		granted:         map[string]Ballot{},
		failed:          map[string]bool{},
		highestAccepted: AcceptedProposal{Proposal: Proposal{Record: state.Record{Voters: established}}},
	}
}

// config returns the sets that have to agree, as far as the votes have shown.
func (t *prepareTally) config() jointConfig {
	return jointConfigFor(&t.highestAccepted.Proposal, t.committedVoters)
}

// add takes a replica's vote; nil stands for none.
func (t *prepareTally) add(id string, vote *Vote) {
	if vote == nil || vote.Result != Granted {
		t.failed[id] = true
		return
	}
	candidate := AcceptedProposal{Ballot: vote.Accepted}
	switch {
	case vote.Proposal != nil:
		candidate.Proposal = *vote.Proposal
	case vote.Accepted == t.knownAccepted.Ballot:
		candidate.Proposal = t.knownAccepted.Proposal
	case !vote.Accepted.IsZero():
		t.failed[id] = true
		return
	}
	t.granted[id] = vote.Accepted
	if t.highestAccepted.Ballot.Before(candidate.Ballot) {
		t.highestAccepted = candidate
	}
}

// hasQuorum tells whether a majority of every set has granted.
func (t *prepareTally) hasQuorum() bool {
	return t.config().hasQuorum(func(id string) bool { _, ok := t.granted[id]; return ok })
}

// cannotReachQuorum tells whether the round can't become complete any more.
func (t *prepareTally) cannotReachQuorum() bool {
	return t.config().cannotReachQuorum(func(id string) bool { return t.failed[id] })
}

// isCommitted tells whether a majority of every set has accepted the highest proposal under the same ballot.
func (t *prepareTally) isCommitted() bool {
	return t.config().hasQuorum(func(id string) bool {
		accepted, ok := t.granted[id]
		return ok && accepted == t.highestAccepted.Ballot
	})
}

// acceptTally gathers the votes of an Accept round.
type acceptTally struct {
	voters  jointConfig
	granted map[string]bool
	failed  map[string]bool
}

func newAcceptTally(sets jointConfig) *acceptTally {
	return &acceptTally{voters: sets, granted: map[string]bool{}, failed: map[string]bool{}}
}

func (a *acceptTally) config() jointConfig { return a.voters }

func (a *acceptTally) add(id string, vote *Vote) {
	if vote == nil || vote.Result != Granted {
		a.failed[id] = true
		return
	}
	a.granted[id] = true
}

func (a *acceptTally) hasQuorum() bool {
	return a.voters.hasQuorum(func(id string) bool { return a.granted[id] })
}

func (a *acceptTally) cannotReachQuorum() bool {
	return a.voters.cannotReachQuorum(func(id string) bool { return a.failed[id] })
}
