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
	longest := time.Duration(0)
	for name, known := range p.zones {
		if p.options.Regions[name] != p.options.Region {
			longest = max(longest, known.roundTrip)
		}
	}
	if longest == 0 {
		return crossRegionLatency
	}
	return longest + sameZoneLatency
}

// SetRoundTrips sets the measured round trips, by zone.
func (p *Picker) SetRoundTrips(measured map[string]time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for name, roundTrip := range measured {
		p.ensureZone(name).roundTrip = roundTrip
	}
}
