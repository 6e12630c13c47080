package register

import (
	"maps"
	"slices"

	"rowanlink/serving/state"
)

// This file has the small worlds that explore_test.go goes through: some replicas, two proposers that each carry out
// the changes of a script, and every message ever sent. The decisions are those of the program (step.go, tally.go,
// change.go, knowledge.go); the order of a try is written here once more.
//
// A request may be delivered at any time, any number of times, or never, and its vote reaches the proposer or is lost.
// That covers doubled, reordered and lost messages, a replica's crash before its save (never delivered) and after it
// (vote lost), and a proposer's crash (it never goes on).

// exploredRound is one round of one try, with the messages that it has sent.
type exploredRound struct {
	proposer  int
	ballot    Ballot
	accepting bool
	proposal  Proposal // accepting
	known     learnedState
	name      string
}

// exploredProposer is a proposer in the middle of its script.
type exploredProposer struct {
	known   learnedState
	at      int // change of the script
	change  change
	round   int // index of the round under way; negative: none
	granted map[string]Vote
	// then is what the end of an accepting round means.
	then    attemptOutcome
	refused bool // the change is refused once what it was decided on is committed
	gone    bool // it gives up after the last try
}

// committedFact is what somebody has seen as committed.
type committedFact struct {
	revision, version, epoch uint64
}

// world is one state of everything.
type world struct {
	replicas  map[string]AcceptorState // by ID
	rounds    []exploredRound
	proposers [2]exploredProposer
	wiped     bool
	gone      bool
	// replaced says that somebody has seen a change of the voters as settled: the one that was replaced counts no longer,
	// so that another loss is to be borne.
	replaced bool

	committed      map[uint64]committedFact // by revision
	ended          bool                     // the last proposer's end of the evacuation was acknowledged
	acknowledged   []order                  // changes of the configuration
	acknowledgedAt []uint64                 // the revisions of those
	saved          bool                     // a replica has changed since its clone was made
	problem        string
}

func exploredGenesis() state.ReplicaSet {
	return state.ReplicaSet{Replicas: []state.Replica{replicaNamed("r1"), replicaNamed("r2"), replicaNamed("r3")}}
}

