package register

import "rowanlink/serving/state"

// jointConfig is one or two sets of voters. A decision needs a majority of each of them.
type jointConfig []state.ReplicaSet

// jointConfigFor returns the sets whose majorities are needed to decide on a proposal, or to find it committed, for a
// process that knows the given set to be committed.
//
// A proposal whose own set is committed needs a majority of that set alone. A joint proposal needs both majorities as
// long as the process doesn't know whether it is committed: if a majority of the incoming set were enough, processes
// that still use the outgoing set could commit a different record with a majority of it (Ongaro, §4.3).
func jointConfigFor(proposal *Proposal, committed state.ReplicaSet) jointConfig {
	switch {
	case proposal.Record.Voters.Epoch <= committed.Epoch:
		return jointConfig{committed}
	case proposal.isJoint():
		return jointConfig{proposal.OutgoingVoters, proposal.Record.Voters}
	default:
		return jointConfig{proposal.Record.Voters}
	}
}

// hasQuorum reports whether a majority of each set satisfies the predicate.
func (c jointConfig) hasQuorum(granted func(id string) bool) bool {
	for _, set := range c {
		if countVoters(set, granted) < set.Quorum() {
			return false
		}
	}
	return true
}

// cannotReachQuorum reports whether some set has too few voters left for a majority, not counting those that failed.
func (c jointConfig) cannotReachQuorum(failed func(id string) bool) bool {
	for _, set := range c {
		if len(set.Replicas)-countVoters(set, failed) < set.Quorum() {
			return true
		}
	}
	return false
}

// replicas returns the voters of all sets, each once, in the order of the sets.
func (c jointConfig) replicas() []state.Replica {
	var all []state.Replica
	seen := map[string]bool{}
	for _, set := range c {
		for _, replica := range set.Replicas {
			if !seen[replica.ID] {
				seen[replica.ID] = true
				all = append(all, replica)
			}
		}
	}
	return all
}

// countVoters returns the number of voters of a set that satisfy the predicate.
func countVoters(set state.ReplicaSet, matches func(id string) bool) int {
	count := 0
	for _, replica := range set.Replicas {
		if matches(replica.ID) {
			count++
		}
	}
	return count
}
