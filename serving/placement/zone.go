package placement

import (
	"slices"
	"time"
)

const (
	// zoneSuspectThreshold is the number of unresponsive endpoints from which a whole zone is suspect.
	zoneSuspectThreshold = 3
	// zoneSuspicionTTL is how long the suspicion lasts after the last unresponsive call. Then a few requests test the
	// zone.
	zoneSuspicionTTL = 5 * time.Second
)

// zone is what this proxy's calls have shown of a zone as a whole. With many endpoints and few calls, no proxy would
// find out about each endpoint of a failed zone by itself.
type zone struct {
	suspects    []*endpoint // distinct unresponsive endpoints since any endpoint of the zone was last active
	suspectedAt time.Time   // when an endpoint was last found to be unresponsive

	roundTrip time.Duration // measured; zero: unknown
}

// recordUnresponsive records that an endpoint of the zone did not respond.
func (z *zone) recordUnresponsive(now time.Time, e *endpoint) {
	if now.Sub(z.suspectedAt) > zoneSuspicionTTL {
		z.suspects = z.suspects[:0]
	}
	z.suspectedAt = now
	if len(z.suspects) >= zoneSuspectThreshold {
		return
	}
	if !slices.Contains(z.suspects, e) {
		z.suspects = append(z.suspects, e)
	}
}

// recordActivity records that an endpoint of the zone is alive.
func (z *zone) recordActivity() { z.suspects = z.suspects[:0] }

// isSuspect reports whether the whole zone may be down. Other proxies don't know of it, so it adds to the cost of the
// zone's endpoints only, and has no influence on what all proxies must agree on.
func (z *zone) isSuspect(now time.Time) bool {
	return len(z.suspects) >= zoneSuspectThreshold && now.Sub(z.suspectedAt) <= zoneSuspicionTTL
}

// ensureZone returns the zone of a name. It adds one that is unknown.
func (p *Picker) ensureZone(name string) *zone {
	known := p.zones[name]
	if known == nil {
		known = &zone{}
		p.zones[name] = known
	}
	return known
}
