package register

import "rowanlink/serving/state"

// This file judges progress: from a state of explore_test.go, with those replicas that are still there, a fair schedule
// has to repair the voters and commit a change.

// fairSteps bounds the tries of a fair schedule. Each finishes a change that was left half-way, makes one change of the
// voters, or commits.
const fairSteps = 8

// fairProposer is the proposer of the fair schedule; its ballots are above all others.
const fairProposer = "Z"

// judgeProgress notes a state from which nothing can be committed any more.
func (w *world) judgeProgress(s *scenario, rules *exploredRules) {
	if !s.progress || w.problem != "" {
		return
	}
	schedule := newFairSchedule(w, s, rules)
	if reason := schedule.run(); reason != "" {
		w.fail("no progress: %s", reason)
	}
}

// fairSchedule is a proposer that reaches all replicas that are left, one request after the other.
type fairSchedule struct {
	rules    *exploredRules
	replicas map[string]AcceptorState
	seats    *voterPlacement
	known    learnedState
}

func newFairSchedule(w *world, s *scenario, rules *exploredRules) *fairSchedule {
	f := &fairSchedule{rules: rules, replicas: map[string]AcceptorState{}}
	for id, held := range w.replicas {
		if held.ReplicaID != "" && !(w.gone && id == s.goes) {
			f.replicas[id] = held
		}
	}
	if w.wiped { // it comes back at its address under a new ID
		f.replicas[s.wiped+"'"] = AcceptorState{ReplicaID: s.wiped + "'"}
	}
	f.known.observeVoters(exploredGenesis())
	f.seats = &voterPlacement{desiredVoters: minVoters, zoneOf: func(string) string { return "" }, isExpired: func(string) bool { return false },
		isDown: func(address string) bool { return w.gone && address == s.goes }}
	for id, held := range f.replicas {
		f.known.observeVote(&Vote{Promised: held.Promised, Accepted: held.Accepted, Proposal: &held.Proposal})
		f.seats.learners = append(f.seats.learners, state.Replica{ID: id, Address: id[:2]})
	}
	return f
}

// run returns why nothing can be committed; empty where something was.
func (f *fairSchedule) run() string {
	for range fairSteps {
		ballot := f.known.nextBallot(fairProposer)
		votes, ok := f.prepare(ballot)
		if !ok {
			return "no majority promises"
		}
		next, last := f.decide(votes)
		if !f.accept(ballot, &next) {
			return "no majority accepts"
		}
		if last {
			return ""
		}
	}
	return "no end"
}

// prepare asks all replicas that the votes bring into the round.
func (f *fairSchedule) prepare(ballot Ballot) (*prepareTally, bool) {
	votes := newPrepareTally(f.known.committedVoters, f.known.highestAccepted)
	asked := map[string]bool{}
	for news := true; news; {
		news = false
		for _, replica := range votes.config().replicas() {
			if asked[replica.ID] {
				continue
			}
			asked[replica.ID], news = true, true
			held, there := f.replicas[replica.ID]
			if !there {
				votes.add(replica.ID, nil)
				continue
			}
			decided := held.prepare(&PrepareRequest{ReplicaID: replica.ID, Ballot: ballot})
			f.keep(replica.ID, &decided)
			votes.add(replica.ID, &decided.vote)
		}
	}
	return votes, votes.hasQuorum()
}

// decide returns what is to be put to the vote, in the order of Proposer.try; last says that it is the change.
func (f *fairSchedule) decide(votes *prepareTally) (next Proposal, last bool) {
	established := f.known.committedVoters
	if votes.isCommitted() {
		established = votes.highestAccepted.Proposal.Record.Voters
		f.known.observeVoters(established)
	}
	newest := votes.highestAccepted.Proposal.leaveJoint(established)
	if newest.isJoint() {
		return newest, false
	}
	id := ChangeID{Proposer: fairProposer, Sequence: newest.Record.Revision}
	repaired, err := placementUpdate(f.seats.nextVoters)(newest.Record)
	if err == nil {
		return newest.successor(repaired, id, true), false
	}
	return newest.successor(newest.Record, id, false), true
}

func (f *fairSchedule) accept(ballot Ballot, proposal *Proposal) bool {
	votes := newAcceptTally(f.rules.agreementOf(proposal))
	for _, replica := range votes.config().replicas() {
		held, there := f.replicas[replica.ID]
		if !there {
			continue
		}
		decided := f.rules.accept(held, &AcceptRequest{ReplicaID: replica.ID, Ballot: ballot, Proposal: *proposal})
		f.keep(replica.ID, &decided)
		votes.add(replica.ID, &decided.vote)
	}
	if !votes.hasQuorum() {
		return false
	}
	f.known.observeCommitted(AcceptedProposal{Ballot: ballot, Proposal: *proposal})
	return true
}

func (f *fairSchedule) keep(id string, decided *transition) {
	if decided.save {
		f.replicas[id] = decided.next
	}
}
