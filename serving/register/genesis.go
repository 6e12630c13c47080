package register

import (
	"slices"

	"rowanlink/serving/settings"
	"rowanlink/serving/state"
)

// genesisPrefix begins the IDs of the first replicas.
const genesisPrefix = "genesis-"

// genesisVoters returns the register's first set of replicas: the machines that every process was told of at the very
// first start.
func genesisVoters(process *settings.Process) state.ReplicaSet {
	var set state.ReplicaSet
	for _, address := range seedAddresses(process) {
		set.Replicas = append(set.Replicas, state.Replica{ID: genesisPrefix + address, Address: address})
	}
	return set
}

// seedAddresses returns where the seeds take calls of the system's processes, sorted, each once. Seeds that are no
// addresses are left out.
func seedAddresses(process *settings.Process) []string {
	var addresses []string
	for _, seed := range process.Seeds {
		if address, err := process.InnerAddressOf(seed); err == nil {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// initialState returns what a replica with an empty store begins with: at the very first start of the system, on the
// machines that all were told of, a member of the first set; else a replica that has to join under the given new ID.
func initialState(process *settings.Process, newID string) AcceptorState {
	own := process.InnerAddress()
	if process.FirstRun && slices.Contains(seedAddresses(process), own) {
		return AcceptorState{ReplicaID: genesisPrefix + own, Proposal: Proposal{Record: state.Record{Voters: genesisVoters(process)}}}
	}
	return AcceptorState{ReplicaID: newID}
}
