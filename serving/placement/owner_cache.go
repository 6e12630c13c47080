package placement

import "time"

// maxRankedPrefixes bounds the entries of a region's ownerCache.
const maxRankedPrefixes = 1024

// ownerKey identifies a ranking of a region's endpoints as owners of a prefix.
type ownerKey struct {
	prefix uint64
	model  string // the model that the endpoints must serve; empty: any
	filter warmupFilter
}

// rankedOwners holds the first endpoints of a region in rendezvous order; nil: there are fewer.
type rankedOwners struct {
	endpoints [maxPrefixOwners]*endpoint
	warmupEnd time.Time // when the entry expires, because an endpoint's warm-up ends; zero: it doesn't expire
}

// ownerCache caches the ranking of prefix owners in a region. It is cleared when something changes that determines the
// owners, see ownership.
type ownerCache struct{ ranked map[ownerKey]rankedOwners }

// lookup returns the owners, and false if they have to be computed.
func (c *ownerCache) lookup(key ownerKey, now time.Time) ([maxPrefixOwners]*endpoint, bool) {
	found, ok := c.ranked[key]
	if !ok || !found.warmupEnd.IsZero() && !now.Before(found.warmupEnd) {
		return [maxPrefixOwners]*endpoint{}, false
	}
	return found.endpoints, true
}

// store adds an entry. If the cache is full, it drops all other entries first.
func (c *ownerCache) store(key ownerKey, owners rankedOwners) {
	if len(c.ranked) >= maxRankedPrefixes {
		clear(c.ranked)
	}
	if c.ranked == nil {
		c.ranked = map[ownerKey]rankedOwners{}
	}
	c.ranked[key] = owners
}

// ownership holds the properties of an endpoint that determine whether it can own prefixes. Its models and the
// service's majoritySuspect determine it too, and are compared separately.
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

// forgetOwners clears the caches of prefix owners in all regions of the service.
func (s *service) forgetOwners() {
	s.ownersChanged = false
	for _, r := range s.regions {
		clear(r.owners.ranked)
	}
}
