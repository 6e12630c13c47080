package placement

import "time"

const (
	// zoneSuspects is how many endpoints of a zone must be without a sign of life before the whole zone is in doubt.
	zoneSuspects = 3
	// zoneDoubt is how long after the last such observation the doubt lasts. Then a few requests find out.
	zoneDoubt = 5 * time.Second
)

// zone is what own calls say of all endpoints of a zone together. Where many endpoints and few calls meet, no proxy
// would find out about each endpoint of a lost zone by itself.
type zone struct {
	suspects  []*endpoint // without a sign of life of any endpoint of the zone since the first was added; each once
	suspectAt time.Time   // when an endpoint was last found to be silent or out of reach

	roundTrip time.Duration // to the zone and back; zero: not known
}

// silent notes that an endpoint of the zone gave no sign of life where it should have.
func (z *zone) silent(now time.Time, e *endpoint) {
	if now.Sub(z.suspectAt) > zoneDoubt {
		z.suspects = z.suspects[:0]
	}
	z.suspectAt = now
	if len(z.suspects) >= zoneSuspects {
		return
	}
	for _, known := range z.suspects {
		if known == e {
			return
		}
	}
	z.suspects = append(z.suspects, e)
}

// alive notes a sign of life of any endpoint of the zone.
func (z *zone) alive() { z.suspects = z.suspects[:0] }

// doubtful tells whether the zone as a whole may be lost. It is local knowledge, so it raises the cost of the zone's
// endpoints and has no say in what all proxies must agree on.
func (z *zone) doubtful(now time.Time) bool {
	return len(z.suspects) >= zoneSuspects && now.Sub(z.suspectAt) <= zoneDoubt
}

// zone returns the zone of a name.
func (p *Placer) zone(name string) *zone {
	known := p.zones[name]
	if known == nil {
		known = &zone{}
		p.zones[name] = known
	}
	return known
}

// seenAlive notes that the endpoint gave a sign of life.
func (e *endpoint) seenAlive(now time.Time) {
	e.heardAt = now
	e.zone.alive()
}
