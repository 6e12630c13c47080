package register

import (
	"slices"

	"rowanlink/serving/settings"
	"rowanlink/serving/state"
)

// genesisPrefix is the prefix of the IDs of the genesis voters.
const genesisPrefix = "genesis-"

// genesisVoters returns the initial set of voters (epoch 0), one for each seed. All processes compute the same set at
// the first start of the system.
func genesisVoters(process *settings.Process) state.ReplicaSet {
	var set state.ReplicaSet
	for _, address := range seedAddresses(process) {
		set.Replicas = append(set.Replicas, state.Replica{ID: genesisPrefix + address, Address: address})
	}
	return set
}

// seedAddresses returns the addresses at which the seeds serve the calls between the system's processes, sorted and
// without duplicates. Invalid seeds are left out.
func seedAddresses(process *settings.Process) []string {
	var addresses []string
	for _, seed := range process.Seeds {
		if address, err := process.InternalAddressOf(seed); err == nil {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// initialState returns the state of a replica with an empty store: a genesis voter if this process is a seed at the
// first start of the system, else a replica with the given new ID that has to join.
func initialState(process *settings.Process, newID string) AcceptorState {
	own := process.InternalAddress()
	if process.FirstRun && slices.Contains(seedAddresses(process), own) {
		return AcceptorState{
			ReplicaID: genesisPrefix + own,
			Proposal:  Proposal{Record: state.Record{Voters: genesisVoters(process)}},
		}
	}
	return AcceptorState{ReplicaID: newID}
}
