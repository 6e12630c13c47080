package register

import (
	"maps"
	"slices"

	"rowanlink/serving/state"
)

// This file defines the states that explore_test.go searches: some replicas, two proposers that each execute the
// changes of a script, and every message ever sent. The decisions are those of the program (acceptorstate.go,
// preparetally.go, accepttally.go, change.go, learnedstate.go); only the order of the steps of an attempt is modelled
// again here.
//
// A request may be delivered at any time, any number of times, or never, and its vote reaches the proposer or is lost.
// That covers duplicated, reordered and lost messages, the crash of a replica before its save (the request is never
// delivered) and after it (the vote is lost), and the crash of a proposer (it never continues).

// exploredRound is one round of one attempt, with the messages that it has sent.
type exploredRound struct {
	proposer  int
	ballot    Ballot
	accepting bool         // an Accept round; otherwise a Prepare round
	proposal  Proposal     // of an Accept round
	known     learnedState // what the proposer knew when a Prepare round began
	name      string       // identifies the round
}

// exploredProposer is a proposer that executes its script.
type exploredProposer struct {
	known          learnedState
	scriptPosition int // index of the change in the script
	change         change
	changesVoters  bool // some of the change's proposals are joint
	round          int  // index of the current round; negative: none
	granted        map[string]Vote
	// outcomeOnAccept is the outcome of the attempt once its Accept round has a quorum.
	outcomeOnAccept attemptOutcome
	rejected        bool // the change is rejected once the proposal that it was resolved on is committed
	finished        bool // it has executed its script or given up
}

// committedRecord identifies a record that some proposer has found to be committed.
type committedRecord struct {
	revision, version, epoch uint64
}

// exploredState is one state of the search.
type exploredState struct {
	replicas  map[string]AcceptorState // by ID
	rounds    []exploredRound
	proposers [2]exploredProposer
	diskLost  bool // scenario.losesDisk has lost its disk
	departed  bool // scenario.departing has left
	// voterReplaced means that some proposer has found a change of the voters to be committed and not joint any more.
	// The replaced voter isn't needed any more, so another loss has to be tolerated.
	voterReplaced bool

	committed       map[uint64]committedRecord // by revision
	evacuationEnded bool                       // the last proposer's end of the evacuation was acknowledged
	acknowledged    []sentUpdate               // changes of the configuration
	acknowledgedAt  []uint64                   // by index in acknowledged: the revision of the change
	changed         bool                       // a replica has changed since the state was cloned
	problem         string                     // the first violation; empty: none
}

func exploredGenesis() state.ReplicaSet {
	return state.ReplicaSet{Replicas: []state.Replica{replicaNamed("r1"), replicaNamed("r2"), replicaNamed("r3")}}
}

// genesisState returns the initial state of a genesis voter.
func genesisState(id string) AcceptorState {
	record := state.Record{Voters: exploredGenesis()}
	return AcceptorState{ReplicaID: id, Proposal: Proposal{Record: record}}
}

func newExploredState(s *scenario) *exploredState {
	w := &exploredState{replicas: map[string]AcceptorState{}, committed: map[uint64]committedRecord{}}
	for _, replica := range exploredGenesis().Replicas {
		w.replicas[replica.ID] = genesisState(replica.ID)
	}
	for _, id := range []string{"r4", "r5"} {
		w.replicas[id] = AcceptorState{ReplicaID: id}
	}
	for index := range w.proposers {
		p := &w.proposers[index]
		p.known.observeVoters(exploredGenesis())
		w.beginChange(s, index)
	}
	return w
}

// clone copies the parts that events modify.
func (w *exploredState) clone() *exploredState {
	next := *w
	next.replicas = maps.Clone(w.replicas)
	next.rounds = slices.Clone(w.rounds)
	next.committed = maps.Clone(w.committed)
	next.acknowledged = slices.Clone(w.acknowledged)
	next.acknowledgedAt = slices.Clone(w.acknowledgedAt)
	next.changed = false
	for index := range next.proposers {
		p := &next.proposers[index]
		p.granted = maps.Clone(p.granted)
	}
	return &next
}

