package placement

import "time"

// A proxy prefers a small subset of each region's endpoints (deterministic subsetting). It sends to each of them often
// enough to estimate how busy they are, and has connections to few endpoints. With many proxies and endpoints, calls
// spread over all endpoints would yield too few samples of each, and each pair of proxy and endpoint would need a
// connection. Subsets are chosen by rendezvous hashing, so each endpoint is in about the same number of subsets,
// without coordination. An endpoint outside the subset is chosen if its cost is lower by more than outsideSubsetCost;
// owners of long shared prefixes often are.

const (
	// subsetSize is the number of endpoints of a region in a proxy's subset.
	subsetSize = 3
	// outsideSubsetCost is the cost added for an endpoint outside the subset. With a higher value, prompts that share some
	// hundred tokens no longer go to the prefix owner, which saves connections but costs more prefill. For the trials see
	// docs/decisions.md.
	outsideSubsetCost = 25 * time.Millisecond
)

// selectSubsets determines which endpoints of a service are in this proxy's subsets.
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

// maxTopRanked is the capacity of topRanked.
const maxTopRanked = 4

// topRanked holds the endpoints with the highest ranks (rendezvous hashes), the highest first; nil: there are fewer.
type topRanked struct {
	endpoints [maxTopRanked]*endpoint
	ranks     [maxTopRanked]uint64
}

// add inserts an endpoint if its rank is high enough.
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
