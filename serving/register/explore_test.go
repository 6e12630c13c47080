package register

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/serving/state"
)

// maxExploredStates bounds one search.
const maxExploredStates = 60_000

// successors calls visit with every state that one event leads to.
func (w *exploredState) successors(s *scenario, rules *exploredRules, visit func(exploredEvent, *exploredState)) {
	for number := range w.rounds {
		round := &w.rounds[number]
		current := w.proposers[round.proposer].round == number
		if !round.accepting && !current {
			continue // an uncounted promise only makes a replica reject others, which the loss of their requests covers
		}
		for _, replica := range w.recipientsOf(rules, number) {
			if w.departed && replica.ID == s.departing {
				continue
			}
			for _, arrives := range []bool{true, false} {
				if arrives && !current || !arrives && !round.accepting {
					continue
				}
				next := w.clone()
				next.deliver(s, rules, number, replica.ID, arrives)
				if next.changed || arrives { // else nothing has changed
					visit(exploredEvent{round: number, replica: replica.ID, arrives: arrives}, next)
				}
			}
		}
	}
	for index := range w.proposers {
		if !w.proposers[index].finished && w.proposers[index].round >= 0 {
			next := w.clone()
			next.abandonAttempt(s, index)
			visit(exploredEvent{round: -1, replica: proposerName(index)}, next)
		}
	}
	if s.departing != "" && !w.departed && (!w.diskLost || w.voterReplaced) {
		next := w.clone()
		next.departed, next.changed = true, true
		visit(exploredEvent{round: -1, replica: s.departing}, next)
	}
	if s.losesDisk != "" && !w.diskLost && (!w.departed || w.voterReplaced) {
		next := w.clone()
		next.diskLost, next.changed = true, true
		next.replicas[s.losesDisk] = AcceptorState{}
		if rules.wipedKeepsID {
			next.replicas[s.losesDisk] = AcceptorState{ReplicaID: s.losesDisk, Proposal: Proposal{Record: state.Record{Voters: exploredGenesis()}}}
		}
		visit(exploredEvent{round: -1, replica: s.losesDisk}, next)
	}
}

// searchResult is the result of a search.
type searchResult struct {
	states     int
	depth      int // in events, up to which all states are explored
	isComplete bool
	problem    string
	events     []string // that lead to the problem
}

// exploredEvent is one event: a round's request reaches a replica, a proposer gives up or a replica is lost.
type exploredEvent struct {
	round   int // negative: none
	replica string
	arrives bool
}

func (e exploredEvent) text(w *exploredState) string {
	if e.round < 0 {
		return e.replica + " gives up, its disk, or goes for good"
	}
	round := &w.rounds[e.round]
	return fmt.Sprintf("ballot %v (accept: %t, %+v) reaches %s, vote arrives: %t", round.ballot, round.accepting,
		round.proposal.Changes, e.replica, e.arrives)
}

// exploredNode is a state in the search tree.
type exploredNode struct {
	world *exploredState
	from  *exploredNode
	event exploredEvent
	depth int
}

// events describes the events that led to the state, in order.
func (n *exploredNode) events() (all []string) {
	if n.from == nil {
		return nil
	}
	return append(n.from.events(), n.event.text(n.from.world))
}

// explore searches breadth first, until a state violates an invariant or the bound is reached.
func explore(s scenario, rules exploredRules, most int) (result searchResult) {
	first := &exploredNode{world: newExploredState(&s)}
	known := map[string]struct{}{first.world.key(&s): {}}
	for queue := []*exploredNode{first}; len(queue) > 0; queue = queue[1:] {
		at := queue[0]
		queue[0] = nil
		result.states, result.depth = len(known), at.depth
		if len(known) >= most {
			return result
		}
		at.world.successors(&s, &rules, func(happened exploredEvent, next *exploredState) {
			key := next.key(&s)
			if _, ok := known[key]; ok && next.problem == "" {
				return
			}
			known[key] = struct{}{}
			if next.changed {
				next.checkAllReads()
				next.checkProgress(&s, &rules)
			}
			reached := &exploredNode{world: next, from: at, event: happened, depth: at.depth + 1}
			if next.problem != "" && result.problem == "" {
				result.problem, result.events = next.problem, reached.events()
			}
			queue = append(queue, reached)
		})
		if result.problem != "" {
			return result
		}
	}
	result.isComplete = true
	return result
}

// TestExploreRegister searches all orders of events in small scenarios.
func TestExploreRegister(t *testing.T) {
	all := []scenario{raceScenario, replacementScenario, diskLossScenario, resendScenario, successiveScenario, growthScenario, transferScenario, transferAloneScenario, evacuationScenario}
	for _, s := range all[:len(all):len(all)] {
		if s.attempts == 1 {
			continue
		}
		s.name, s.attempts = s.name+", one try each", 1
		all = append(all, s)
	}
	for _, s := range all {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			result := explore(s, actualRules, maxExploredStates)
			t.Logf("%d states, to the end: %t, all up to %d events", result.states, result.isComplete, result.depth)
			assert.Empty(t, result.problem, "%v", result.events)
		})
	}
}

// TestExplore_FindsMutants checks that the search finds the violations of faulty protocols.
func TestExplore_FindsMutants(t *testing.T) {
	forgetful := actualRules
	forgetful.accept = func(s AcceptorState, request *AcceptRequest) transition {
		if s.ReplicaID == request.ReplicaID {
			s.Promised = Ballot{}
		}
		return s.accept(request)
	}
	ignoresOutgoing := transferAloneScenario
	ignoresOutgoing.ignoresOutgoing = true
	withoutFence := evacuationScenario
	withoutFence.withoutFence = true
	newSetAlone := actualRules
	newSetAlone.agreementOf = func(p *Proposal) jointConfig { return jointConfig{p.Record.Voters} }
	sameID := actualRules
	sameID.wipedKeepsID = true
	for name, mutant := range map[string]struct {
		scenario scenario
		rules    exploredRules
	}{
		"a replica accepts below its promise":        {raceScenario, forgetful},
		"a swap is accepted by the new set alone":    {replacementScenario, newSetAlone},
		"a replica that lost its disk keeps its ID":  {diskLossScenario, sameID},
		"a successor is added to an odd set":         {joinScenario, actualRules},
		"a voter leaves while its change is joint":   {ignoresOutgoing, actualRules},
		"an end that changes nothing writes nothing": {withoutFence, actualRules},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			result := explore(mutant.scenario, mutant.rules, maxExploredStates)
			t.Logf("%d states: %s after %d events", result.states, result.problem, len(result.events))
			assert.NotEmpty(t, result.problem)
		})
	}
}
