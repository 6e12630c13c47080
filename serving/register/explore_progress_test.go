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
	seats    *seating
	known    knowledge
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
	f.known.establish(exploredGenesis())
	f.seats = &seating{wanted: leastVoters, zone: func(string) string { return "" }, forgotten: func(string) bool { return false },
		absent: func(address string) bool { return w.gone && address == s.goes }}
	for id, held := range f.replicas {
		f.known.voted(&Vote{Promised: held.Promised, Accepted: held.Accepted, Proposal: &held.Proposal})
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
func (f *fairSchedule) prepare(ballot Ballot) (*tally, bool) {
	votes := newTally(f.known.established, f.known.newest)
	asked := map[string]bool{}
	for news := true; news; {
		news = false
		for _, replica := range votes.electorate().replicas() {
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
	return votes, votes.complete()
}

// decide returns what is to be put to the vote, in the order of Proposer.try; last says that it is the change.
func (f *fairSchedule) decide(votes *tally) (next Proposal, last bool) {
	established := f.known.established
	if votes.committed() {
		established = votes.highest.Proposal.Record.Voters
		f.known.establish(established)
	}
	newest := votes.highest.Proposal.settled(established)
	if newest.setPending() {
		return newest, false
	}
	id := ChangeID{Proposer: fairProposer, Sequence: newest.Record.Revision}
	repaired, err := replaceVoters(f.seats.next)(newest.Record)
	if err == nil {
		return newest.successor(repaired, id, true), false
	}
	return newest.successor(newest.Record, id, false), true
}

func (f *fairSchedule) accept(ballot Ballot, proposal *Proposal) bool {
	votes := newAgreement(f.rules.agreementOf(proposal))
	for _, replica := range votes.electorate().replicas() {
		held, there := f.replicas[replica.ID]
		if !there {
			continue
		}
		decided := f.rules.accept(held, &AcceptRequest{ReplicaID: replica.ID, Ballot: ballot, Proposal: *proposal})
		f.keep(replica.ID, &decided)
		votes.add(replica.ID, &decided.vote)
	}
	if !votes.complete() {
		return false
	}
	f.known.committed(AcceptedProposal{Ballot: ballot, Proposal: *proposal})
	return true
}

func (f *fairSchedule) keep(id string, decided *step) {
	if decided.save {
		f.replicas[id] = decided.next
	}
}
