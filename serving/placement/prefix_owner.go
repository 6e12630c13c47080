package placement

import "time"

const (
	// maxPrefixOwners is how many endpoints of a region can be the owner of a prefix: the first ones in rendezvous
	// order.
	maxPrefixOwners = 3
	// An owner takes a request only while its calls in flight are at most ownerLoadFactor times the mean of its region,
	// plus ownerLoadSlack (consistent hashing with bounded loads).
	ownerLoadFactor = 2
	ownerLoadSlack  = 4
	// remotePrefixWeight is the weight of the time to prefill shared blocks when it is compared with the latency to
	// another region: this request waits for it, and so does the client whose cached blocks are displaced.
	remotePrefixWeight = 1 + displacedWeight
)

// findPrefixRegion sets s.prefixRegion if prefilling the shared blocks of a prompt in each region costs more than
// sending the request to another region. The prefix region is that of the first endpoint in rendezvous order over all
// regions that the request allows, which is the same for all proxies. Sending requests there adds latency to each of
// them. Once the added latencies sum up to the time of prefilling the blocks in the proxy's own region, its requests
// stay in that region, whose owner then caches the blocks too (ski rental: rent until the rent paid equals the price).
func (p *Picker) findPrefixRegion(s *candidateSearch) {
	prefillTime := s.service.prefillTime(s.sharedTokens)
	if len(s.service.regions) < 2 || remotePrefixWeight*prefillTime < p.longestPathLatency()+crossRegionPenalty {
		return
	}
	ownRegionHasOwner := false
	var highest uint64
	for _, r := range s.service.regions {
		if !s.allowsRegion(r.name) {
			continue
		}
		owners := s.rankOwners(p.chain.sharedPrefixHash(), r, excludeWarmingUp)
		if e := owners[0]; e != nil {
			ownRegionHasOwner = ownRegionHasOwner || r.name == p.options.Region
			if rank := mixHashes(p.chain.sharedPrefixHash(), e.hash); rank >= highest {
				s.prefixRegion, highest = r, rank
			}
		}
	}
	s.cacheLocally = ownRegionHasOwner && s.service.pathCosts.total(p.chain.sharedPrefixHash()) >= prefillTime
	if s.cacheLocally {
		s.prefixRegion = nil
	}
}

// findPrefixOwner returns the endpoint of a region that all proxies expect to have the shared blocks of the prompt
// cached: the first eligible one in rendezvous order whose load is within the bound. It is nil if there is none or if
// the prompt has no shared blocks.
func (p *Picker) findPrefixOwner(s *candidateSearch, r *region) *endpoint {
	if s.sharedTokens == 0 {
		return nil
	}
	owners := s.rankOwners(p.chain.sharedPrefixHash(), r, excludeWarmingUp)
	if owners[0] == nil {
		owners = s.rankOwners(p.chain.sharedPrefixHash(), r, includeWarmingUp)
	}
	for _, e := range owners {
		if e == nil {
			break
		}
		if _, eligible := p.checkEligibility(s, e); eligible && r.allowsOwner(e) {
			return e
		}
	}
	return nil
}

// allowsOwner reports whether an owner's calls in flight are within the load bound. The sum over all endpoints of the
// region is needed only if they exceed ownerLoadSlack.
func (r *region) allowsOwner(owner *endpoint) bool {
	if owner.inFlight <= ownerLoadSlack {
		return true
	}
	inFlight := 0
	for _, e := range r.endpoints {
		inFlight += e.inFlight
	}
	loadBound := ownerLoadFactor*float64(inFlight)/float64(len(r.endpoints)) + ownerLoadSlack
	return float64(owner.inFlight) <= loadBound
}

// warmupFilter determines whether endpoints that report that they are warming up can own prefixes. Such endpoints
// accept only few of a prefix's requests, so they are included only if the region has no other endpoint.
type warmupFilter bool

const (
	excludeWarmingUp warmupFilter = false
	includeWarmingUp warmupFilter = true
)

// rankOwners returns the first endpoints of a region in rendezvous order. It depends only on state that all proxies
// share, so that they find the same order. The result is cached by prefix, model and filter until something that it
// depends on changes: ranking the endpoints of a large region for each request would take too long.
func (s *candidateSearch) rankOwners(prefix uint64, r *region, filter warmupFilter) [maxPrefixOwners]*endpoint {
	key := ownerKey{prefix: prefix, filter: filter}
	if s.modelServed {
		key.model = s.request.Model
	}
	if ranked, ok := r.owners.lookup(key, s.now); ok {
		return ranked
	}
	var order topRanked
	var warmupEnd time.Time
	for _, e := range r.endpoints {
		if s.mayOwnPrefix(e, filter) {
			order.add(e, mixHashes(prefix, e.hash))
		}
		if until := e.warmup.reportedUntil; until.After(s.now) && (warmupEnd.IsZero() || until.Before(warmupEnd)) {
			warmupEnd = until
		}
	}
	ranked := [maxPrefixOwners]*endpoint(order.endpoints[:])
	r.owners.store(key, rankedOwners{endpoints: ranked, warmupEnd: warmupEnd})
	return ranked
}

// mayOwnPrefix reports whether the endpoint can own prefixes, by state that all proxies share.
func (s *candidateSearch) mayOwnPrefix(e *endpoint, filter warmupFilter) bool {
	if filter == excludeWarmingUp && s.now.Before(e.warmup.reportedUntil) {
		return false
	}
	if e.excluded || e.isSuspect() {
		return false
	}
	return !s.modelServed || e.servesModel(s.request.Model)
}
