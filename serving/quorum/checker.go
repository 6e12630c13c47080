// Package quorum checks by the failure detector whether a process is connected to a majority of the register's voters.
// That costs no call and is only a hint: what has to be certain needs answers of the voters themselves.
package quorum

import "rowanlink/serving/state"

// VoterSource returns the replicas that vote on the record, an empty set before they are known. register.Node
// implements it.
type VoterSource interface {
	Voters() state.ReplicaSet
}

// Checker checks for one process with a replica whether it is connected to a majority of the voters.
type Checker struct {
	Voters VoterSource
	Self   string // the process's own address for calls between the system's processes
	// IsLive reports whether the member at an address is known to be live.
	IsLive func(address string) bool
}

// OtherVoters returns the addresses of the voters except this process, and how many of them it needs for a majority. It
// returns false before the voters are known.
func (c *Checker) OtherVoters() (addresses []string, needed int, known bool) {
	voters := c.Voters.Voters()
	needed = voters.Quorum()
	for _, voter := range voters.Replicas {
		if voter.Address == c.Self {
			needed--
			continue
		}
		addresses = append(addresses, voter.Address)
	}
	return addresses, needed, len(voters.Replicas) > 0
}

// HasQuorum reports whether enough voters are live for a majority. It returns true before the voters are known, as
// after a start.
func (c *Checker) HasQuorum() bool {
	others, needed, known := c.OtherVoters()
	live := 0
	for _, address := range others {
		if c.IsLive(address) {
			live++
		}
	}
	return !known || live >= needed
}
