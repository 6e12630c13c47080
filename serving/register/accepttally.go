package register

// acceptTally counts the votes of an Accept round.
type acceptTally struct {
	voters  jointConfig
	granted map[string]bool // by replica ID
	failed  map[string]bool // by replica ID
}

func newAcceptTally(voters jointConfig) *acceptTally {
	return &acceptTally{
		voters:  voters,
		granted: map[string]bool{},
		failed:  map[string]bool{},
	}
}

// config returns the sets whose majorities are needed.
func (t *acceptTally) config() jointConfig { return t.voters }

// add counts a replica's vote; nil stands for no answer.
func (t *acceptTally) add(id string, vote *Vote) {
	if vote == nil || vote.Result != Granted {
		t.failed[id] = true
		return
	}
	t.granted[id] = true
}

// hasQuorum reports whether a majority of each set has accepted.
func (t *acceptTally) hasQuorum() bool {
	return t.voters.hasQuorum(func(id string) bool { return t.granted[id] })
}

// cannotReachQuorum reports whether too many votes failed for a majority.
func (t *acceptTally) cannotReachQuorum() bool {
	return t.voters.cannotReachQuorum(func(id string) bool { return t.failed[id] })
}
