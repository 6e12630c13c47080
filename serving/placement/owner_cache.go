package placement

import "time"

// maxRankedPrefixes is the number of prefixes for which a region's owners are remembered.
const maxRankedPrefixes = 1024

// ownerKey identifies a ranking of a region's endpoints as owners of a prefix.
type ownerKey struct {
	prefix uint64
	model  string // that the endpoints have to serve; empty: any
	filter warmupFilter
}

// rankedOwners is the first endpoints of a region in rendezvous order, the best first; nil: there are fewer.
type rankedOwners struct {
	endpoints [maxPrefixOwners]*endpoint
	warmupEnd time.Time // the next time at which a warm-up ends, and with it the validity; zero: there is none
}

// ownerCache remembers the owners of prefixes in a region. It is cleared when something changes that determines them,
// see ownership.
type ownerCache struct{ ranked map[ownerKey]rankedOwners }

// lookup returns the owners, and false if they have to be computed.
func (c *ownerCache) lookup(key ownerKey, now time.Time) ([maxPrefixOwners]*endpoint, bool) {
	found, ok := c.ranked[key]
	if !ok || !found.warmupEnd.IsZero() && !now.Before(found.warmupEnd) {
		return [maxPrefixOwners]*endpoint{}, false
	}
	return found.endpoints, true
}

// store remembers owners. It forgets all others once there are too many.
func (c *ownerCache) store(key ownerKey, owners rankedOwners) {
	if len(c.ranked) >= maxRankedPrefixes {
		clear(c.ranked)
	}
	if c.ranked == nil {
		c.ranked = map[ownerKey]rankedOwners{}
	}
	c.ranked[key] = owners
}

// ownership is what determines whether an endpoint can own prefixes, apart from its models and from the service as a
// whole (majoritySuspect).
type ownership struct {
	region       string
	excluded     bool
	suspect      bool
	warmupEndsAt time.Time
}

func (e *endpoint) ownership() ownership {
	return ownership{
		region:       e.region,
		excluded:     e.excluded,
		suspect:      e.info.Unresponsive || e.info.Failing,
		warmupEndsAt: e.warmup.reportedUntil,
	}
}

// forgetOwners clears what is remembered of the owners in all regions of the service.
func (s *service) forgetOwners() {
	s.ownersChanged = false
	for _, r := range s.regions {
		clear(r.owners.ranked)
	}
}