func proposerName(index int) string { return string(rune('A' + index)) }

// beginChange begins the next change of the proposer's script.
func (w *exploredState) beginChange(s *scenario, index int) {
	p := &w.proposers[index]
	p.round = -1
	if p.scriptPosition == len(s.scripts[index]) {
		w.finishProposer(s, index)
		return
	}
	if s.sequential && index > 0 && !w.proposers[index-1].finished {
		return
	}
	p.change = change{
		id:     ChangeID{Proposer: proposerName(index), Sequence: uint64(p.scriptPosition + 1)},
		update: s.scripts[index][p.scriptPosition],
	}
	p.changesVoters = false
	w.beginAttempt(index)
}

// beginAttempt begins the Prepare round of an attempt.
func (w *exploredState) beginAttempt(index int) {
	p := &w.proposers[index]
	ballot := p.known.nextBallot(proposerName(index))
	p.granted = map[string]Vote{}
	p.round = len(w.rounds)
	w.send(exploredRound{proposer: index, ballot: ballot, known: p.known})
}

// abandonAttempt ends the current round without a decision, and begins the next attempt if there is one.
func (w *exploredState) abandonAttempt(s *scenario, index int) {
	p := &w.proposers[index]
	if p.change.attempts++; p.change.attempts >= s.attempts {
		w.finishProposer(s, index)
		return
	}
	w.beginAttempt(index)
}

// finishProposer ends a proposer's script. In a sequential scenario the next one's begins.
func (w *exploredState) finishProposer(s *scenario, index int) {
	w.proposers[index].finished = true
	w.proposers[index].round = -1
	if s.sequential && index+1 < len(w.proposers) {
		w.beginChange(s, index+1)
	}
}

// recipientsOf returns the replicas that a round sends its request to.
func (w *exploredState) recipientsOf(rules *exploredRules, number int) []state.Replica {
	round := &w.rounds[number]
	if round.accepting {
		return rules.acceptConfig(&round.proposal).replicas()
	}
	if p := &w.proposers[round.proposer]; p.round == number {
		return w.tallyOf(p).config().replicas()
	}
	return append(slices.Clone(exploredGenesis().Replicas), replicaNamed("r4"), replicaNamed("r5"))
}

// tallyOf returns the tally of the votes in a proposer's current Prepare round.
func (w *exploredState) tallyOf(p *exploredProposer) *prepareTally {
	round := &w.rounds[p.round]
	votes := newPrepareTally(round.known.committedVoters, round.known.highestAccepted)
	for _, id := range slices.Sorted(maps.Keys(p.granted)) {
		vote := p.granted[id]
		votes.add(id, &vote)
	}
	return votes
}

// deliver delivers a round's request to a replica. If arrives is set, the vote reaches the proposer; otherwise it is
// lost.
func (w *exploredState) deliver(s *scenario, rules *exploredRules, number int, id string, arrives bool) {
	round := &w.rounds[number]
	result := w.handle(rules, round, id)
	if result.save {
		w.replicas[id] = result.next
		w.changed = true
	}
	if !arrives {
		return
	}
	p := &w.proposers[round.proposer]
	p.known.observeVote(&result.vote)
	if p.round != number || result.vote.Result != Granted {
		return
	}
	p.granted[id] = result.vote
	if round.accepting {
		w.continueAfterAccept(s, rules, round.proposer)
	} else {
		w.continueAfterPrepare(s, round.proposer)
	}
}

// handle returns the transition by which a replica responds to a round's request.
func (w *exploredState) handle(rules *exploredRules, round *exploredRound, id string) transition {
	replica := w.replicas[id]
	switch {
	case replica.ReplicaID == "": // the disk is lost, and with it the ID
		return transition{vote: Vote{Result: WrongReplica}}
	case round.accepting:
		return rules.accept(replica, &AcceptRequest{ReplicaID: id, Ballot: round.ballot, Proposal: round.proposal})
	default:
		return replica.prepare(&PrepareRequest{
			ReplicaID:   id,
			Ballot:      round.ballot,
			KnownBallot: round.known.highestAccepted.Ballot,
		})
	}
}

