package placement

import "time"

// maxPathCostEntries bounds the prompts whose ways are remembered for one service, in each of two generations.
const maxPathCostEntries = 512

// pathCosts holds what the ways to other regions have cost by the last shared part of the prompts sent there. What isn't
// used for as long as it takes to fill a cache with other parts is forgotten, as cached parts are: entries live in two
// generations, and those that the newer one has not met go when it is full.
type pathCosts struct {
	young       map[uint64]time.Duration
	old         map[uint64]time.Duration
	youngTokens int // of the parts in the newer generation
	tokenLimit  int // on those
}

// total is what the ways for a shared part have cost until now.
func (w *pathCosts) total(hash uint64) time.Duration {
	if cost, known := w.young[hash]; known {
		return cost
	}
	return w.old[hash]
}

// add notes that prompts with a shared part of so many tokens were sent, by a way that cost more than the one within
// the region.
func (w *pathCosts) add(hash uint64, tokens int, more time.Duration) {
	spent := w.total(hash)
	if _, known := w.young[hash]; !known {
		if w.young == nil || w.youngTokens+tokens > w.tokenLimit || len(w.young) >= maxPathCostEntries {
			w.young, w.old, w.youngTokens = map[uint64]time.Duration{}, w.young, 0
		}
		w.youngTokens += tokens
	}
	w.young[hash] = spent + more
}

// recordPathCost notes on which way a request of a prompt with long shared parts was sent.
func (s *candidateSearch) recordPathCost(prefix uint64) {
	switch {
	case s.cacheLocally:
		s.service.pathCosts.add(prefix, s.sharedTokens, 0)
	case s.prefixRegion != nil && s.best.endpoint.region == s.prefixRegion.name && s.prefixRegion.name != s.ownRegion:
		s.service.pathCosts.add(prefix, s.sharedTokens, s.best.pathLatency)
	}
}
