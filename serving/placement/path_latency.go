package placement

import "time"

// Assumed round trips, including connection handling, used until measurements replace them.
const (
	sameZoneLatency    = 1 * time.Millisecond // also added to measured round trips, for connection handling
	crossZoneLatency   = 3 * time.Millisecond
	crossRegionLatency = 75 * time.Millisecond
)

// pathLatency returns the round trip to an endpoint, including connection handling.
func (p *Picker) pathLatency(e *endpoint) time.Duration {
	switch {
	case e.zone.roundTrip > 0:
		return e.zone.roundTrip + sameZoneLatency
	case e.info.Zone == p.options.Zone:
		return sameZoneLatency
	case e.region == p.options.Region:
		return crossZoneLatency
	default:
		return crossRegionLatency
	}
}

// longestPathLatency returns the round trip to the most distant other region.
func (p *Picker) longestPathLatency() time.Duration {
	_, longest := p.regionRoundTrips()
	return longest
}

// shortestPathLatency returns the round trip to the nearest other region.
func (p *Picker) shortestPathLatency() time.Duration {
	shortest, _ := p.regionRoundTrips()
	return shortest
}

// regionRoundTrips returns the shortest and the longest round trip to zones of other regions. While none is measured,
// both are crossRegionLatency.
func (p *Picker) regionRoundTrips() (shortest, longest time.Duration) {
	for name, known := range p.zones {
		if known.roundTrip <= 0 || p.options.Regions[name] == p.options.Region {
			continue
		}
		longest = max(longest, known.roundTrip)
		if shortest == 0 || known.roundTrip < shortest {
			shortest = known.roundTrip
		}
	}
	if longest == 0 {
		return crossRegionLatency, crossRegionLatency
	}
	return shortest + sameZoneLatency, longest + sameZoneLatency
}

// SetRoundTrips sets the measured round trips, by zone.
func (p *Picker) SetRoundTrips(measured map[string]time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for name, roundTrip := range measured {
		p.ensureZone(name).roundTrip = roundTrip
	}
}