func newWorld(s *scenario) *world {
	w := &world{replicas: map[string]AcceptorState{}, committed: map[uint64]committedFact{}}
	for _, replica := range exploredGenesis().Replicas {
		w.replicas[replica.ID] = AcceptorState{ReplicaID: replica.ID,
			Proposal: Proposal{Record: state.Record{Voters: exploredGenesis()}}}
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

// clone copies what steps change in place.
func (w *world) clone() *world {
	next := *w
	next.replicas = maps.Clone(w.replicas)
	next.rounds = slices.Clone(w.rounds)
	next.committed = maps.Clone(w.committed)
	next.acknowledged, next.acknowledgedAt = slices.Clone(w.acknowledged), slices.Clone(w.acknowledgedAt)
	next.saved = false
	for index := range next.proposers {
		p := &next.proposers[index]
		p.granted = maps.Clone(p.granted)
	}
	return &next
}

func proposerName(index int) string { return string(rune('A' + index)) }

// beginChange begins the change of the script that the proposer is at.
func (w *world) beginChange(s *scenario, index int) {
	p := &w.proposers[index]
	p.round = -1
	if p.at == len(s.scripts[index]) {
		w.leave(s, index)
		return
	}
	if s.inTurn && index > 0 && !w.proposers[index-1].gone {
		return
	}
	p.change = change{id: ChangeID{Proposer: proposerName(index), Sequence: uint64(p.at + 1)}, update: s.scripts[index][p.at]}
	w.beginTry(index)
}

// beginTry sends the first round of a try.
func (w *world) beginTry(index int) {
	p := &w.proposers[index]
	ballot := p.known.nextBallot(proposerName(index))
	p.granted = map[string]Vote{}
	p.round = len(w.rounds)
	w.send(exploredRound{proposer: index, ballot: ballot, known: p.known})
}

// giveUp ends the round under way without a decision; the next try begins, if there is one.
func (w *world) giveUp(s *scenario, index int) {
	p := &w.proposers[index]
	if p.change.attempts++; p.change.attempts >= s.tries {
		w.leave(s, index)
		return
	}
	w.beginTry(index)
}

// leave ends a proposer's part. Where the scenario has one after the other, the next one's begins.
func (w *world) leave(s *scenario, index int) {
	w.proposers[index].gone, w.proposers[index].round = true, -1
	if s.inTurn && index+1 < len(w.proposers) {
		w.beginChange(s, index+1)
	}
}

// sentTo are the replicas that a round asks.
func (w *world) sentTo(rules *exploredRules, number int) []state.Replica {
	round := &w.rounds[number]
	if round.accepting {
		return rules.agreementOf(&round.proposal).replicas()
	}
	if p := &w.proposers[round.proposer]; p.round == number {
		return w.tallyOf(p).config().replicas()
	}
	return append(slices.Clone(exploredGenesis().Replicas), replicaNamed("r4"), replicaNamed("r5"))
}

// tallyOf is the tally of a proposer's prepare round, made of the votes that came.
func (w *world) tallyOf(p *exploredProposer) *prepareTally {
	round := &w.rounds[p.round]
	votes := newPrepareTally(round.known.committedVoters, round.known.highestAccepted)
	for _, id := range slices.Sorted(maps.Keys(p.granted)) {
		vote := p.granted[id]
		votes.add(id, &vote)
	}
	return votes
}

// deliver has a replica take a round's request. Where arrives is set, the vote reaches the proposer.
func (w *world) deliver(s *scenario, rules *exploredRules, number int, id string, arrives bool) {
	round := &w.rounds[number]
	own, decided := w.replicas[id], transition{}
	if round.accepting {
		decided = rules.accept(own, &AcceptRequest{ReplicaID: id, Ballot: round.ballot, Proposal: round.proposal})
	} else {
		decided = own.prepare(&PrepareRequest{ReplicaID: id, Ballot: round.ballot, KnownBallot: round.known.highestAccepted.Ballot})
	}
	if own.ReplicaID == "" { // the disk is lost, and with it the ID
		decided = transition{vote: Vote{Result: WrongReplica}}
	}
	if decided.save {
		w.replicas[id], w.saved = decided.next, true
	}
	if !arrives {
		return
	}
	p := &w.proposers[round.proposer]
	p.known.observeVote(&decided.vote)
	if p.round != number || decided.vote.Result != Granted {
		return
	}
	p.granted[id] = decided.vote
	if round.accepting {
		w.accepted(s, rules, round.proposer)
	} else {
		w.prepared(s, round.proposer)
	}
}

// prepared goes on where the prepare round is complete, in the order of Proposer.try.
func (w *world) prepared(s *scenario, index int) {
	p := &w.proposers[index]
	votes, round := w.tallyOf(p), w.rounds[p.round]
	if !votes.hasQuorum() {
		return
	}
	if votes.highestAccepted.Ballot.IsZero() && round.known.committedVoters.Epoch > 0 {
		w.giveUp(s, index)
		return
	}
	established, committed := round.known.committedVoters, votes.isCommitted()
	if committed {
		w.commit(s, p, votes.highestAccepted)
		established = votes.highestAccepted.Proposal.Record.Voters
	}
	newest := votes.highestAccepted.Proposal.leaveJoint(established)
	if newest.isJoint() {
		w.propose(index, round.ballot, newest, attemptFinishedOther)
		return
	}
	verdict := p.change.resolve(&newest)
	if verdict.write {
		p.change.recordProposal(&verdict.proposal)
		w.propose(index, round.ballot, verdict.proposal, attemptDecided)
		return
	}
	p.refused = verdict.rejection != nil
	if committed && !votes.highestAccepted.Proposal.isJoint() && (!verdict.fence || s.unfenced) {
		w.end(s, index, &newest)
		return
	}
	w.propose(index, round.ballot, newest, attemptDecided)
}

// propose sends the second round of a try.
func (w *world) propose(index int, ballot Ballot, proposal Proposal, then attemptOutcome) {
	p := &w.proposers[index]
	p.granted, p.then = map[string]Vote{}, then
	p.round = len(w.rounds)
	w.send(exploredRound{proposer: index, ballot: ballot, accepting: true, proposal: proposal})
}

// send begins a round.
func (w *world) send(round exploredRound) {
	round.name = nameOf(&round)
	w.rounds = append(w.rounds, round)
}

// accepted goes on where the accept round is complete.
func (w *world) accepted(s *scenario, rules *exploredRules, index int) {
	p := &w.proposers[index]
	round := w.rounds[p.round]
	votes := newAcceptTally(rules.agreementOf(&round.proposal))
	for id := range p.granted {
		vote := p.granted[id]
		votes.add(id, &vote)
	}
	if !votes.hasQuorum() {
		return
	}
	w.commit(s, p, AcceptedProposal{Ballot: round.ballot, Proposal: round.proposal})
	if p.then == attemptFinishedOther {
		w.giveUp(s, index) // another try follows
		return
	}
	w.end(s, index, &round.proposal)
}

// end ends a change: it is acknowledged or refused.
func (w *world) end(s *scenario, index int, proposal *Proposal) {
	p := &w.proposers[index]
	if !p.refused && !p.change.changesVoters && proposal.containsChange(p.change.id) {
		w.acknowledge(p, proposal)
	}
	w.ended = w.ended || s.inTurn && index == len(w.proposers)-1
	p.refused = false
	p.at++
	w.beginChange(s, index)
}

// commit notes that a proposer takes a proposal for committed.
func (w *world) commit(s *scenario, p *exploredProposer, candidate AcceptedProposal) {
	p.known.observeCommitted(candidate)
	if epoch := candidate.Proposal.Record.Voters.Epoch; epoch > 0 && (s.unsettled || !candidate.Proposal.isJoint()) {
		w.replaced = true
	}
	w.seen(&candidate.Proposal)
}
