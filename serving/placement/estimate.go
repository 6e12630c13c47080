package placement

import "time"

// Ways there and back, and what a choice weighs beside the time to the first byte.
const (
	sameZoneLatency        = 1 * time.Millisecond   // within a zone, with connection handling
	crossZoneLatency       = 3 * time.Millisecond   // between zones of a region, until it has been measured
	crossRegionLatency     = 75 * time.Millisecond  // between regions, the same
	crossRegionPenalty     = 100 * time.Millisecond // what another region must be better by, beyond the way
	utilizationCost        = 40 * time.Millisecond  // of a full endpoint's slower steps
	cachePressureThreshold = 0.7                    // share of the memory from which it is feared to run out
	cachePressureCost      = 500 * time.Millisecond
	suspectCost            = 5 * time.Second        // an endpoint said to be silent is the last choice
	nonIdempotentProbeCost = 3 * time.Second        // a request that can't be repeated is no probe, if there is another way
	failureCost            = 600 * time.Millisecond // of an endpoint at which all calls fail
	warmupCost             = 100 * time.Millisecond // of one that is cold
	overdueWeight          = 2
	recomputeWeight        = 2                       // of the time to read shared parts anew: it is priced and taken from other requests
	loadReportTTL          = 1500 * time.Millisecond // how long a report on load is of use
	maxCostJitter          = time.Millisecond        // spreads what is equal
)

// estimate is what a request is expected to meet at an endpoint.
type estimate struct {
	endpoint         *endpoint
	firstByte        time.Duration // until the first byte
	queueDelay       time.Duration // the part of first that isn't the request's own
	modeledFirstByte time.Duration // first without the waiting that was seen of late
	cost             time.Duration // what the choice compares
	uncachedTokens   int           // prompt tokens to be read
	tokensAhead      int           // own prompt tokens unread before it
	pathLatency      time.Duration
}

// pathLatency is the time there and back.
func (p *Picker) pathLatency(e *endpoint) time.Duration {
	switch {
	case e.zone.roundTrip > 0:
		return e.zone.roundTrip + sameZoneLatency
	case e.info.Zone == p.options.Zone:
		return sameZoneLatency
	case e.region == p.options.Region:
		return crossZoneLatency
	default:
		return crossRegionLatency
	}
}

// longestPathLatency is the time to the farthest other region and back.
func (p *Picker) longestPathLatency() time.Duration {
	longest := time.Duration(0)
	for name, known := range p.zones {
		if p.options.Regions[name] != p.options.Region {
			longest = max(longest, known.roundTrip)
		}
	}
	if longest == 0 {
		return crossRegionLatency
	}
	return longest + sameZoneLatency
}

// SetRoundTrips takes in how long the ways to zones and back were measured to be, by zone.
func (p *Picker) SetRoundTrips(measured map[string]time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for name, roundTrip := range measured {
		p.ensureZone(name).roundTrip = roundTrip
	}
}

// estimateCost estimates a request's time at an endpoint and its cost. owner tells whether the endpoint is the one at which
// all proxies assume the shared parts of the prompt to be kept.
func (p *Picker) estimateCost(s *candidateSearch, e *endpoint, owner bool) estimate {
	found := estimate{endpoint: e, pathLatency: p.pathLatency(e)}
	if e.service.hasEngine() {
		p.estimatePrefill(s, &found, owner)
	} else {
		p.estimatePlainCall(s, &found)
	}
	found.cost += found.firstByte + time.Duration(p.random.Float64()*float64(maxCostJitter))
	if e.region != p.options.Region && s.ownRegionAllowed {
		found.cost += crossRegionPenalty
	}
	if e.service.hasEngine() && !e.inSubset {
		found.cost += outsideSubsetCost
	}
	found.cost += p.healthPenalty(s, e)
	return found
}

