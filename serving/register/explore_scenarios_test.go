package register

import (
	"slices"

	"rowanlink/serving/state"
)

// This file has what happens in the small worlds of explore_test.go: the scripts of the proposers and the losses.

// exploredRules are what a mutant changes.
type exploredRules struct {
	accept       func(AcceptorState, *AcceptRequest) transition
	agreementOf  func(*Proposal) jointConfig
	wipedKeepsID bool
}

var trueRules = exploredRules{
	accept: AcceptorState.accept,
	agreementOf: func(p *Proposal) jointConfig {
		if p.isJoint() {
			return jointConfig{p.Record.Voters, p.OutgoingVoters}
		}
		return jointConfig{p.Record.Voters}
	},
}

// scenario is what may happen in a world.
type scenario struct {
	name    string
	scripts [2][]Update // of the proposers
	tries   int         // of each change
	wiped   string      // the replica whose disk may be lost once; empty: none
	goes    string      // the replica that may go for good once; empty: none. Both only once a voter was replaced.
	// progress asks that from every state a fair schedule reaches a majority and commits.
	progress bool
	// unsettled counts a voter as replaced before the change of the voters is settled.
	unsettled bool
	// inTurn has the second proposer begin once the first one has done all or has given up, as one operator does.
	inTurn bool
	// unfenced has a change that finds nothing to do write nothing.
	unfenced bool
	named    []string // replicas that something above names
}

func configured(basedOn, version uint64) Update {
	return ReplaceConfiguration(basedOn, state.Configuration{Version: version})
}

// swap puts r4 in the place of a replica, once.
func swap(former string) Update { return ReplaceReplica(former, replicaNamed("r4")) }

// replicaNamed is a replica at an address of the same name.
func replicaNamed(id string) state.Replica { return state.Replica{ID: id, Address: id} }

var (
	racing = scenario{name: "two changes on one base", tries: 2, named: []string{"r4"},
		scripts: [2][]Update{{configured(0, 1)}, {configured(0, 2)}}}
	swapping = scenario{name: "a change beside a swap of replicas", tries: 2, named: []string{"r3", "r4"},
		scripts: [2][]Update{{configured(0, 1)}, {swap("r3"), confirmOnly}}}
	losing = scenario{name: "a change beside the loss of a disk and the join of its successor", tries: 2, wiped: "r3",
		named:   []string{"r3", "r4"},
		scripts: [2][]Update{{configured(0, 1)}, {swap("r3")}}}
	resending = scenario{name: "an order sent again elsewhere, and another on the same base", tries: 2, named: []string{"r4"},
		scripts: [2][]Update{{configured(0, 1)}, {configured(0, 1), configured(0, 2)}}}
	successive = scenario{name: "two changes of the voters in a row beside a change", tries: 1, named: []string{"r1", "r2", "r4", "r5"},
		scripts: [2][]Update{{swap("r1"), ReplaceReplica("r2", replicaNamed("r5"))}, {configured(0, 1)}}}
	growing = scenario{name: "two learners become voters beside a change", tries: 1, named: []string{"r4", "r5"},
		scripts: [2][]Update{{addBoth}, {configured(0, 1)}}}
	// handingOver is an end by plan: r1 gives its vote to r4 and goes for good, at any moment. Once that is settled, or
	// instead of it, r2 loses its disk.
	handingOver = scenario{name: "an end by plan and a lost disk", tries: 2, named: []string{"r1", "r2", "r4"}, goes: "r1", wiped: "r2",
		progress: true, scripts: [2][]Update{{swap("r1"), confirmOnly}, {configured(0, 1)}}}
	handingOverAlone = scenario{name: "an end by plan and a lost disk, without another change", tries: 2, named: []string{"r1", "r2", "r4"},
		goes: "r1", wiped: "r2", progress: true, scripts: [2][]Update{{swap("r1"), confirmOnly}, {}}}
	// evacuating is one operator who begins an evacuation, perhaps in vain, and ends it through another machine.
	evacuating = scenario{name: "an evacuation's begin that may be given up, then its end", tries: 2, named: []string{"r4"}, inTurn: true,
		scripts: [2][]Update{{SetEvacuation(exploredZone, true)}, {SetEvacuation(exploredZone, false)}}}
	// joining is the rule before: the successor of r1 was added to the set, which then had four.
	joining = scenario{name: "a join before an end by plan, and a lost disk", tries: 2, named: []string{"r1", "r2", "r4"}, goes: "r1",
		wiped: "r2", progress: true, scripts: [2][]Update{{AddReplica(replicaNamed("r4")), confirmOnly}, {}}}
)

// addBoth adds two voters in one change.
func addBoth(record state.Record) (state.Record, error) {
	if record.Voters.Contains("r4") {
		return record, ErrNoChange
	}
	record.Voters.Replicas = append(slices.Clone(record.Voters.Replicas), replicaNamed("r4"), replicaNamed("r5"))
	return record, nil
}
