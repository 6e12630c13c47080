package gossip

import (
	"slices"
	"time"
)

const (
	// avoidPeriod is how long a peer that didn't respond is avoided.
	avoidPeriod = 2 * time.Second
	// suspectZonePeriod is how long the zone of a peer that didn't respond is suspect, that is, possibly unreachable.
	// It ends early when a peer of the zone responds.
	suspectZonePeriod = 3 * time.Second
)

// MarkUnresponsive records that a peer didn't respond: it is avoided for avoidPeriod, and its zone becomes suspect.
func (e *Engine) MarkUnresponsive(now time.Time, name string) {
	e.avoidedUntil[name] = now.Add(avoidPeriod)
	if zone, ok := e.zoneOf(name); ok {
		e.suspectZones[zone] = now
	}
}

// MarkResponsive records that a peer has responded to a call: it is no longer avoided, and its zone is no longer
// suspect.
func (e *Engine) MarkResponsive(name string) {
	delete(e.avoidedUntil, name)
	if zone, ok := e.zoneOf(name); ok {
		delete(e.suspectZones, zone)
	}
}

// IsAvoided reports whether a peer is avoided because it recently didn't respond.
func (e *Engine) IsAvoided(now time.Time, name string) bool { return now.Before(e.avoidedUntil[name]) }

// zoneOf returns the zone of a peer.
func (e *Engine) zoneOf(name string) (zone string, known bool) {
	peer, known := e.peersByName[name]
	return peer.Zone, known
}

// currentSuspectZones returns the suspect zones except the local one, sorted.
func (e *Engine) currentSuspectZones(now time.Time) (zones []string) {
	for zone, since := range e.suspectZones {
		if now.Sub(since) < suspectZonePeriod && zone != e.options.Zone {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}
