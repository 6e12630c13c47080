package placement

import (
	"slices"
	"time"
)

// targetDraw is the result of the draw for a request: the service of a target, and the one endpoint of it that is to be
// loaded; nil: any of the canaries.
type targetDraw struct {
	target    *service
	loadProbe *endpoint
}

// drawTarget returns the target of a roll-out in progress if the request is to go there. Retries go to the versions in
// force.
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
	case len(request.TriedEndpoints) > 0 || !now.Before(r.leaseUntil):
		return draw, false
	}
	if share := p.shareOf(r); share >= 1 || !request.Waited && r.draws.next() < share {
		return draw, !r.breaker.isOpen(now)
	}
	draw.loadProbe = p.drawLoadProbe(now, r, request)
	return draw, draw.loadProbe != nil
}

// hasAccepting reports whether some endpoint may get requests.
func (s *service) hasAccepting() bool {
	return slices.ContainsFunc(s.endpoints, func(e *endpoint) bool { return !e.excluded })
}

// pickOfTarget selects an endpoint of a roll-out's target for a request. It returns false if none is eligible now.
func (p *Picker) pickOfTarget(now time.Time, draw targetDraw, request *Request) (Choice, bool) {
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

// reserveBest reserves the endpoint that a search has found. It returns false if there is none that is fast enough.
func (p *Picker) reserveBest(s *candidateSearch) (Choice, bool) {
	if s.best.endpoint == nil || s.best.queueDelay > s.request.TimeLeft {
		return Choice{}, false
	}
	return p.reserve(s), true
}
