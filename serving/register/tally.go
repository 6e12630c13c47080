package register

import "rowanlink/serving/state"

// tally gathers the votes of a Prepare or Query round and tells what they amount to.
type tally struct {
	established state.ReplicaSet  // what the proposer took for established when the round began
	known       AcceptedProposal  // what the requests named as known
	granted     map[string]Ballot // by replica: what it has accepted
	lost        map[string]bool   // replicas that refused, answered for another, or didn't answer
	highest     AcceptedProposal
}

func newTally(established state.ReplicaSet, known AcceptedProposal) *tally {
	return &tally{
		established: established,
		known:       known,
		granted:     map[string]Ballot{},
		lost:        map[string]bool{},
		highest:     AcceptedProposal{Proposal: Proposal{Record: state.Record{Voters: established}}},
	}
}

// electorate returns the sets that have to agree, as far as the votes have shown.
func (t *tally) electorate() electorate { return electorateOf(&t.highest.Proposal, t.established) }

// add takes a replica's vote; nil stands for none.
func (t *tally) add(id string, vote *Vote) {
	if vote == nil || vote.Result != Granted {
		t.lost[id] = true
		return
	}
	candidate := AcceptedProposal{Ballot: vote.Accepted}
	switch {
	case vote.Proposal != nil:
		candidate.Proposal = *vote.Proposal
	case vote.Accepted == t.known.Ballot:
		candidate.Proposal = t.known.Proposal
	case !vote.Accepted.IsZero():
		t.lost[id] = true
		return
	}
	t.granted[id] = vote.Accepted
	if t.highest.Ballot.Before(candidate.Ballot) {
		t.highest = candidate
	}
}

// complete tells whether a majority of every set has granted.
func (t *tally) complete() bool {
	return t.electorate().carried(func(id string) bool { _, ok := t.granted[id]; return ok })
}

// hopeless tells whether the round can't become complete any more.
func (t *tally) hopeless() bool {
	return t.electorate().hopeless(func(id string) bool { return t.lost[id] })
}

// committed tells whether a majority of every set has accepted the highest proposal under the same ballot.
func (t *tally) committed() bool {
	return t.electorate().carried(func(id string) bool {
		accepted, ok := t.granted[id]
		return ok && accepted == t.highest.Ballot
	})
}

// agreement gathers the votes of an Accept round.
type agreement struct {
	sets    electorate
	granted map[string]bool
	lost    map[string]bool
}

func newAgreement(sets electorate) *agreement {
	return &agreement{sets: sets, granted: map[string]bool{}, lost: map[string]bool{}}
}

func (a *agreement) electorate() electorate { return a.sets }

func (a *agreement) add(id string, vote *Vote) {
	if vote == nil || vote.Result != Granted {
		a.lost[id] = true
		return
	}
	a.granted[id] = true
}

func (a *agreement) complete() bool {
	return a.sets.carried(func(id string) bool { return a.granted[id] })
}

func (a *agreement) hopeless() bool {
	return a.sets.hopeless(func(id string) bool { return a.lost[id] })
}
