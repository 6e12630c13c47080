package register

import (
	"cmp"
	"slices"

	"rowanlink/serving/settings"
	"rowanlink/serving/state"
)

// minVoters is the smallest desired number of voters: fewer voters tolerate no loss.
const minVoters = 3

// desiredVoterCount returns how many voters the register should have: the smallest odd number, at least minVoters, that
// tolerates the losses of machines and of zones in the settings. Every other core member is a learner.
func desiredVoterCount(process *settings.Process) int {
	tolerated := max(process.FaultTolerance.MachineLosses, process.FaultTolerance.Zones)
	return max(minVoters, 2*tolerated+1)
}

// voterPlacement decides which replicas vote. It does no I/O.
//
// Invariant: a set of odd size stays odd. Voters are replaced one for one, and added or removed in pairs: an even set
// needs one more vote for a majority than the odd set below it, but tolerates no more losses.
type voterPlacement struct {
	desiredVoters int // odd
	// isDown reports whether the failure detector considers the process at an address down, so that its voter may be
	// replaced.
	isDown func(address string) bool
	// isExpired reports whether an address has been down for so long that no member lists it any more.
	isExpired func(address string) bool
	// zoneOf returns the zone of an address; empty: unknown.
	zoneOf func(address string) string
	// learners may become voters. They have the record on disk.
	learners []state.Replica
}

// placementStep returns the voters after one kind of change, given the learners that aren't voters yet. It returns nil
// if that change isn't needed or not possible.
type placementStep func(voters, learners []state.Replica) []state.Replica

// placementUpdate returns the update that replaces the voters by those that next returns, if it reports a change.
func placementUpdate(next func(voters []state.Replica) ([]state.Replica, bool)) Update {
	return func(record state.Record) (state.Record, error) {
		voters, changed := next(record.Voters.Replicas)
		if !changed {
			return record, ErrNoChange
		}
		record.Voters.Replicas = voters
		return record, nil
	}
}

// nextVoters returns the voters after the next change of the set. It returns false if the set is as it should be, or if
// there aren't enough learners for the change.
func (p *voterPlacement) nextVoters(voters []state.Replica) ([]state.Replica, bool) {
	return p.firstApplicable(voters,
		p.replaceAtSameAddress, p.replaceDown, p.makeOdd, p.grow, p.shrink, p.spreadZones)
}

// replaceUnavailable returns the voters after a learner has taken the place of a voter that can't vote, and false if
// there is no such voter or learner.
func (p *voterPlacement) replaceUnavailable(voters []state.Replica) ([]state.Replica, bool) {
	return p.firstApplicable(voters, p.replaceAtSameAddress, p.replaceDown)
}

// firstApplicable returns the result of the first step that changes the voters.
func (p *voterPlacement) firstApplicable(voters []state.Replica, steps ...placementStep) ([]state.Replica, bool) {
	learners := p.availableLearners(voters)
	for _, step := range steps {
		if next := step(voters, learners); next != nil {
			return next, true
		}
	}
	return nil, false
}

// transferVote returns the voters after a learner has taken the place of the voter with the given ID. It returns false
// if there is no such voter or no learner.
func (p *voterPlacement) transferVote(voters []state.Replica, id string) ([]state.Replica, bool) {
	position := slices.IndexFunc(voters, func(voter state.Replica) bool { return voter.ID == id })
	learners := p.availableLearners(voters)
	if position < 0 || len(learners) == 0 {
		return nil, false
	}
	return p.substitute(voters, position, learners), true
}

// availableLearners returns the learners that aren't voters yet.
func (p *voterPlacement) availableLearners(voters []state.Replica) []state.Replica {
	return slices.DeleteFunc(slices.Clone(p.learners), func(learner state.Replica) bool {
		return slices.ContainsFunc(voters, func(voter state.Replica) bool { return voter.ID == learner.ID })
	})
}

// replaceAtSameAddress replaces a voter by the learner at its address: a learner there means that the voter has lost
// its disk and won't vote again.
func (p *voterPlacement) replaceAtSameAddress(voters, learners []state.Replica) []state.Replica {
	for _, learner := range learners {
		hasSameAddress := func(voter state.Replica) bool { return voter.Address == learner.Address }
		position := slices.IndexFunc(voters, hasSameAddress)
		if position < 0 {
			continue
		}
		next := slices.Clone(voters)
		next[position] = learner
		return next
	}
	return nil
}

// replaceDown replaces a voter that is down by a learner.
func (p *voterPlacement) replaceDown(voters, learners []state.Replica) []state.Replica {
	position := p.firstDown(voters)
	if position < 0 || len(learners) == 0 {
		return nil
	}
	return p.substitute(voters, position, learners)
}

