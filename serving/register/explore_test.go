package register

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"rowanlink/serving/state"
)

// exploredMost bounds one search.
const exploredMost = 60_000

// successors calls visit with every world that one event makes of this one.
func (w *world) successors(s *scenario, rules *exploredRules, visit func(exploredEvent, *world)) {
	for number := range w.rounds {
		round := &w.rounds[number]
		current := w.proposers[round.proposer].round == number
		if !round.accepting && !current {
			continue // a promise that nobody counts only keeps a replica from granting others, as a loss of theirs would
		}
		for _, replica := range w.sentTo(rules, number) {
			if w.gone && replica.ID == s.goes {
				continue
			}
			for _, arrives := range []bool{true, false} {
				if arrives && !current || !arrives && !round.accepting {
					continue
				}
				next := w.clone()
				next.deliver(s, rules, number, replica.ID, arrives)
				if next.saved || arrives { // else nothing has changed
					visit(exploredEvent{round: number, replica: replica.ID, arrives: arrives}, next)
				}
			}
		}
	}
	for index := range w.proposers {
		if !w.proposers[index].gone && w.proposers[index].round >= 0 {
			next := w.clone()
			next.giveUp(s, index)
			visit(exploredEvent{round: -1, replica: proposerName(index)}, next)
		}
	}
	if s.goes != "" && !w.gone && (!w.wiped || w.replaced) {
		next := w.clone()
		next.gone, next.saved = true, true
		visit(exploredEvent{round: -1, replica: s.goes}, next)
	}
	if s.wiped != "" && !w.wiped && (!w.gone || w.replaced) {
		next := w.clone()
		next.wiped, next.saved = true, true
		next.replicas[s.wiped] = AcceptorState{}
		if rules.wipedKeepsID {
			next.replicas[s.wiped] = AcceptorState{ReplicaID: s.wiped, Proposal: Proposal{Record: state.Record{Voters: exploredGenesis()}}}
		}
		visit(exploredEvent{round: -1, replica: s.wiped}, next)
	}
}

// found is what a search has come to.
type found struct {
	states  int
	depth   int // to which all is explored
	whole   bool
	problem string
	events  []string // that lead to the problem
}

// exploredEvent is one thing that happens: a round's request reaches a replica, a proposer gives up or a disk is lost.
type exploredEvent struct {
	round   int // negative: none
	replica string
	arrives bool
}

func (e exploredEvent) text(w *world) string {
	if e.round < 0 {
		return e.replica + " gives up, its disk, or goes for good"
	}
	round := &w.rounds[e.round]
	return fmt.Sprintf("ballot %v (accept: %t, %+v) reaches %s, vote arrives: %t", round.ballot, round.accepting,
		round.proposal.Changes, e.replica, e.arrives)
}

// exploredNode is a world on the way of a search.
type exploredNode struct {
	world *world
	from  *exploredNode
	event exploredEvent
	depth int
}

// events are those that led here, the first one first.
func (n *exploredNode) events() (all []string) {
	if n.from == nil {
		return nil
	}
	return append(n.from.events(), n.event.text(n.from.world))
}

// explore goes through all worlds, the nearest first, until one has a problem or the bound is reached.
func explore(s scenario, rules exploredRules, most int) (result found) {
	first := &exploredNode{world: newWorld(&s)}
	known := map[string]struct{}{first.world.key(&s): {}}
	for queue := []*exploredNode{first}; len(queue) > 0; queue = queue[1:] {
		at := queue[0]
		queue[0] = nil
		result.states, result.depth = len(known), at.depth
		if len(known) >= most {
			return result
		}
		at.world.successors(&s, &rules, func(happened exploredEvent, next *world) {
			key := next.key(&s)
			if _, ok := known[key]; ok && next.problem == "" {
				return
			}
			known[key] = struct{}{}
			if next.saved {
				next.readAll()
				next.judgeProgress(&s, &rules)
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
	result.whole = true
	return result
}

// TestExploreRegister goes through every order of events in small worlds.
func TestExploreRegister(t *testing.T) {
	all := []scenario{racing, swapping, losing, resending, successive, growing, handingOver, handingOverAlone, evacuating}
	for _, s := range all[:len(all):len(all)] {
		if s.tries == 1 {
			continue
		}
		s.name, s.tries = s.name+", one try each", 1
		all = append(all, s)
	}
	for _, s := range all {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			result := explore(s, trueRules, exploredMost)
			t.Logf("%d states, to the end: %t, all up to %d events", result.states, result.whole, result.depth)
			assert.Empty(t, result.problem, "%v", result.events)
		})
	}
}

// TestExploreFindsMutants: a search that finds nothing shows nothing unless it finds what is wrong.
func TestExploreFindsMutants(t *testing.T) {
	forgetful := trueRules
	forgetful.accept = func(s AcceptorState, request *AcceptRequest) transition {
		if s.ReplicaID == request.ReplicaID {
			s.Promised = Ballot{}
		}
		return s.accept(request)
	}
	unsettled := handingOverAlone
	unsettled.unsettled = true
	unfenced := evacuating
	unfenced.unfenced = true
	newSetAlone := trueRules
	newSetAlone.agreementOf = func(p *Proposal) jointConfig { return jointConfig{p.Record.Voters} }
	sameID := trueRules
	sameID.wipedKeepsID = true
	for name, mutant := range map[string]struct {
		scenario scenario
		rules    exploredRules
	}{
		"a replica accepts below its promise":        {racing, forgetful},
		"a swap is accepted by the new set alone":    {swapping, newSetAlone},
		"a replica that lost its disk keeps its ID":  {losing, sameID},
		"a successor is added to an odd set":         {joining, trueRules},
		"a voter goes before its change is settled":  {unsettled, trueRules},
		"an end that changes nothing writes nothing": {unfenced, trueRules},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			result := explore(mutant.scenario, mutant.rules, exploredMost)
			t.Logf("%d states: %s after %d events", result.states, result.problem, len(result.events))
			assert.NotEmpty(t, result.problem)
		})
	}
}
