package placement

import "time"

// waysMost bounds the prompts whose ways are remembered for one service, in each of two generations.
const waysMost = 512

// ways holds what the ways to other regions have cost by the last shared part of the prompts sent there. What isn't
// used for as long as it takes to fill a cache with other parts is forgotten, as cached parts are: entries live in two
// generations, and those that the newer one has not met go when it is full.
type ways struct {
	newer  map[uint64]time.Duration
	older  map[uint64]time.Duration
	tokens int // of the parts in the newer generation
	limit  int // on those
}

// spent is what the ways for a shared part have cost until now.
func (w *ways) spent(hash uint64) time.Duration {
	if cost, known := w.newer[hash]; known {
		return cost
	}
	return w.older[hash]
}

// use notes that prompts with a shared part of so many tokens were sent, by a way that cost more than the one within
// the region.
func (w *ways) use(hash uint64, tokens int, more time.Duration) {
	spent := w.spent(hash)
	if _, known := w.newer[hash]; !known {
		if w.newer == nil || w.tokens+tokens > w.limit || len(w.newer) >= waysMost {
			w.newer, w.older, w.tokens = map[uint64]time.Duration{}, w.newer, 0
		}
		w.tokens += tokens
	}
	w.newer[hash] = spent + more
}

// settle notes on which way a request of a prompt with long shared parts was sent.
func (s *search) settle(prefix uint64) {
	switch {
	case s.atHome:
		s.service.ways.use(prefix, s.sharedTokens, 0)
	case s.keeper != nil && s.best.endpoint.region == s.keeper.name && s.keeper.name != s.ownRegion:
		s.service.ways.use(prefix, s.sharedTokens, s.best.way)
	}
}
