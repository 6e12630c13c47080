package register

import (
	"cmp"
	"slices"

	"rowanlink/serving/settings"
	"rowanlink/serving/state"
)

// minVoters is the fewest voters that are wanted, whatever is to be borne: with fewer, no loss would be.
const minVoters = 3

// desiredVoterCount returns how many voters the register is to have: an odd number that bears the losses of machines and
// the loss of a zone that the settings tell, at least minVoters. Every other core machine is a learner.
func desiredVoterCount(process *settings.Process) int {
	return max(minVoters, 2*max(process.Withstand.MachineLosses, process.Withstand.Zones)+1)
}

// voterPlacement decides who votes. It does no I/O. The set is changed one for one, or by two at a time, so that it keeps an
// odd size: an even set needs one answer more than the odd one below it and bears no more losses.
type voterPlacement struct {
	desiredVoters int // voters; odd
	// isDown tells whether no process lives at an address, so that its voter may be replaced.
	isDown func(address string) bool
	// isExpired tells whether an address has been absent for so long that nobody knows it any more.
	isExpired func(address string) bool
	// zoneOf is where an address lies; empty: unknown.
	zoneOf func(address string) string
	// learners may become voters. They hold the record on disk.
	learners []state.Replica
}

// placementUpdate returns the update that makes the change of the voters that next tells, if there is one to make.
func placementUpdate(next func(voters []state.Replica) ([]state.Replica, bool)) Update {
	return func(record state.Record) (state.Record, error) {
		next, changed := next(record.Voters.Replicas)
		if !changed {
			return record, ErrNoChange
		}
		record.Voters.Replicas = next
		return record, nil
	}
}

// nextVoters returns the voters after the next change of the set; false where the set is as it should be, or the learners
// for the change are lacking.
func (s *voterPlacement) nextVoters(voters []state.Replica) ([]state.Replica, bool) {
	return s.firstApplicable(voters, s.replaceAtSameAddress, s.replaceDown, s.makeOdd, s.grow, s.shrink, s.spreadZones)
}

// replaceUnavailable returns the voters after a learner has taken a vote that is free for it alone; false where none is.
func (s *voterPlacement) replaceUnavailable(voters []state.Replica) ([]state.Replica, bool) {
	return s.firstApplicable(voters, s.replaceAtSameAddress, s.replaceDown)
}

// firstApplicable returns what the first of the steps makes that has something to do.
func (s *voterPlacement) firstApplicable(voters []state.Replica,
	steps ...func(voters, learners []state.Replica) []state.Replica) ([]state.Replica, bool) {
	learners := s.availableLearners(voters)
	for _, step := range steps {
		if next := step(voters, learners); next != nil {
			return next, true
		}
	}
	return nil, false
}

// transferVote returns the voters after a learner has taken the place of the one with the given ID; false where it has no
// place or there is no learner.
func (s *voterPlacement) transferVote(voters []state.Replica, id string) ([]state.Replica, bool) {
	position := slices.IndexFunc(voters, func(r state.Replica) bool { return r.ID == id })
	learners := s.availableLearners(voters)
	if position < 0 || len(learners) == 0 {
		return nil, false
	}
	return s.substitute(voters, position, learners), true
}

// availableLearners returns the learners that are no voters yet.
func (s *voterPlacement) availableLearners(voters []state.Replica) []state.Replica {
	return slices.DeleteFunc(slices.Clone(s.learners), func(learner state.Replica) bool {
		return slices.ContainsFunc(voters, func(voter state.Replica) bool { return voter.ID == learner.ID })
	})
}

// replaceAtSameAddress puts a learner in the place of the voter at its own address: that one has lost its disk, and votes no more.
func (s *voterPlacement) replaceAtSameAddress(voters, learners []state.Replica) []state.Replica {
	for _, learner := range learners {
		holds := func(voter state.Replica) bool { return voter.Address == learner.Address }
		position := slices.IndexFunc(voters, holds)
		if position < 0 {
			continue
		}
		next := slices.Clone(voters)
		next[position] = learner
		return next
	}
	return nil
}

// replaceDown puts a learner in the place of a voter that is absent.
func (s *voterPlacement) replaceDown(voters, learners []state.Replica) []state.Replica {
	position := s.firstDown(voters)
	if position < 0 || len(learners) == 0 {
		return nil
	}
	return s.substitute(voters, position, learners)
}

