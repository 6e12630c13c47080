// Package quorum uses the failure detector to check whether a process is connected to a majority of the register's
// voters. The check makes no calls, and its result is only a hint: certainty needs responses from the voters themselves.
package quorum

import "rowanlink/serving/state"

// VoterSource returns the replicas that vote on the record; register.Node implements it.
type VoterSource interface {
	Voters() state.ReplicaSet // empty before the voters are known
}

// Checker checks for one process with a replica whether it is connected to a majority of the voters.
type Checker struct {
	Voters VoterSource
	Self   string // address at which the system's other processes call this one
	// IsLive reports whether the member at an address is known to be live.
	IsLive func(address string) bool
}

// Targets are the voters to which a state is replicated. The state counts as stored once Quorum of them have it.
type Targets struct {
	Others []string // addresses of the voters except this process
	Local  bool     // this process is a voter too
	Quorum int      // number of copies that is a majority of the voters
}

// Targets returns the current targets. It returns false before the voters are known.
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

// HasQuorum reports whether a majority of the voters is live, as far as this process knows. It returns true while the
// voters aren't known yet, as after a start.
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
