package placement

import (
	"math"
	"slices"
	"time"
)

// Limits of the search.
const (
	// maxFullScan is how many endpoints of a region are all weighed; of more, sampleSize are drawn beside the owner.
	maxFullScan = 24
	sampleSize  = 6
	// maxPrefixOwners is how many endpoints in rendezvous order may stand in for the owner of a prefix.
	maxPrefixOwners = 3
	// An owner takes a request while it has no more than ownerLoadFactor times the mean of its region in flight, and
	// ownerLoadSlack more.
	ownerLoadFactor = 2
	ownerLoadSlack  = 4
	// remotePrefixWeight is by how much the time to read shared parts counts against the way to another region.
	remotePrefixWeight = 1 + recomputeWeight
	// localSearchShare is the share of the objective within which the own region isn't compared with others.
	localSearchShare = 0.25
)

// searchRegions weighs the own region first, and others where it has nothing or is slow.
func (p *Picker) searchRegions(s *candidateSearch) {
	p.findPrefixRegion(s)
	for _, r := range s.service.regions {
		if r.name == p.options.Region && s.ownRegionAllowed {
			p.searchRegion(s, r)
		}
	}
	enough := time.Duration(localSearchShare * float64(s.request.Route.Target))
	kept := s.prefixRegion == nil || s.prefixRegion.name == p.options.Region
	if kept && s.best.endpoint != nil && s.best.cost-s.best.firstByte < enough && s.best.queueDelay < enough {
		return
	}
	for _, r := range s.service.regions {
		if r.name != p.options.Region && s.allowsRegion(r.name) {
			p.searchRegion(s, r)
		}
	}
}

// findPrefixRegion finds the region whose owner keeps the shared parts of a prompt, where reading them anew in each region
// takes longer than going there: that of the first endpoint in rendezvous order over all regions, which all proxies
// find alike. Once the ways there have cost as much as reading the parts in the own region would, it is the own one's.
func (p *Picker) findPrefixRegion(s *candidateSearch) {
	reading := s.service.prefillTime(s.sharedTokens)
	if len(s.service.regions) < 2 || remotePrefixWeight*reading < p.longestPathLatency()+crossRegionPenalty {
		return
	}
	ownOwner := false
	var highest uint64
	for _, r := range s.service.regions {
		if !s.allowsRegion(r.name) {
			continue
		}
		owners, _ := s.rankOwners(p.chain.sharedPrefixHash(), r, false)
		if e := owners[0]; e != nil {
			ownOwner = ownOwner || r.name == p.options.Region
			if rank := mixHashes(p.chain.sharedPrefixHash(), e.hash); rank >= highest {
				s.prefixRegion, highest = r, rank
			}
		}
	}
	s.cacheLocally = ownOwner && s.service.pathCosts.total(p.chain.sharedPrefixHash()) >= reading
	if s.cacheLocally {
		s.prefixRegion = nil
	}
}

// searchRegion weighs the endpoints of a region.
func (p *Picker) searchRegion(s *candidateSearch, r *region) {
	owner := p.findPrefixOwner(s, r)
	if len(r.endpoints) <= maxFullScan {
		for _, e := range r.endpoints {
			p.considerEndpoint(s, e, e == owner)
		}
		return
	}
	if owner != nil {
		p.considerEndpoint(s, owner, true)
	}
	for _, e := range r.subset {
		if e != owner {
			p.considerEndpoint(s, e, false)
		}
	}
	for range sampleSize {
		e := r.endpoints[int(p.random.Float64()*float64(len(r.endpoints)))]
		p.considerEndpoint(s, e, e == owner)
	}
	if s.best.endpoint != nil {
		return
	}
	for _, e := range r.endpoints {
		p.considerEndpoint(s, e, e == owner)
	}
}

// considerEndpoint weighs an endpoint if it is eligible and keeps the better.
func (p *Picker) considerEndpoint(s *candidateSearch, e *endpoint, owner bool) {
	room, ok := p.checkEligibility(s, e)
	if !ok {
		s.retryIn = min(s.retryIn, room)
		return
	}
	found := p.estimateCost(s, e, owner)
	if s.best.endpoint == nil || found.cost < s.best.cost {
		s.best = found
	}
}

// checkEligibility tells whether a request may go to an endpoint now. Where not, room is the time after which it may.
func (p *Picker) checkEligibility(s *candidateSearch, e *endpoint) (room time.Duration, ok bool) {
	if !s.isUsable(e) {
		return math.MaxInt64, false
	}
	if held := e.health.backoffUntil.Sub(s.now); held > 0 {
		return held, false
	}
	probing := e.health.isEjected() && !e.service.majorityEjected
	if probing && e.health.probe != nil {
		return p.jitter(slotPollInterval), false
	}
	if e.inFlight >= e.concurrencyLimit(s.now) {
		s.sawFullWindow = true
		return p.jitter(slotPollInterval), false
	}
	wait, may := p.warmupDelay(s.now, e)
	if !may {
		return math.MaxInt64, false
	}
	return wait, wait == 0
}

// isUsable tells whether anything may go to the endpoint on behalf of the request, now or later.
func (s *candidateSearch) isUsable(e *endpoint) bool {
	if e.excluded || !s.allowsRegion(e.region) {
		return false
	}
	if s.modelServed && !e.servesModel(s.request.Model) {
		return false
	}
	return !s.hasUntried || !slices.Contains(s.request.TriedEndpoints, e.info.ID)
}

// servesModel tells whether the endpoint has named the model.
func (e *endpoint) servesModel(model string) bool {
	for index := range e.info.Models {
		if e.info.Models[index].Name == model {
			return true
		}
	}
	return false
}

// findPrefixOwner is the endpoint of a region at which all proxies look for the shared parts of the prompt: the first in
// rendezvous order that takes it and isn't busier than the bound. Nil where the prompt shares nothing.
func (p *Picker) findPrefixOwner(s *candidateSearch, r *region) *endpoint {
	if s.sharedTokens == 0 {
		return nil
	}
	owners, inFlight := s.rankOwners(p.chain.sharedPrefixHash(), r, false)
	if owners[0] == nil {
		owners, inFlight = s.rankOwners(p.chain.sharedPrefixHash(), r, true)
	}
	most := ownerLoadFactor*float64(inFlight)/float64(len(r.endpoints)) + ownerLoadSlack
	for _, e := range owners {
		if e == nil {
			break
		}
		if _, ok := p.checkEligibility(s, e); ok && float64(e.inFlight) <= most {
			return e
		}
	}
	return nil
}

// rankOwners returns the first endpoints in rendezvous order and the calls in flight at all of the region. What only
// this proxy knows of them has no say, so that all proxies find the same order. Those that say that they are cold
// could take few of the prefix's requests, and stay out unless there is no other.
func (s *candidateSearch) rankOwners(prefix uint64, r *region, cold bool) (owners [maxPrefixOwners]*endpoint, inFlight int) {
	var order topRanked
	for _, e := range r.endpoints {
		inFlight += e.inFlight
		if !cold && s.now.Before(e.warmup.reportedUntil) || e.excluded || e.isSuspect() || s.modelServed && !e.servesModel(s.request.Model) {
			continue
		}
		order.add(e, mixHashes(prefix, e.hash))
	}
	copy(owners[:], order.endpoints[:])
	return owners, inFlight
}
