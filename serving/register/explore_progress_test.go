package register

import "rowanlink/serving/state"

// This file checks liveness: from each explored state, with the replicas that are left, a fair schedule has to repair the
// voters and commit a change.

// maxFairAttempts bounds the attempts of a fair schedule. Each of them finishes an unfinished change, makes one change of
// the voters, or commits.
const maxFairAttempts = 8

// fairProposer is the ID of the fair schedule's proposer. It makes its ballots win ties.
const fairProposer = "Z"

// checkProgress checks that a change can still be committed.
func (w *exploredState) checkProgress(s *scenario, rules *exploredRules) {
	if !s.progress || w.problem != "" {
		return
	}
	schedule := newFairSchedule(w, s, rules)
	if reason := schedule.run(); reason != "" {
		w.fail("no progress: %s", reason)
	}
}

// fairSchedule is a proposer that reaches all remaining replicas, one request after the other.
type fairSchedule struct {
	rules     *exploredRules
	replicas  map[string]AcceptorState
	placement *voterPlacement
	known     learnedState
}

func newFairSchedule(w *exploredState, s *scenario, rules *exploredRules) *fairSchedule {
	f := &fairSchedule{rules: rules, replicas: map[string]AcceptorState{}}
	for id, held := range w.replicas {
		hasDeparted := w.departed && id == s.departing
		if held.ReplicaID != "" && !hasDeparted {
			f.replicas[id] = held
		}
	}
	if w.diskLost { // the replica rejoins at its address under a new ID
		f.replicas[s.losesDisk+"'"] = AcceptorState{ReplicaID: s.losesDisk + "'"}
	}
	f.known.observeVoters(exploredGenesis())
	f.placement = &voterPlacement{desiredVoters: minVoters, zoneOf: func(string) string { return "" }, isExpired: func(string) bool { return false },
		isDown: func(address string) bool { return w.departed && address == s.departing }}
	for id, held := range f.replicas {
		f.known.observeVote(&Vote{Promised: held.Promised, Accepted: held.Accepted, Proposal: &held.Proposal})
		f.placement.learners = append(f.placement.learners, state.Replica{ID: id, Address: id[:2]})
	}
	return f
}

// run returns why no change can be committed, empty if one was.
func (f *fairSchedule) run() string {
	for range maxFairAttempts {
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

// prepare runs a Prepare round with all replicas that the votes bring into it.
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
			f.apply(replica.ID, &decided)
			votes.add(replica.ID, &decided.vote)
		}
	}
	return votes, votes.hasQuorum()
}

// decide returns the next proposal, in the order of Proposer.runAttempt. The last one is the change itself.
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
	repaired, err := placementUpdate(f.placement.nextVoters)(newest.Record)
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
		f.apply(replica.ID, &decided)
		votes.add(replica.ID, &decided.vote)
	}
	if !votes.hasQuorum() {
		return false
	}
	f.known.observeCommitted(AcceptedProposal{Ballot: ballot, Proposal: *proposal})
	return true
}

func (f *fairSchedule) apply(id string, decided *transition) {
	if decided.save {
		f.replicas[id] = decided.next
	}
}