// healthPenalty is the cost of what makes an endpoint doubtful.
func (p *Picker) healthPenalty(s *candidateSearch, e *endpoint) (cost time.Duration) {
	overdue := e.overdue(s.now)
	if overdue > 0 {
		e.zone.recordSilence(s.now, e)
	}
	if e.isSuspect() || e.zone.isSuspect(s.now) {
		cost += suspectCost
	}
	if e.health.isEjected() && !s.request.Route.Idempotent() && !e.service.majorityEjected {
		cost += nonIdempotentProbeCost
	}
	if p.isWarmingUp(s.now, e) {
		cost += warmupCost
	}
	cost += time.Duration(e.health.failureRate * float64(failureCost))
	return cost + overdueWeight*overdue
}

// estimatePrefill is the model of an engine that reads prompts one after the other in pieces between the steps.
func (p *Picker) estimatePrefill(s *candidateSearch, found *estimate, owner bool) {
	e, service := found.endpoint, found.endpoint.service
	cached := e.prefixCache.cachedTokens(&p.chain)
	if owner && (s.prefixRegion == nil || s.prefixRegion.name == e.region) {
		cached = max(cached, s.sharedTokens)
	}
	found.uncachedTokens = max(s.promptTokens-cached, 1)
	found.tokensAhead = e.backlogBefore(s.priority)
	own := found.pathLatency + service.baseLatency + service.prefillTime(found.uncachedTokens)
	found.modeledFirstByte = own + service.prefillTime(found.tokensAhead)
	found.queueDelay = max(service.prefillTime(found.tokensAhead)+e.expectedQueueDelay(s.now, s.priority), p.reportedQueueDelay(s.now, e))
	found.firstByte = own + found.queueDelay

	sharedUncached := max(s.sharedTokens-cached, 0)
	found.cost += recomputeWeight * service.prefillTime(sharedUncached)
	filled := float64(e.inFlight*p.proxiesInRegion) / e.slots()
	found.cost += time.Duration(min(filled, 1) * float64(utilizationCost))
	if memory := p.cacheUtilization(e); memory > cachePressureThreshold {
		found.cost += time.Duration((memory - cachePressureThreshold) / (1 - cachePressureThreshold) * float64(cachePressureCost))
	}
}

// reportedQueueDelay is the waiting that the endpoint's last report and own calls since then make.
func (p *Picker) reportedQueueDelay(now time.Time, e *endpoint) time.Duration {
	if e.loadReportedAt.IsZero() || now.Sub(e.loadReportedAt) > loadReportTTL {
		return 0
	}
	queued := e.service.prefillTime(int(float64(e.loadReport.Queued) * e.service.uncachedPromptTokens))
	return max(queued-now.Sub(e.loadReportedAt), 0) + e.service.prefillTime(e.tokensSinceReport)
}

// cacheUtilization is the share of the endpoint's memory that is believed to be taken and can't give way.
func (p *Picker) cacheUtilization(e *endpoint) float64 {
	total := float64(e.service.cacheTokens())
	if e.loadReport.CacheTotal > 0 {
		total = float64(e.loadReport.CacheTotal)
	}
	if total == 0 {
		return 0
	}
	return max(float64(e.reservedTokens*p.proxiesInRegion), float64(e.loadReport.CacheUsed)) / total
}

// estimatePlainCall is the model of a plain service: calls take their usual time, and queue where slots are short.
func (p *Picker) estimatePlainCall(s *candidateSearch, found *estimate) {
	e := found.endpoint
	took := e.callMillis
	if took == 0 {
		took = e.service.callMillis
	}
	usual := time.Duration(took * float64(time.Millisecond))
	busy := float64(e.inFlight * p.proxiesInRegion)
	queued := max(busy+1-e.slots(), 0) / e.slots()
	found.modeledFirstByte = found.pathLatency + usual + time.Duration(queued*float64(usual))
	found.queueDelay = found.modeledFirstByte - found.pathLatency - usual + e.expectedQueueDelay(s.now, s.priority)
	found.firstByte = found.pathLatency + usual + found.queueDelay
	found.cost = time.Duration(min(busy/e.slots(), 1) * float64(usual))
}
