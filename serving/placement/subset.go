package placement

import "time"

// A proxy prefers a small subset of each region's endpoints. It sends often to each of them, so that it learns how busy
// they are, and keeps connections to few: among many proxies and endpoints, calls to all of them would tell it nothing
// about any, and each pair would need a connection. Subsets are drawn by rendezvous, without talking, so that each
// endpoint is in about as many. An endpoint outside is taken where it is better by more than outsideSubsetCost, as owners
// of long shared parts are.

const (
	// subsetSize is how many endpoints of a region are in a proxy's subset.
	subsetSize = 3
	// outsideSubsetCost is what an endpoint outside the subset must be better by. With more, prompts with shared parts of
	// some hundred tokens no longer go to their owners: that saves connections and has more read again. Trials in
	// docs/decisions.md.
	outsideSubsetCost = 25 * time.Millisecond
)

// selectSubsets marks the endpoints of a service that are in this proxy's subset.
func (p *Picker) selectSubsets(s *service) {
	for _, r := range s.regions {
		var order topRanked
		for _, e := range r.endpoints {
			e.inSubset = false
			if !e.excluded {
				order.add(e, mixHashes(p.nameHash, e.hash))
			}
		}
		r.subset = r.subset[:0]
		for _, e := range order.endpoints[:subsetSize] {
			if e != nil {
				e.inSubset = true
				r.subset = append(r.subset, e)
			}
		}
	}
}

// maxTopRanked is how many endpoints a rendezvous keeps.
const maxTopRanked = 4

// topRanked keeps the endpoints of the highest ranks, the highest first. Those that are missing are nil.
type topRanked struct {
	endpoints [maxTopRanked]*endpoint
	ranks     [maxTopRanked]uint64
}

// add takes an endpoint in if its rank is high enough.
func (r *topRanked) add(e *endpoint, rank uint64) {
	for place := range r.endpoints {
		if r.endpoints[place] == nil || rank > r.ranks[place] {
			r.endpoints[place], e = e, r.endpoints[place]
			r.ranks[place], rank = rank, r.ranks[place]
		}
		if e == nil {
			return
		}
	}
}
