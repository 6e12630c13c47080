package placement

import (
	"slices"
	"time"
)

const (
	// zoneSuspectThreshold is the number of unresponsive endpoints from which a whole zone is suspect.
	zoneSuspectThreshold = 3
	// zoneSuspicionTTL is how long the suspicion lasts after the last unresponsive call. After that, a few requests show
	// whether the zone is back.
	zoneSuspicionTTL = 5 * time.Second
)

// zone detects, from this proxy's calls, that a zone as a whole is down. Without it, a proxy would have to fail calls
// to each of a failed zone's many endpoints before it avoids the zone.
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

// isSuspect reports whether the whole zone may be down. Only this proxy knows of the suspicion, so it raises the cost
// of the zone's endpoints but doesn't change prefix owners, on which all proxies must agree.
func (z *zone) isSuspect(now time.Time) bool {
	return len(z.suspects) >= zoneSuspectThreshold && now.Sub(z.suspectedAt) <= zoneSuspicionTTL
}

// ensureZone returns the zone with the name, and adds it if it is unknown.
func (p *Picker) ensureZone(name string) *zone {
	known := p.zones[name]
	if known == nil {
		known = &zone{}
		p.zones[name] = known
	}
	return known
}
