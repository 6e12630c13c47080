package placement

import (
	"slices"

	"rowanlink/serving/state"
)

const (
	// canaryShareOfBound is the share of the exposure that the bounds allow, in the canary step.
	canaryShareOfBound = 0.3
	// rampShareOfBound is the same in the ramp step, which is short.
	rampShareOfBound = 2.5
	maxRampShare     = 0.25
	// minCanaries is the least number of the target's endpoints in a region that get requests: the fault of one of
	// them must not look like one of the version.
	minCanaries = 3
)

// selectCanaries excludes those endpoints of the targets that get nothing in the present step. All proxies choose the
// same ones, so that these are about as busy as the endpoints in force are.
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
			least = 1 // they are to be as busy as the endpoints in force
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

// rankedByRegion returns the target's endpoints that may get requests, by region, each region's in the roll-out's order.
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

// compareRanks orders the endpoints of a target by a hash that differs between roll-outs.
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