// makeOdd adds a voter to an even set, or takes an absent one out of it. Even sets come from deployments with two seeds,
// and from versions that let every core machine vote.
func (s *voterPlacement) makeOdd(voters, learners []state.Replica) []state.Replica {
	if len(voters)%2 != 0 {
		return nil
	}
	if len(voters) < s.desiredVoters && len(learners) > 0 {
		return append(slices.Clone(voters), s.bestLearner(voters, learners))
	}
	position := s.firstDown(voters)
	switch {
	case len(voters) <= 2:
		return nil
	case position >= 0:
		return slices.Delete(slices.Clone(voters), position, position+1)
	case len(voters) > s.desiredVoters:
		return s.removeVoter(voters)
	}
	return nil
}

// grow adds two voters at once.
func (s *voterPlacement) grow(voters, learners []state.Replica) []state.Replica {
	if len(voters) >= s.desiredVoters || len(learners) < 2 {
		return nil
	}
	next := append(slices.Clone(voters), s.bestLearner(voters, learners))
	return append(next, s.bestLearner(next, s.availableLearners(next)))
}

// shrink takes two voters out at once where there are too many, or where two have been absent for so long that they
// won't be back: the smaller set bears more losses of those that are left.
func (s *voterPlacement) shrink(voters, _ []state.Replica) []state.Replica {
	if len(voters) > s.desiredVoters {
		return s.removeVoter(s.removeVoter(voters))
	}
	left := slices.DeleteFunc(slices.Clone(voters), func(r state.Replica) bool { return s.isExpired(r.Address) })
	if lost := len(voters) - len(left); lost < 2 || len(voters) <= minVoters {
		return nil
	}
	next := slices.Clone(voters)
	for range 2 {
		position := slices.IndexFunc(next, func(r state.Replica) bool { return s.isExpired(r.Address) })
		next = slices.Delete(next, position, position+1)
	}
	return next
}

// spreadZones moves a vote out of a zone that alone could end the majority to one that has fewer voters.
func (s *voterPlacement) spreadZones(voters, learners []state.Replica) []state.Replica {
	most := len(voters) - (len(voters)/2 + 1) // voters that may go at once
	position := slices.IndexFunc(voters, func(r state.Replica) bool {
		zone := s.zoneOf(r.Address)
		return zone != "" && s.countInZone(voters, zone) > most
	})
	if position < 0 || len(learners) == 0 {
		return nil
	}
	left := slices.Delete(slices.Clone(voters), position, position+1)
	chosen := s.bestLearner(left, learners)
	if zone := s.zoneOf(chosen.Address); zone == "" || s.countInZone(left, zone)+1 > most {
		return nil
	}
	next := slices.Clone(voters)
	next[position] = chosen
	return next
}

// substitute puts the learner that fits best in a voter's place.
func (s *voterPlacement) substitute(voters []state.Replica, position int, learners []state.Replica) []state.Replica {
	left := slices.Delete(slices.Clone(voters), position, position+1)
	next := slices.Clone(voters)
	next[position] = s.bestLearner(left, learners)
	return next
}

// bestLearner returns the learner whose zone has the fewest of the voters; among several alike the one with the lowest
// address, so that all who decide at once decide alike.
func (s *voterPlacement) bestLearner(voters, learners []state.Replica) state.Replica {
	return slices.MinFunc(learners, func(a, b state.Replica) int {
		return cmp.Or(cmp.Compare(s.countInZone(voters, s.zoneOf(a.Address)), s.countInZone(voters, s.zoneOf(b.Address))),
			cmp.Compare(a.Address, b.Address))
	})
}

// removeVoter takes one voter out: an absent one, else one of the zone that has the most.
func (s *voterPlacement) removeVoter(voters []state.Replica) []state.Replica {
	position := s.firstDown(voters)
	if position < 0 {
		crowded := slices.MaxFunc(voters, func(a, b state.Replica) int {
			return cmp.Or(cmp.Compare(s.countInZone(voters, s.zoneOf(a.Address)), s.countInZone(voters, s.zoneOf(b.Address))),
				cmp.Compare(a.Address, b.Address))
		})
		position = slices.Index(voters, crowded)
	}
	return slices.Delete(slices.Clone(voters), position, position+1)
}

func (s *voterPlacement) firstDown(voters []state.Replica) int {
	return slices.IndexFunc(voters, func(r state.Replica) bool { return s.isDown(r.Address) })
}

func (s *voterPlacement) countInZone(voters []state.Replica, zone string) (count int) {
	for _, voter := range voters {
		if s.zoneOf(voter.Address) == zone {
			count++
		}
	}
	return count
}