// makeOdd adds a voter to an even set, or removes one: one that is down or, if there are too many, any. Even sets come
// from deployments with two seeds and from releases in which every core member voted.
func (p *voterPlacement) makeOdd(voters, learners []state.Replica) []state.Replica {
	if len(voters)%2 != 0 {
		return nil
	}
	if len(voters) < p.desiredVoters && len(learners) > 0 {
		return append(slices.Clone(voters), p.bestLearner(voters, learners))
	}
	position := p.firstDown(voters)
	switch {
	case len(voters) <= 2:
		return nil
	case position >= 0:
		return withoutPosition(voters, position)
	case len(voters) > p.desiredVoters:
		return p.removeVoter(voters)
	}
	return nil
}

// grow adds two voters if there are too few.
func (p *voterPlacement) grow(voters, learners []state.Replica) []state.Replica {
	if len(voters) >= p.desiredVoters || len(learners) < 2 {
		return nil
	}
	next := append(slices.Clone(voters), p.bestLearner(voters, learners))
	return append(next, p.bestLearner(next, p.availableLearners(next)))
}

// shrink removes two voters if there are too many, or if there are more than minVoters and two have been down for so
// long that they won't return: the smaller set tolerates more losses among the rest.
func (p *voterPlacement) shrink(voters, _ []state.Replica) []state.Replica {
	if len(voters) > p.desiredVoters {
		return p.removeVoter(p.removeVoter(voters))
	}
	expired := func(voter state.Replica) bool { return p.isExpired(voter.Address) }
	remaining := slices.DeleteFunc(slices.Clone(voters), expired)
	if expiredCount := len(voters) - len(remaining); expiredCount < 2 || len(voters) <= minVoters {
		return nil
	}
	next := slices.Clone(voters)
	for range 2 {
		position := slices.IndexFunc(next, expired)
		next = slices.Delete(next, position, position+1)
	}
	return next
}

// spreadZones changes the set if the loss of one zone alone would cost the majority: a learner in a zone with fewer
// voters replaces a voter of that zone.
func (p *voterPlacement) spreadZones(voters, learners []state.Replica) []state.Replica {
	tolerated := len(voters) - (len(voters)/2 + 1) // losses that leave a majority
	position := slices.IndexFunc(voters, func(voter state.Replica) bool {
		zone := p.zoneOf(voter.Address)
		return zone != "" && p.countInZone(voters, zone) > tolerated
	})
	if position < 0 || len(learners) == 0 {
		return nil
	}
	others := withoutPosition(voters, position)
	learner := p.bestLearner(others, learners)
	zone := p.zoneOf(learner.Address)
	if zone == "" || p.countInZone(others, zone)+1 > tolerated {
		return nil
	}
	next := slices.Clone(voters)
	next[position] = learner
	return next
}

// substitute replaces the voter at a position by the best learner.
func (p *voterPlacement) substitute(voters []state.Replica, position int, learners []state.Replica) []state.Replica {
	next := slices.Clone(voters)
	next[position] = p.bestLearner(withoutPosition(voters, position), learners)
	return next
}

// bestLearner returns the learner in the zone with the fewest voters, and among equals the one with the lowest address,
// so that nodes that decide concurrently choose the same learner.
func (p *voterPlacement) bestLearner(voters, learners []state.Replica) state.Replica {
	return slices.MinFunc(learners, p.byZoneCount(voters))
}

// removeVoter removes one voter: one that is down, else one of the zone with the most voters.
func (p *voterPlacement) removeVoter(voters []state.Replica) []state.Replica {
	position := p.firstDown(voters)
	if position < 0 {
		position = slices.Index(voters, slices.MaxFunc(voters, p.byZoneCount(voters)))
	}
	return withoutPosition(voters, position)
}

// byZoneCount returns an order of replicas by the number of voters in their zone, then by address.
func (p *voterPlacement) byZoneCount(voters []state.Replica) func(a, b state.Replica) int {
	votersInSameZone := func(replica state.Replica) int {
		return p.countInZone(voters, p.zoneOf(replica.Address))
	}
	return func(a, b state.Replica) int {
		return cmp.Or(
			cmp.Compare(votersInSameZone(a), votersInSameZone(b)),
			cmp.Compare(a.Address, b.Address),
		)
	}
}

// firstDown returns the position of the first voter that is down, negative if there is none.
func (p *voterPlacement) firstDown(voters []state.Replica) int {
	return slices.IndexFunc(voters, func(voter state.Replica) bool { return p.isDown(voter.Address) })
}

func (p *voterPlacement) countInZone(voters []state.Replica, zone string) (count int) {
	for _, voter := range voters {
		if p.zoneOf(voter.Address) == zone {
			count++
		}
	}
	return count
}

// withoutPosition returns a copy of the voters without the one at a position.
func withoutPosition(voters []state.Replica, position int) []state.Replica {
	return slices.Delete(slices.Clone(voters), position, position+1)
}
