package register

import "rowanlink/serving/state"

// electorate is the sets of replicas of each of which a majority has to agree.
type electorate []state.ReplicaSet

// electorateOf returns the sets that have to agree on a proposal, or on its being committed, for someone who takes
// the given set for established.
//
// A proposal in an established set needs that set alone. One that names a former set, met by someone who doesn't know
// whether the change of the set is committed, needs both: had only the new set to agree, those who still go by the
// former one could commit something else there.
func electorateOf(proposal *Proposal, established state.ReplicaSet) electorate {
	switch {
	case proposal.Record.Voters.Epoch <= established.Epoch:
		return electorate{established}
	case proposal.setPending():
		return electorate{proposal.OutgoingVoters, proposal.Record.Voters}
	default:
		return electorate{proposal.Record.Voters}
	}
}

// carried tells whether a majority of every set is within the given replicas.
func (e electorate) carried(within func(id string) bool) bool {
	for _, set := range e {
		if count(set, within) < set.Quorum() {
			return false
		}
	}
	return true
}

// hopeless tells whether some set can't reach a majority any more because of the lost replicas.
func (e electorate) hopeless(lost func(id string) bool) bool {
	for _, set := range e {
		if len(set.Replicas)-count(set, lost) < set.Quorum() {
			return true
		}
	}
	return false
}

// replicas returns the members of all sets, each once.
func (e electorate) replicas() []state.Replica {
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

func count(set state.ReplicaSet, within func(id string) bool) int {
	number := 0
	for _, replica := range set.Replicas {
		if within(replica.ID) {
			number++
		}
	}
	return number
}
