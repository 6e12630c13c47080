package register

import (
	"slices"

	"rowanlink/serving/state"
)

// This file defines the scenarios of explore_test.go: the scripts of the proposers and the losses of replicas.

// exploredRules are the rules of the protocol that mutants replace by faulty ones.
type exploredRules struct {
	accept       func(AcceptorState, *AcceptRequest) transition
	acceptConfig func(*Proposal) jointConfig // the configuration that has to accept a proposal
	wipedKeepsID bool                        // a replica that has lost its disk restarts as a genesis voter
}

var actualRules = exploredRules{
	accept: AcceptorState.accept,
	acceptConfig: func(p *Proposal) jointConfig {
		if p.isJoint() {
			return jointConfig{p.Record.Voters, p.OutgoingVoters}
		}
		return jointConfig{p.Record.Voters}
	},
}

// scenario defines what may happen in an exploration.
type scenario struct {
	name      string
	scripts   [2][]Update // of the proposers
	attempts  int         // of each change
	losesDisk string      // the replica whose disk may be lost once; empty: none
	departing string      // the replica that may leave for good once; empty: none
	// A disk loss and a departure both happen only if a voter was replaced between them.

	// progress requires that a fair schedule can commit a change from every state.
	progress bool
	// ignoresOutgoing is a mutant: a voter counts as replaced although the change of the voters is still joint.
	ignoresOutgoing bool
	// sequential makes the second proposer begin only after the first one has finished or given up, as one operator who
	// uses both does.
	sequential bool
	// withoutFence is a mutant: a change that has nothing to do isn't written, even if it needs a fence.
	withoutFence  bool
	distinguished []string // the replicas that the scripts and losses name
}

// setFirstConfiguration returns an update that sets the first configuration.
func setFirstConfiguration(version uint64) Update {
	return ReplaceConfiguration(0, state.Configuration{Version: version})
}

// replaceByR4 returns an update that replaces a voter by r4.
func replaceByR4(former string) Update { return ReplaceReplica(former, replicaNamed("r4")) }

// replicaNamed returns a replica with equal ID and address.
func replicaNamed(id string) state.Replica { return state.Replica{ID: id, Address: id} }

var (
	raceScenario = scenario{
		name:          "two changes on one base",
		attempts:      2,
		distinguished: []string{"r4"},
		scripts: [2][]Update{
			{setFirstConfiguration(1)},
			{setFirstConfiguration(2)},
		},
	}
	replacementScenario = scenario{
		name:          "a change concurrent with the replacement of a voter",
		attempts:      2,
		distinguished: []string{"r3", "r4"},
		scripts: [2][]Update{
			{setFirstConfiguration(1)},
			{replaceByR4("r3"), confirmOnly},
		},
	}
	diskLossScenario = scenario{
		name:          "a change concurrent with a disk loss and the join of the successor",
		attempts:      2,
		distinguished: []string{"r3", "r4"},
		losesDisk:     "r3",
		scripts: [2][]Update{
			{setFirstConfiguration(1)},
			{replaceByR4("r3")},
		},
	}
	resendScenario = scenario{
		name:          "a change resent through another proposer, and another one on the same base",
		attempts:      2,
		distinguished: []string{"r4"},
		scripts: [2][]Update{
			{setFirstConfiguration(1)},
			{setFirstConfiguration(1), setFirstConfiguration(2)},
		},
	}
	successiveScenario = scenario{
		name:          "two successive changes of the voters concurrent with a change",
		attempts:      1,
		distinguished: []string{"r1", "r2", "r4", "r5"},
		scripts: [2][]Update{
			{replaceByR4("r1"), ReplaceReplica("r2", replicaNamed("r5"))},
			{setFirstConfiguration(1)},
		},
	}
	growthScenario = scenario{
		name:          "two learners become voters concurrently with a change",
		attempts:      1,
		distinguished: []string{"r4", "r5"},
		scripts: [2][]Update{
			{addBoth},
			{setFirstConfiguration(1)},
		},
	}
	// transferScenario is a planned shutdown: r1 transfers its vote to r4, and leaves for good at any moment. After the
	// transfer, or instead of the departure, r2 loses its disk.
	transferScenario = scenario{
		name:          "a planned shutdown and a disk loss",
		attempts:      2,
		distinguished: []string{"r1", "r2", "r4"},
		departing:     "r1",
		losesDisk:     "r2",
		progress:      true,
		scripts: [2][]Update{
			{replaceByR4("r1"), confirmOnly},
			{setFirstConfiguration(1)},
		},
	}
	transferAloneScenario = scenario{
		name:          "a planned shutdown and a disk loss, without another change",
		attempts:      2,
		distinguished: []string{"r1", "r2", "r4"},
		departing:     "r1",
		losesDisk:     "r2",
		progress:      true,
		scripts: [2][]Update{
			{replaceByR4("r1"), confirmOnly},
			{},
		},
	}
	// evacuationScenario is one operator who begins an evacuation through one machine, possibly gives up, and then ends
	// it through another machine.
	evacuationScenario = scenario{
		name:          "the begin of an evacuation that may be abandoned, then its end",
		attempts:      2,
		distinguished: []string{"r4"},
		sequential:    true,
		scripts: [2][]Update{
			{SetEvacuation(exploredZone, true)},
			{SetEvacuation(exploredZone, false)},
		},
	}
	// joinScenario is a mutant, as in an earlier version of the protocol: r4 is added to the set instead of replacing
	// r1, so that the set has four voters.
	joinScenario = scenario{
		name:          "a join before a planned shutdown, and a disk loss",
		attempts:      2,
		distinguished: []string{"r1", "r2", "r4"},
		departing:     "r1",
		losesDisk:     "r2",
		progress:      true,
		scripts: [2][]Update{
			{AddReplica(replicaNamed("r4")), confirmOnly},
			{},
		},
	}
)

// addBoth adds two voters in one change.
func addBoth(record state.Record) (state.Record, error) {
	if record.Voters.Contains("r4") {
		return record, ErrNoChange
	}
	record.Voters.Replicas = append(slices.Clone(record.Voters.Replicas), replicaNamed("r4"), replicaNamed("r5"))
	return record, nil
}
