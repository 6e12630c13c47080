package placement

import (
	"slices"
	"time"
)

// targetDraw determines to which endpoints of a roll-out's target a request is sent.
type targetDraw struct {
	target    *service
	loadProbe *endpoint // the only endpoint that may be chosen, to put load on it; nil: any canary
}

// drawTarget decides whether a request is sent to the target of a roll-out in progress. Resumed streams stay at the
// version that they began at. If the versions in force have no accepting endpoint left, all other requests go to the
// target. Otherwise a request that an endpoint of the target has failed, and all requests while this proxy has no valid
// lease, go to the versions in force: the client's time is better spent on a version that is known. Of the rest, first
// attempts and retries alike, the step's share is drawn for the target, and in the load step short prompts may go to load
// probes. A request is drawn once, when it first asks for an endpoint after an attempt: drawing it again each time that
// it has waited would raise the share.
func (p *Picker) drawTarget(now time.Time, service *service, request *Request) (draw targetDraw, drawn bool) {
	r := p.rollouts.inProgress[service.name]
	if r == nil || len(r.target.endpoints) == 0 {
		return draw, false
	}
	draw.target = r.target
	switch {
	case request.Resumed:
		return draw, request.Version == r.info.Target
	case !service.hasAccepting():
		return draw, true // no version in force is left
	case p.hasTried(request, r.target) || !now.Before(r.leaseUntil):
		return draw, false
	}
	if share := p.shareOf(r); share >= 1 || !request.Waited && r.draws.next() < share {
		return draw, !r.breaker.isOpen(now)
	}
	draw.loadProbe = p.loadProbeFor(now, r, request)
	return draw, draw.loadProbe != nil
}

// hasTried reports whether an earlier attempt of the request went to an endpoint of the service.
func (p *Picker) hasTried(request *Request, target *service) bool {
	return slices.ContainsFunc(request.TriedEndpoints, func(id string) bool {
		e := p.endpoints[id]
		return e != nil && e.service == target
	})
}

// hasAccepting reports whether any endpoint of the service may get requests.
func (s *service) hasAccepting() bool {
	return slices.ContainsFunc(s.endpoints, func(e *endpoint) bool { return !e.excluded })
}

// pickFromTarget selects an endpoint of a roll-out's target for a request. It returns false if none is eligible now.
func (p *Picker) pickFromTarget(now time.Time, draw targetDraw, request *Request) (Choice, bool) {
	s := p.newSearch(now, draw.target, request)
	s.loadProbe = draw.loadProbe
	if draw.loadProbe != nil {
		p.prepareSearch(&s)
		p.considerEndpoint(&s, draw.loadProbe, false)
		return p.reserveBest(&s)
	}
	p.prepareSearch(&s)
	p.searchRegions(&s)
	return p.reserveBest(&s)
}

// reserveBest reserves the best endpoint that the search has found. It returns false if there is none.
func (p *Picker) reserveBest(s *candidateSearch) (Choice, bool) {
	if s.best.endpoint == nil {
		return Choice{}, false
	}
	return p.reserve(s), true
}
