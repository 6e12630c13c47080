package placement

import "time"

// maxPathCostEntries bounds the prefixes in each of the two generations of one service.
const maxPathCostEntries = 512

// pathCosts holds, by the hash of a shared prefix, the total latency that requests have paid to reach the prefix's
// owner in another region. An unused prefix is dropped once other prefixes would have filled the cache, just as
// endpoints evict its blocks. Entries are in two generations: when the young one is full, it replaces the old one.
type pathCosts struct {
	young       map[uint64]time.Duration
	old         map[uint64]time.Duration
	youngTokens int // of the prefixes in the young generation
	tokenLimit  int // upper bound of youngTokens
}

// total returns the latency paid for a prefix.
func (c *pathCosts) total(hash uint64) time.Duration {
	if cost, known := c.young[hash]; known {
		return cost
	}
	return c.old[hash]
}

// add records that a request with the prefix, which has the given number of tokens, has paid the latency. It makes the
// prefix an entry of the young generation.
func (c *pathCosts) add(hash uint64, tokens int, latency time.Duration) {
	total := c.total(hash)
	if _, known := c.young[hash]; !known {
		full := c.youngTokens+tokens > c.tokenLimit || len(c.young) >= maxPathCostEntries
		if c.young == nil || full {
			c.old = c.young
			c.young = map[uint64]time.Duration{}
			c.youngTokens = 0
		}
		c.youngTokens += tokens
	}
	c.young[hash] = total + latency
}

// recordPathCost records the latency that a request pays for going to a prefix owner in another region. For a prefix
// that the own region caches already it records zero, which only marks the prefix as used.
func (s *candidateSearch) recordPathCost(prefix uint64) {
	if s.cacheLocally {
		s.service.pathCosts.add(prefix, s.sharedTokens, 0)
		return
	}
	if s.prefixRegion == nil || s.prefixRegion.name == s.ownRegion {
		return
	}
	if s.best.endpoint.region == s.prefixRegion.name {
		s.service.pathCosts.add(prefix, s.sharedTokens, s.best.pathLatency)
	}
}
