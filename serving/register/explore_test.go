package register

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// maxExploredStates bounds one search.
const maxExploredStates = 60_000

// successors calls visit for each state that one event leads to.
func (w *exploredState) successors(s *scenario, rules *exploredRules, visit func(exploredEvent, *exploredState)) {
	w.deliveries(s, rules, visit)
	w.abandonments(s, visit)
	w.losses(s, rules, visit)
}

// deliveries visits the states after a request has reached a replica, with the vote reaching the proposer or being
// lost.
func (w *exploredState) deliveries(s *scenario, rules *exploredRules, visit func(exploredEvent, *exploredState)) {
	for number := range w.rounds {
		round := &w.rounds[number]
		current := w.proposers[round.proposer].round == number
		if !round.accepting && !current {
			continue // a late promise only makes the replica reject other requests, which equals their loss
		}
		for _, replica := range w.recipientsOf(rules, number) {
			if w.departed && replica.ID == s.departing {
				continue
			}
			if current {
				visit(w.afterDelivery(s, rules, exploredEvent{round: number, replica: replica.ID, arrives: true}))
			}
			if !round.accepting {
				continue
			}
			event, next := w.afterDelivery(s, rules, exploredEvent{round: number, replica: replica.ID, arrives: false})
			if next.changed {
				visit(event, next)
			}
		}
	}
}

// afterDelivery returns the event and a copy of the state after the delivery that it describes.
func (w *exploredState) afterDelivery(
	s *scenario, rules *exploredRules, event exploredEvent,
) (exploredEvent, *exploredState) {
	next := w.clone()
	next.deliver(s, rules, event.round, event.replica, event.arrives)
	return event, next
}

// abandonments visits the states in which a proposer gives up its present attempt.
func (w *exploredState) abandonments(s *scenario, visit func(exploredEvent, *exploredState)) {
	for index := range w.proposers {
		if !w.proposers[index].finished && w.proposers[index].round >= 0 {
			next := w.clone()
			next.abandonAttempt(s, index)
			visit(exploredEvent{round: -1, replica: proposerName(index)}, next)
		}
	}
}

// losses visits the states after a replica has left or has lost its disk.
func (w *exploredState) losses(s *scenario, rules *exploredRules, visit func(exploredEvent, *exploredState)) {
	if s.departing != "" && !w.departed && (!w.diskLost || w.voterReplaced) {
		next := w.clone()
		next.departed = true
		next.changed = true
		visit(exploredEvent{round: -1, replica: s.departing}, next)
	}
	if s.losesDisk != "" && !w.diskLost && (!w.departed || w.voterReplaced) {
		next := w.clone()
		next.diskLost = true
		next.changed = true
		next.replicas[s.losesDisk] = AcceptorState{}
		if rules.wipedKeepsID {
			next.replicas[s.losesDisk] = genesisState(s.losesDisk)
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
		return e.replica + " gives up, loses its disk, or leaves"
	}
	round := &w.rounds[e.round]
	return fmt.Sprintf("ballot %v (accept: %t, %+v) reaches %s, vote arrives: %t", round.ballot, round.accepting,
		round.proposal.Changes, e.replica, e.arrives)
}

// exploredNode is a state in the search tree.
type exploredNode struct {
	state  *exploredState
	parent *exploredNode
	event  exploredEvent // that led here from the parent
	depth  int
}

// events describes the events that led to the state, in order.
func (n *exploredNode) events() (all []string) {
	if n.parent == nil {
		return nil
	}
	return append(n.parent.events(), n.event.text(n.parent.state))
}

// explore searches breadth first, until a state violates an invariant or maxStates states are known.
func explore(s scenario, rules exploredRules, maxStates int) (result searchResult) {
	first := &exploredNode{state: newExploredState(&s)}
	known := map[string]struct{}{first.state.key(&s): {}}
	for queue := []*exploredNode{first}; len(queue) > 0; queue = queue[1:] {
		node := queue[0]
		queue[0] = nil
		result.states = len(known)
		result.depth = node.depth
		if len(known) >= maxStates {
			return result
		}
		node.state.successors(&s, &rules, func(event exploredEvent, next *exploredState) {
			key := next.key(&s)
			if _, ok := known[key]; ok && next.problem == "" {
				return
			}
			known[key] = struct{}{}
			if next.changed {
				next.checkAllReads()
				next.checkProgress(&s, &rules)
			}
			reached := &exploredNode{state: next, parent: node, event: event, depth: node.depth + 1}
			if next.problem != "" && result.problem == "" {
				result.problem = next.problem
				result.events = reached.events()
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

// TestExploreRegister searches all orders of events in small scenarios, up to maxExploredStates states each.
func TestExploreRegister(t *testing.T) {
	all := []scenario{
		raceScenario,
		replacementScenario,
		diskLossScenario,
		resendScenario,
		successiveScenario,
		growthScenario,
		transferScenario,
		transferAloneScenario,
		evacuationScenario,
	}
	for _, s := range all[:len(all):len(all)] {
		if s.attempts == 1 {
			continue
		}
		s.name += ", one attempt each"
		s.attempts = 1
		all = append(all, s)
	}
	for _, s := range all {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			result := explore(s, actualRules, maxExploredStates)
			t.Logf("%d states, complete: %t, all up to %d events", result.states, result.isComplete, result.depth)
			assert.Empty(t, result.problem, "%v", result.events)
		})
	}
}

// TestExplore_FindsMutants checks that the search finds a violation in each of several faulty protocols.
func TestExplore_FindsMutants(t *testing.T) {
	ignoresPromise := actualRules
	ignoresPromise.accept = func(s AcceptorState, request *AcceptRequest) transition {
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
	newSetAlone.acceptConfig = func(p *Proposal) jointConfig { return jointConfig{p.Record.Voters} }
	sameID := actualRules
	sameID.wipedKeepsID = true
	for name, mutant := range map[string]struct {
		scenario scenario
		rules    exploredRules
	}{
		"a replica accepts below its promise":            {raceScenario, ignoresPromise},
		"a replacement is accepted by the new set alone": {replacementScenario, newSetAlone},
		"a replica that lost its disk keeps its ID":      {diskLossScenario, sameID},
		"a successor is added to an odd set":             {joinScenario, actualRules},
		"a voter leaves while its change is joint":       {ignoresOutgoing, actualRules},
		"a change that needs a fence writes nothing":     {withoutFence, actualRules},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			result := explore(mutant.scenario, mutant.rules, maxExploredStates)
			t.Logf("%d states: %s after %d events", result.states, result.problem, len(result.events))
			assert.NotEmpty(t, result.problem)
		})
	}
}
