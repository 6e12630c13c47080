package placement

import "time"

// Costs that are added to the estimated time to first byte when endpoints are compared.
const (
	crossRegionPenalty     = 100 * time.Millisecond // of an endpoint in another region
	utilizationCost        = 40 * time.Millisecond  // of an endpoint all of whose slots are taken: its decode steps are slower
	cachePressureThreshold = 0.7                    // share of the KV cache in use above which cachePressureCost rises from zero
	cachePressureCost      = 500 * time.Millisecond // of an endpoint whose KV cache is full
	suspectCost            = 5 * time.Second        // of an endpoint or zone that is suspected to be down: the last choice
	nonIdempotentProbeCost = 3 * time.Second        // of probing an ejected endpoint with a request that can't be retried
	failureCost            = 600 * time.Millisecond // of an endpoint at which all calls fail
	warmupCost             = 100 * time.Millisecond // of an endpoint that is warming up
	overdueWeight          = 2                      // of the time by which an endpoint's response is overdue
	// displacedWeight is the weight of the time to prefill shared blocks that are cached elsewhere too: they displace as
	// many other cached blocks, for whose prefill some other client then waits.
	displacedWeight = 1
	// loadReportTTL is how long an endpoint's load report is used.
	loadReportTTL = 1500 * time.Millisecond
	// maxCostJitter bounds the random cost that breaks ties.
	maxCostJitter = time.Millisecond
)

// estimate is the expected latency of a request at an endpoint, and the cost by which endpoints are compared.
type estimate struct {
	endpoint         *endpoint
	firstByte        time.Duration // time to the first byte
	queueDelay       time.Duration // part of firstByte that is spent behind other requests
	callTime         time.Duration // time to the end of the response
	modeledFirstByte time.Duration // firstByte without the recently measured queueing delay
	cost             time.Duration // the endpoint with the lowest cost is chosen
	uncachedTokens   int           // prompt tokens to prefill
	tokensAhead      int           // prompt tokens of this proxy's calls that the endpoint prefills before those
	pathLatency      time.Duration
}

// estimateCost estimates a request's time to first byte at an endpoint and the cost of choosing it. isOwner says that
// all proxies expect the endpoint to have the shared blocks of the prompt cached.
func (p *Picker) estimateCost(s *candidateSearch, e *endpoint, isOwner bool) estimate {
	found := estimate{endpoint: e, pathLatency: p.pathLatency(e)}
	if e.service.hasEngine() {
		p.estimatePrefill(s, &found, isOwner)
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

// healthPenalty returns the cost that is added for signs of an endpoint's bad health.
func (p *Picker) healthPenalty(s *candidateSearch, e *endpoint) (cost time.Duration) {
	overdue := e.overdue(s.now)
	if overdue > 0 {
		e.zone.recordUnresponsive(s.now, e)
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

// estimatePrefill models a language model's engine, which prefills one prompt after another, in chunks between decode
// steps.
func (p *Picker) estimatePrefill(s *candidateSearch, found *estimate, isOwner bool) {
	e, service := found.endpoint, found.endpoint.service
	cached := e.prefixCache.cachedTokens(&p.chain)
	if isOwner && (s.prefixRegion == nil || s.prefixRegion.name == e.region) {
		cached = max(cached, s.sharedTokens)
	}
	found.uncachedTokens = max(s.promptTokens-cached, 1)
	found.tokensAhead = e.backlogBefore(s.priority)
	unqueued := found.pathLatency + service.baseLatency + service.prefillTime(found.uncachedTokens)
	found.modeledFirstByte = unqueued + service.prefillTime(found.tokensAhead)
	ownQueueDelay := service.prefillTime(found.tokensAhead) + e.expectedQueueDelay(s.now, s.priority)
	found.queueDelay = max(ownQueueDelay, p.reportedQueueDelay(s.now, e))
	found.firstByte = unqueued + found.queueDelay
	found.callTime = found.firstByte + service.outputTime(s.now, s.request.Route.Name, s.request.MaxOutputTokens)

	sharedUncached := max(s.sharedTokens-cached, 0)
	delayed := displacedWeight + len(e.awaitingFirstByte) // clients that wait longer, beside this request's own
	found.cost += time.Duration(delayed) * service.prefillTime(sharedUncached)
	utilization := float64(e.inFlight*p.proxiesInRegion) / e.slots()
	found.cost += time.Duration(min(utilization, 1) * float64(utilizationCost))
	if inUse := p.cacheUtilization(e); inUse > cachePressureThreshold {
		pressure := (inUse - cachePressureThreshold) / (1 - cachePressureThreshold)
		found.cost += time.Duration(pressure * float64(cachePressureCost))
	}
}

// reportedQueueDelay returns the queueing delay according to the endpoint's last load report and the calls that this
// proxy has sent since; zero if the report is too old.
func (p *Picker) reportedQueueDelay(now time.Time, e *endpoint) time.Duration {
	if e.loadReportedAt.IsZero() || now.Sub(e.loadReportedAt) > loadReportTTL {
		return 0
	}
	queuedTokens := int(float64(e.loadReport.Queued) * e.service.uncachedPromptTokens)
	queued := e.service.prefillTime(queuedTokens)
	return max(queued-now.Sub(e.loadReportedAt), 0) + e.service.prefillTime(e.tokensSinceReport)
}

// cacheUtilization returns the estimated share of the endpoint's KV cache that is in use by running requests.
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

// estimatePlainCall models a service without an engine: calls take their usual time, and queue if there are more calls
// than slots.
func (p *Picker) estimatePlainCall(s *candidateSearch, found *estimate) {
	e := found.endpoint
	callMillis := e.callMillis
	if callMillis == 0 {
		callMillis = e.service.callMillis
	}
	callTime := time.Duration(callMillis * float64(time.Millisecond))
	busy := float64(e.inFlight * p.proxiesInRegion)
	queued := max(busy+1-e.slots(), 0) / e.slots()
	found.modeledFirstByte = found.pathLatency + callTime + time.Duration(queued*float64(callTime))
	found.queueDelay = found.modeledFirstByte - found.pathLatency - callTime + e.expectedQueueDelay(s.now, s.priority)
	found.firstByte = found.pathLatency + callTime + found.queueDelay
	found.callTime = found.pathLatency + e.service.callTime(s.now) + found.queueDelay
	found.cost = time.Duration(min(busy/e.slots(), 1) * float64(callTime))
}
