package register

import "rowanlink/serving/state"

// This file checks liveness: from each explored state, with the replicas that are left, a fair schedule has to repair
// the voters and commit a change.

// maxFairAttempts bounds the attempts of a fair schedule. Each attempt completes an unfinished change, makes one change
// of the voters, or commits the final change.
const maxFairAttempts = 8

// fairProposer is the ID of the fair schedule's proposer. It is the highest ID, so that its ballots win ties.
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
	for id, replica := range w.replicas {
		hasDeparted := w.departed && id == s.departing
		if replica.ReplicaID != "" && !hasDeparted {
			f.replicas[id] = replica
		}
	}
	if w.diskLost { // the replica rejoins at its address under a new ID
		f.replicas[s.losesDisk+"'"] = AcceptorState{ReplicaID: s.losesDisk + "'"}
	}
	f.known.observeVoters(exploredGenesis())
	f.placement = &voterPlacement{
		desiredVoters: minVoters,
		isDown:        func(address string) bool { return w.departed && address == s.departing },
		isExpired:     func(string) bool { return false },
		zoneOf:        func(string) string { return "" },
	}
	for id, replica := range f.replicas {
		f.known.observeVote(&Vote{Promised: replica.Promised, Accepted: replica.Accepted, Proposal: &replica.Proposal})
		f.placement.learners = append(f.placement.learners, state.Replica{ID: id, Address: id[:2]})
	}
	return f
}

// run returns why no change can be committed, or the empty string if one was committed.
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
	return "too many attempts"
}

// prepare runs a Prepare round with all replicas of the configuration, including those that the votes add to it.
func (f *fairSchedule) prepare(ballot Ballot) (*prepareTally, bool) {
	votes := newPrepareTally(f.known.committedVoters, f.known.highestAccepted)
	requested := map[string]bool{}
	for progressed := true; progressed; {
		progressed = false
		for _, voter := range votes.config().replicas() {
			if requested[voter.ID] {
				continue
			}
			requested[voter.ID] = true
			progressed = true
			replica, present := f.replicas[voter.ID]
			if !present {
				votes.add(voter.ID, nil)
				continue
			}
			result := replica.prepare(&PrepareRequest{ReplicaID: voter.ID, Ballot: ballot})
			f.apply(voter.ID, &result)
			votes.add(voter.ID, &result.vote)
		}
	}
	return votes, votes.hasQuorum()
}

// decide returns the next proposal, by the same steps as Proposer.runAttempt. It reports last if that is the final
// change, not the completion of another one or a change of the voters.
func (f *fairSchedule) decide(votes *prepareTally) (next Proposal, last bool) {
	committedVoters := f.known.committedVoters
	if votes.isCommitted() {
		committedVoters = votes.highestAccepted.Proposal.Record.Voters
		f.known.observeVoters(committedVoters)
	}
	newest := votes.highestAccepted.Proposal.leaveJoint(committedVoters)
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

// accept runs an Accept round and reports whether it has a quorum.
func (f *fairSchedule) accept(ballot Ballot, proposal *Proposal) bool {
	votes := newAcceptTally(f.rules.acceptConfig(proposal))
	for _, voter := range votes.config().replicas() {
		replica, present := f.replicas[voter.ID]
		if !present {
			continue
		}
		result := f.rules.accept(replica, &AcceptRequest{ReplicaID: voter.ID, Ballot: ballot, Proposal: *proposal})
		f.apply(voter.ID, &result)
		votes.add(voter.ID, &result.vote)
	}
	if !votes.hasQuorum() {
		return false
	}
	f.known.observeCommitted(AcceptedProposal{Ballot: ballot, Proposal: *proposal})
	return true
}

func (f *fairSchedule) apply(id string, result *transition) {
	if result.save {
		f.replicas[id] = result.next
	}
}
