package placement

import (
	"math"

	"rowanlink/serving/routing"
)

// goldenRatioConjugate is the step of a lowDiscrepancySequence: of all steps it spreads any number of draws most evenly
// (Knuth, The Art of Computer Programming, volume 3, section 6.4).
const goldenRatioConjugate = 0.6180339887498949

// lowDiscrepancySequence divides the requests of a split route among its services, and those of a service between the
// versions of a roll-out. Its numbers are spread over [0, 1) more evenly
// than independent ones, so that each share of a few hundred requests is close to its weight. Each proxy begins at a
// random position.
type lowDiscrepancySequence struct{ position float64 }

// next returns the next number in [0, 1).
func (s *lowDiscrepancySequence) next() float64 {
	s.position = math.Mod(s.position+goldenRatioConjugate, 1)
	return s.position
}

// drawService returns the service of the next request of a route, by the services' weights; empty if all are zero.
func (p *Picker) drawService(route *routing.Route) string {
	total := 0
	for _, share := range route.Services {
		total += share.Weight
	}
	if total == 0 {
		return ""
	}
	if len(route.Services) == 1 {
		return route.Services[0].Service
	}
	left := int(p.splitOf(route.Name).next() * float64(total))
	for _, share := range route.Services {
		if left -= share.Weight; left < 0 {
			return share.Service
		}
	}
	return route.Services[len(route.Services)-1].Service
}

// splitOf returns the sequence of a split route. A new configuration begins new sequences.
func (p *Picker) splitOf(route string) *lowDiscrepancySequence {
	sequence := p.splits[route]
	if sequence == nil {
		sequence = &lowDiscrepancySequence{position: p.random.Float64()}
		p.splits[route] = sequence
	}
	return sequence
}
