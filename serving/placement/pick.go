package placement

import (
	"slices"
	"time"

	"rowanlink/serving/routing"
)

// Pick selects the endpoint for a request. The choice is empty unless the decision is Picked.
func (p *Picker) Pick(now time.Time, request Request) (Choice, Decision) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	service := p.pickService(&request)
	if service == nil || request.TimeLeft <= 0 {
		return Choice{}, Decision{Kind: Reject, Delay: noEndpointRetryAfter}
	}
	if draw, drawn := p.drawTarget(now, service, &request); drawn {
		if choice, picked := p.pickFromTarget(now, draw, &request); picked {
			return choice, Decision{Kind: Picked}
		}
	}
	s := p.newSearch(now, service, &request)
	p.prepareSearch(&s)
	request.leaveQueue(now, &service.queue)
	p.searchRegions(&s)
	if s.best.endpoint == nil && s.lacksPinnedVersion() {
		return Choice{}, Decision{Kind: Reject, Delay: noEndpointRetryAfter}
	}
	if s.best.endpoint == nil {
		return Choice{}, p.waitOrReject(&s)
	}
	if len(service.queue.tickets) > 0 {
		if ticket := s.newTicket(); service.queue.mustYield(ticket, s.best.endpoint, s.freeSlots) {
			return Choice{}, p.waitForSlot(&s, ticket)
		}
	}
	return p.reserve(&s), Decision{Kind: Picked}
}

// newSearch returns a search for a request among the endpoints of a service.
func (p *Picker) newSearch(now time.Time, service *service, request *Request) candidateSearch {
	return candidateSearch{
		now:            now,
		ownRegion:      p.options.Region,
		request:        request,
		service:        service,
		priority:       priorityOf(request.Route.Precedence),
		retryIn:        unknownDelay,
		lateQueueDelay: unknownDelay,
		pinnedVersion:  p.pinnedVersion(request, service.name),
	}
}

// pickService returns the service of a request: the one of its earlier attempts or, for a split route, one drawn by
// weight. It returns nil if all weights of the route are zero.
func (p *Picker) pickService(request *Request) *service {
	name := p.previousService(request)
	if name == "" {
		name = p.drawService(request.Route)
	}
	if name == "" {
		return nil
	}
	return p.ensureService(name)
}

// previousService returns the service of the request's earlier attempts; empty if the route no longer names it. A retry
// stays with its service, since each part of a split route gets its share of the requests (NEWS-22, "Duty").
func (p *Picker) previousService(request *Request) string {
	name := request.Service
	if name == "" && len(request.TriedEndpoints) > 0 {
		if e := p.endpoints[request.TriedEndpoints[0]]; e != nil {
			name = e.service.name
		}
	}
	isNamed := func(share routing.WeightedService) bool { return share.Service == name }
	if !slices.ContainsFunc(request.Route.Services, isNamed) {
		return ""
	}
	return name
}

// prepareSearch computes the properties of the request that are the same for all candidates.
func (p *Picker) prepareSearch(s *candidateSearch) {
	p.chain.prefixHashes = p.chain.prefixHashes[:0]
	if s.service.hasEngine() {
		p.chain = hashBlocks(p.chain, s.request.Blocks)
		s.sharedTokens = p.chain.sharedTokens()
	}
	s.promptTokens = s.request.PromptTokens
	if s.promptTokens == 0 {
		for _, block := range s.request.Blocks {
			s.promptTokens += block.Tokens
		}
	}
	s.ownRegionAllowed = s.allowsRegion(p.options.Region)
	s.modelServed = s.request.Model != "" && slices.ContainsFunc(s.service.endpoints, s.servesModel)
	s.hasUntried = slices.ContainsFunc(s.service.endpoints, s.isUntried)
}

// reserve accounts for the request's call at the chosen endpoint.
func (p *Picker) reserve(s *candidateSearch) Choice {
	best := &s.best
	e := best.endpoint
	c := &call{
		endpoint:          e,
		route:             s.request.Route.Name,
		isLoadProbe:       s.loadProbe != nil,
		sentAt:            s.now,
		priority:          s.priority,
		pathLatency:       best.pathLatency,
		uncachedTokens:    best.uncachedTokens,
		tokensAhead:       best.tokensAhead,
		outputTokens:      s.request.MaxOutputTokens,
		reservedTokens:    s.promptTokens + s.request.MaxOutputTokens,
		modeledFirstByte:  best.modeledFirstByte,
		expectedFirstByte: best.firstByte,
	}
	e.startCall(c)
	if c.isLoadProbe {
		e.loadProbeCalls++
	}
	if e.health.isEjected() {
		e.health.probe = c
	}
	if e.service.warmupRate() > 0 {
		e.warmup.recordSend(s.now)
	}
	if e.service.hasEngine() {
		e.prefixCache.touch(&p.chain)
		s.recordPathCost(p.chain.sharedPrefixHash())
		e.service.recordUncachedTokens(best.uncachedTokens)
	}
	return Choice{
		Endpoint:           e.info,
		Reservation:        Reservation{call: c},
		ExpectedFirstByte:  best.firstByte,
		FirstByteDeviation: e.service.firstByteDeviation.meanAt(s.now),
		ExpectedCallTime:   best.callTime,
	}
}
