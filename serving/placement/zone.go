package placement

import "time"

const (
	// zoneSuspectThreshold is how many endpoints of a zone must be without a sign of life before the whole zone is in doubt.
	zoneSuspectThreshold = 3
	// zoneSuspicionTTL is how long after the last such observation the doubt lasts. Then a few requests find out.
	zoneSuspicionTTL = 5 * time.Second
)

// zone is what own calls say of all endpoints of a zone together. Where many endpoints and few calls meet, no proxy
// would find out about each endpoint of a lost zone by itself.
type zone struct {
	suspects    []*endpoint // without a sign of life of any endpoint of the zone since the first was added; each once
	suspectedAt time.Time   // when an endpoint was last found to be silent or out of reach

	roundTrip time.Duration // to the zone and back; zero: not known
}

// recordSilence notes that an endpoint of the zone gave no sign of life where it should have.
func (z *zone) recordSilence(now time.Time, e *endpoint) {
	if now.Sub(z.suspectedAt) > zoneSuspicionTTL {
		z.suspects = z.suspects[:0]
	}
	z.suspectedAt = now
	if len(z.suspects) >= zoneSuspectThreshold {
		return
	}
	for _, known := range z.suspects {
		if known == e {
			return
		}
	}
	z.suspects = append(z.suspects, e)
}

// recordActivity notes a sign of life of any endpoint of the zone.
func (z *zone) recordActivity() { z.suspects = z.suspects[:0] }

// isSuspect tells whether the zone as a whole may be lost. It is local knowledge, so it raises the cost of the zone's
// endpoints and has no say in what all proxies must agree on.
func (z *zone) isSuspect(now time.Time) bool {
	return len(z.suspects) >= zoneSuspectThreshold && now.Sub(z.suspectedAt) <= zoneSuspicionTTL
}

// ensureZone returns the zone of a name.
func (p *Picker) ensureZone(name string) *zone {
	known := p.zones[name]
	if known == nil {
		known = &zone{}
		p.zones[name] = known
	}
	return known
}

// recordActivity notes that the endpoint gave a sign of life.
func (e *endpoint) recordActivity(now time.Time) {
	e.lastActivityAt = now
	e.zone.recordActivity()
}
