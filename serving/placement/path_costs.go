package placement

import "time"

// maxPathCostEntries bounds the prefixes in each of the two generations of one service.
const maxPathCostEntries = 512

// pathCosts sums up, by the hash of a shared prefix, the latency that requests have paid to reach an owner in another
// region. A prefix that isn't used for as long as it takes to fill a cache with others is dropped, as cached blocks
// are: entries live in two generations, and when the young one is full it replaces the old one.
type pathCosts struct {
	young       map[uint64]time.Duration
	old         map[uint64]time.Duration
	youngTokens int // of the prefixes in the young generation
	tokenLimit  int // of youngTokens
}

// total returns the latency paid for a prefix.
func (c *pathCosts) total(hash uint64) time.Duration {
	if cost, known := c.young[hash]; known {
		return cost
	}
	return c.old[hash]
}

// add records a request with a prefix of so many tokens and the latency that it has paid.
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

// recordPathCost records the latency that a request pays for going to a prefix owner in another region.
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
