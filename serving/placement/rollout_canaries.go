package placement

import (
	"slices"

	"rowanlink/serving/state"
)

const (
	// canaryShareOfBound is the target's share of the requests in the canary and load steps, as a multiple of the bound
	// ExposureShare.
	canaryShareOfBound = 0.3
	// rampShareOfBound is the same for the ramp step. It may exceed the bound because the step is short. The resulting
	// share is at most maxRampShare.
	rampShareOfBound = 2.5
	maxRampShare     = 0.25
	// minCanaries is the least number of the target's endpoints in a region that get requests in the canary and load
	// steps. With fewer, a fault of one endpoint could be taken for a fault of the version.
	minCanaries = 3
)

// selectCanaries excludes those endpoints of the targets that get no requests in the present step. All proxies exclude
// the same ones, so that the remaining ones are about as busy as the endpoints of the versions in force.
func (p *Picker) selectCanaries() {
	for _, r := range p.rollouts.inProgress {
		r.loadProbes = r.loadProbes[:0]
		share := p.shareOf(r)
		if share >= 1 {
			continue
		}
		regions := r.rankedByRegion()
		r.selectLoadProbes(regions)
		least := minCanaries
		if r.info.Step == state.RolloutRamp {
			least = 1 // more endpoints would be less busy than those of the versions in force
		}
		for _, candidates := range regions {
			count := max(least, int(share*float64(len(candidates))))
			for index, e := range candidates {
				e.excluded = index >= count && !e.isLoadProbe
			}
		}
		r.target.forgetOwners()
	}
}

// rankedByRegion returns the target's endpoints that may get requests, by region, in the order of compareRanks. It also
// resets the state of load probes.
func (r *rolloutInProgress) rankedByRegion() map[string][]*endpoint {
	regions := map[string][]*endpoint{}
	for _, e := range r.target.endpoints {
		e.isLoadProbe = false
		if r.info.Step != state.RolloutLoad {
			e.loadProbeCalls = 0
		}
		if !e.excluded {
			regions[e.region] = append(regions[e.region], e)
		}
	}
	for _, candidates := range regions {
		slices.SortFunc(candidates, func(one, other *endpoint) int { return compareRanks(&r.info, one, other) })
	}
	return regions
}

// compareRanks orders the endpoints of a target by a hash that also depends on the roll-out, so that each roll-out has
// other canaries.
func compareRanks(info *state.Rollout, one, other *endpoint) int {
	rankOne := mixHashes(info.OrderRevision, one.hash)
	rankOther := mixHashes(info.OrderRevision, other.hash)
	switch {
	case rankOne < rankOther:
		return -1
	case rankOne > rankOther:
		return 1
	default:
		return 0
	}
}

// shareOf returns the share of the service's requests that the target gets in the present step.
func (p *Picker) shareOf(r *rolloutInProgress) float64 {
	bound := p.options.Bounds.ExposureShare
	switch r.info.Step {
	case state.RolloutCanary, state.RolloutLoad:
		return canaryShareOfBound * bound
	case state.RolloutRamp:
		return min(rampShareOfBound*bound, maxRampShare)
	default:
		return 1
	}
}