// continueAfterPrepare continues the attempt if its Prepare round has a quorum, by the same steps as
// Proposer.runAttempt.
func (w *exploredState) continueAfterPrepare(s *scenario, index int) {
	p := &w.proposers[index]
	votes, round := w.tallyOf(p), w.rounds[p.round]
	if !votes.hasQuorum() {
		return
	}
	if votes.highestAccepted.Ballot.IsZero() && round.known.committedVoters.Epoch > 0 {
		w.abandonAttempt(s, index)
		return
	}
	committedVoters, committed := round.known.committedVoters, votes.isCommitted()
	if committed {
		w.commit(s, p, votes.highestAccepted)
		committedVoters = votes.highestAccepted.Proposal.Record.Voters
	}
	newest := votes.highestAccepted.Proposal.leaveJoint(committedVoters)
	if newest.isJoint() {
		w.propose(index, round.ballot, newest, attemptFinishedReconfiguration)
		return
	}
	resolved := p.change.resolve(&newest)
	if resolved.write {
		p.change.recordProposal(&resolved.proposal)
		p.changesVoters = p.changesVoters || resolved.proposal.isJoint()
		w.propose(index, round.ballot, resolved.proposal, attemptDecided)
		return
	}
	p.rejected = resolved.rejection != nil
	if committed && !votes.highestAccepted.Proposal.isJoint() && (!resolved.fence || s.withoutFence) {
		w.completeChange(s, index, &newest)
		return
	}
	w.propose(index, round.ballot, newest, attemptDecided)
}

// propose begins the Accept round of an attempt.
func (w *exploredState) propose(index int, ballot Ballot, proposal Proposal, outcome attemptOutcome) {
	p := &w.proposers[index]
	p.granted = map[string]Vote{}
	p.outcomeOnAccept = outcome
	p.round = len(w.rounds)
	w.send(exploredRound{proposer: index, ballot: ballot, accepting: true, proposal: proposal})
}

// send begins a round.
func (w *exploredState) send(round exploredRound) {
	round.name = nameOf(&round)
	w.rounds = append(w.rounds, round)
}

// continueAfterAccept continues the attempt if its Accept round has a quorum.
func (w *exploredState) continueAfterAccept(s *scenario, rules *exploredRules, index int) {
	p := &w.proposers[index]
	round := w.rounds[p.round]
	votes := newAcceptTally(rules.acceptConfig(&round.proposal))
	for id := range p.granted {
		vote := p.granted[id]
		votes.add(id, &vote)
	}
	if !votes.hasQuorum() {
		return
	}
	w.commit(s, p, AcceptedProposal{Ballot: round.ballot, Proposal: round.proposal})
	if p.outcomeOnAccept == attemptFinishedReconfiguration {
		w.abandonAttempt(s, index) // another attempt follows
		return
	}
	w.completeChange(s, index, &round.proposal)
}

// completeChange ends a change that was acknowledged or rejected, and begins the next one of the script.
func (w *exploredState) completeChange(s *scenario, index int, proposal *Proposal) {
	p := &w.proposers[index]
	if !p.rejected && !p.changesVoters && proposal.containsChange(p.change.id) {
		w.acknowledge(p, proposal)
	}
	w.evacuationEnded = w.evacuationEnded || s.sequential && index == len(w.proposers)-1
	p.rejected = false
	p.scriptPosition++
	w.beginChange(s, index)
}

// commit records that a proposer has found a proposal to be committed.
func (w *exploredState) commit(s *scenario, p *exploredProposer, committed AcceptedProposal) {
	p.known.observeCommitted(committed)
	changesVoters := committed.Proposal.Record.Voters.Epoch > 0
	if changesVoters && (s.ignoresOutgoing || !committed.Proposal.isJoint()) {
		w.voterReplaced = true
	}
	w.observeCommitted(&committed.Proposal)
}
