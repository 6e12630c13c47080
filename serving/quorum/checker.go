// Package quorum tells whether a process is in touch with a majority of the register's voters, by what the failure
// detector says: a hint that costs no call. What must hold for certain asks the voters themselves.
package quorum

import "rowanlink/serving/state"

// VoterSource names the replicas that vote on the record; register.Node is one. The set is empty before it is known.
type VoterSource interface {
	Voters() state.ReplicaSet
}

// Checker is what a process with a replica knows of the voters.
type Checker struct {
	Voters VoterSource
	Self   string // address for calls between the system's processes
	// IsLive tells whether the member at an address is known to be live.
	IsLive func(address string) bool
}

// OtherVoters returns the addresses of the other voters, and how many of them this process needs for a majority. It returns
// false while the voters are unknown.
func (c *Checker) OtherVoters() (addresses []string, needed int, known bool) {
	set := c.Voters.Voters()
	needed = set.Quorum()
	for _, voter := range set.Replicas {
		if voter.Address == c.Self {
			needed--
			continue
		}
		addresses = append(addresses, voter.Address)
	}
	return addresses, needed, len(set.Replicas) > 0
}

// HasQuorum tells whether enough voters are live to make a majority with this process; true while the voters are unknown,
// as at a start.
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
