package rebalance

import "math"

// shareTolerance absorbs the rounding errors of shares, which are sums of floating-point numbers.
const shareTolerance = 1e-6

// quota is the number of ranges that a member should own: its exact share, rounded down and rounded up.
type quota struct{ low, high int }

// shareBounds holds the bounds of the members' shares of the ranges.
type shareBounds struct {
	low, high []float64          // by member
	zoneLow   map[string]float64 // by zone, the number of ranges that rules place there
	total     float64            // number of ranges to share
}

// quotas returns each member's quota, by weight and within its capacity. The ranges that rules place on a member or in
// a zone are the lower bound of its share. If a bound is above the share by weight, the other members of the zone, or
// the other zones, share what is left.
func (p *problem) quotas() []quota {
	shares := p.shares(p.shareBounds())
	quotas := make([]quota, len(shares))
	for m, share := range shares {
		quotas[m].low = int(math.Floor(share + shareTolerance))
		quotas[m].high = int(math.Ceil(share - shareTolerance))
	}
	return quotas
}

func (p *problem) shareBounds() shareBounds {
	b := shareBounds{
		low:     make([]float64, len(p.members)),
		high:    make([]float64, len(p.members)),
		zoneLow: map[string]float64{},
	}
	for m, member := range p.members {
		b.high[m] = math.Inf(1)
		if member.Capacity > 0 {
			b.high[m] = float64(member.Capacity)
		}
		if !p.stays[m] {
			b.high[m] = 0
		}
	}
	for i := range p.ranges {
		if !p.isBase(i) {
			continue
		}
		b.total++
		if c := p.constraints[i]; c.pin != nil {
			m := p.memberIndex[c.pin.Member]
			b.low[m]++
			b.zoneLow[p.members[m].Zone]++
		} else if c.zone != nil {
			b.zoneLow[c.zone.Zone]++
		}
	}
	for m := range p.members {
		if p.dedicated[m] != nil {
			b.high[m] = b.low[m]
		}
	}
	return b
}

// shares returns each member's exact share. A zone whose share is below the number of ranges that rules place there
// gets exactly that number, and the remaining zones share the rest. This repeats until no zone gets too little.
func (p *problem) shares(b shareBounds) []float64 {
	shares := make([]float64, len(p.members))
	openZones := map[string][]int{} // by zone whose share isn't fixed yet, its members
	for m, member := range p.members {
		openZones[member.Zone] = append(openZones[member.Zone], m)
	}
	remaining := b.total
	for hasChanged := true; hasChanged; {
		hasChanged = false
		var members []int
		for m, member := range p.members { // in the file's order, so that the sums are the same each time
			if openZones[member.Zone] != nil {
				members = append(members, m)
			}
		}
		p.distribute(shares, members, remaining, b)
		zoneShares := map[string]float64{}
		for _, m := range members {
			zoneShares[p.members[m].Zone] += shares[m]
		}
		for _, member := range p.members {
			zone := member.Zone
			if openZones[zone] == nil || zoneShares[zone] >= b.zoneLow[zone]-shareTolerance {
				continue
			}
			p.distribute(shares, openZones[zone], b.zoneLow[zone], b)
			remaining -= b.zoneLow[zone]
			openZones[zone] = nil
			hasChanged = true
		}
	}
	return shares
}

// distribute sets the shares of members so that they sum up to n ranges, by weight and each within its bounds, as far
// as the bounds allow. It finds the number of ranges per unit of weight by bisection.
func (p *problem) distribute(shares []float64, members []int, n float64, b shareBounds) {
	weight := p.effectiveWeights(members, n, b)
	distributeAt := func(perWeight float64) (sum float64) {
		for _, m := range members {
			shares[m] = min(max(weight(m)*perWeight, b.low[m]), b.high[m])
			sum += shares[m]
		}
		return sum
	}
	const iterations = 200 // enough for the precision of a float64
	low, high := 0.0, 1.0
	for i := 0; i < iterations && distributeAt(high) < n; i++ {
		high *= 2
	}
	for range iterations {
		middle := (low + high) / 2
		if distributeAt(middle) < n {
			low = middle
		} else {
			high = middle
		}
	}
	distributeAt(high)
}

// effectiveWeights returns the weights by which members share n ranges. If the members with a weight above 0 don't have
// the capacity for all of them, members of weight 0 take the rest.
func (p *problem) effectiveWeights(members []int, n float64, b shareBounds) func(m int) float64 {
	capacity := 0.0
	for _, m := range members {
		if p.members[m].Weight > 0 {
			capacity += b.high[m]
		} else {
			capacity += min(b.low[m], b.high[m])
		}
	}
	if capacity >= n {
		return func(m int) float64 { return p.members[m].Weight }
	}
	return func(m int) float64 {
		if w := p.members[m].Weight; w > 0 {
			return w * 1e9 // so that members of weight 0 get next to nothing until the others are at capacity
		}
		return 1
	}
}
