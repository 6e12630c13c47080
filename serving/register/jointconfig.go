package register

import "rowanlink/serving/state"

// jointConfig is the sets of replicas of each of which a majority has to agree.
type jointConfig []state.ReplicaSet

// jointConfigFor returns the sets that have to agree on a proposal, or on its being committed, for someone who takes
// the given set for established.
//
// A proposal in an established set needs that set alone. One that names a former set, met by someone who doesn't know
// whether the change of the set is committed, needs both: had only the new set to agree, those who still go by the
// former one could commit something else there.
func jointConfigFor(proposal *Proposal, established state.ReplicaSet) jointConfig {
	switch {
	case proposal.Record.Voters.Epoch <= established.Epoch:
		return jointConfig{established}
	case proposal.isJoint():
		return jointConfig{proposal.OutgoingVoters, proposal.Record.Voters}
	default:
		return jointConfig{proposal.Record.Voters}
	}
}

// hasQuorum tells whether a majority of every set is within the given replicas.
func (e jointConfig) hasQuorum(within func(id string) bool) bool {
	for _, set := range e {
		if countVoters(set, within) < set.Quorum() {
			return false
		}
	}
	return true
}

// cannotReachQuorum tells whether some set can't reach a majority any more because of the lost replicas.
func (e jointConfig) cannotReachQuorum(lost func(id string) bool) bool {
	for _, set := range e {
		if len(set.Replicas)-countVoters(set, lost) < set.Quorum() {
			return true
		}
	}
	return false
}

// replicas returns the members of all sets, each once.
func (e jointConfig) replicas() []state.Replica {
	var all []state.Replica
	seen := map[string]bool{}
	for _, set := range e {
		for _, replica := range set.Replicas {
			if !seen[replica.ID] {
				seen[replica.ID] = true
				all = append(all, replica)
			}
		}
	}
	return all
}

func countVoters(set state.ReplicaSet, within func(id string) bool) int {
	number := 0
	for _, replica := range set.Replicas {
		if within(replica.ID) {
			number++
		}
	}
	return number
}
