package placement

import "time"

const (
	// maxFullScan is the largest number of endpoints of a region that are all compared. In larger regions the prefix
	// owner, this proxy's subset and a random sample of sampleSize endpoints are.
	maxFullScan = 24
	sampleSize  = 6
)

// candidateSearch is the state of one call of Pick.
type candidateSearch struct {
	now              time.Time
	request          *Request
	ownRegion        string // of this proxy
	service          *service
	priority         int // 0 is the highest
	promptTokens     int
	sharedTokens     int  // of the blocks that other prompts may have in common
	ownRegionAllowed bool // the request may be served in this proxy's region
	modelServed      bool // some endpoint announces the request's model
	hasUntried       bool // some endpoint has not been tried for the request
	// pinnedVersion is the only software version that may resume the request's stream; empty: any.
	pinnedVersion string
	loadProbe     *endpoint // the only endpoint that may be chosen, to put load on it; nil: any that isn't a load probe

	prefixRegion *region // the only region whose owner caches the shared blocks; nil: each region has an owner
	cacheLocally bool    // the own region's owner caches the blocks too, see findPrefixRegion

	best          estimate
	retryIn       time.Duration // the shortest time after which an ineligible endpoint may become eligible
	sawFullWindow bool          // some endpoint was passed over because its concurrency window is full
	// lateQueueDelay is the shortest queueing delay of an eligible endpoint that was passed over because its response is
	// expected to end after the deadline; unknownDelay: there is none.
	lateQueueDelay time.Duration
}

// searchRegions compares the endpoints of the own region first, and then those of other regions unless
// ownRegionSuffices.
func (p *Picker) searchRegions(s *candidateSearch) {
	p.findPrefixRegion(s)
	for _, r := range s.service.regions {
		if r.name == p.options.Region && s.ownRegionAllowed {
			p.searchRegion(s, r)
		}
	}
	if p.ownRegionSuffices(s) {
		return
	}
	for _, r := range s.service.regions {
		if r.name != p.options.Region && s.allowsRegion(r.name) {
			p.searchRegion(s, r)
		}
	}
}

// ownRegionSuffices reports whether the best endpoint of the own region needs no comparison with other regions: what the
// request could avoid there, queueing delay and added costs, is less than what the path to another region adds.
func (p *Picker) ownRegionSuffices(s *candidateSearch) bool {
	if s.best.endpoint == nil {
		return false
	}
	if s.prefixRegion != nil && s.prefixRegion.name != p.options.Region {
		return false
	}
	avoidable := s.best.cost - s.best.firstByte + s.best.queueDelay
	added := p.shortestPathLatency() - s.best.pathLatency + crossRegionPenalty
	return avoidable < added
}

// searchRegion compares the endpoints of a region.
func (p *Picker) searchRegion(s *candidateSearch, r *region) {
	owner := p.findPrefixOwner(s, r)
	if len(r.endpoints) <= maxFullScan {
		p.considerAll(s, r, owner)
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
	if s.best.endpoint == nil {
		p.considerAll(s, r, owner)
	}
}

func (p *Picker) considerAll(s *candidateSearch, r *region, owner *endpoint) {
	for _, e := range r.endpoints {
		p.considerEndpoint(s, e, e == owner)
	}
}

// considerEndpoint makes an endpoint the best candidate if it is eligible, is expected to respond completely before the
// request's deadline, and costs less than the best one so far.
func (p *Picker) considerEndpoint(s *candidateSearch, e *endpoint, isOwner bool) {
	retryIn, eligible := p.checkEligibility(s, e)
	if !eligible {
		s.retryIn = min(s.retryIn, retryIn)
		return
	}
	found := p.estimateCost(s, e, isOwner)
	if found.callTime > s.request.TimeLeft {
		s.lateQueueDelay = min(s.lateQueueDelay, found.queueDelay)
		return
	}
	if s.best.endpoint == nil || found.cost < s.best.cost {
		s.best = found
	}
}
