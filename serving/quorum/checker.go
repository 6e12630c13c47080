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

// Targets are the replicas that have to store a state before it counts as stored by the system.
type Targets struct {
	Others []string // addresses of the voters except this process
	Local  bool     // this process is a voter too
	Quorum int      // copies that are a majority of the voters
}

// Targets returns the present targets. It returns false before the voters are known.
func (c *Checker) Targets() (targets Targets, known bool) {
	voters := c.Voters.Voters()
	targets.Quorum = voters.Quorum()
	for _, voter := range voters.Replicas {
		if voter.Address == c.Self {
			targets.Local = true
			continue
		}
		targets.Others = append(targets.Others, voter.Address)
	}
	return targets, len(voters.Replicas) > 0
}

// HasQuorum reports whether enough voters are live for a majority. It returns true before the voters are known, as
// after a start.
func (c *Checker) HasQuorum() bool {
	targets, known := c.Targets()
	live := 0
	if targets.Local {
		live++
	}
	for _, address := range targets.Others {
		if c.IsLive(address) {
			live++
		}
	}
	return !known || live >= targets.Quorum
}
