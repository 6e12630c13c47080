package placement

import (
	"slices"
	"time"
)

// checkEligibility reports whether a request may go to an endpoint now. If not, retryIn is the time after which it may
// (unknownDelay if none is expected).
func (p *Picker) checkEligibility(s *candidateSearch, e *endpoint) (retryIn time.Duration, eligible bool) {
	if !s.isUsable(e) {
		return unknownDelay, false
	}
	if backoff := e.health.backoffUntil.Sub(s.now); backoff > 0 {
		return backoff, false
	}
	probing := e.health.isEjected() && !e.service.majorityEjected
	if probing && e.health.probe != nil {
		return p.jitter(slotPollInterval), false
	}
	if e.inFlight >= e.concurrencyLimit(s.now) {
		s.sawFullWindow = true
		return p.jitter(slotPollInterval), false
	}
	delay, allowed := p.warmupDelay(s.now, e)
	if !allowed {
		return unknownDelay, false
	}
	return delay, delay == 0
}

// isUsable reports whether the request may go to the endpoint at all, now or later. A retry goes to an endpoint that has
// not failed it yet as long as there is one: an endpoint that has failed a request once often fails it again, and the
// client's time is spent.
func (s *candidateSearch) isUsable(e *endpoint) bool {
	if e.excluded || !s.allowsRegion(e.region) || !s.allowsVersion(e) || e.isLoadProbe != (e == s.loadProbe) {
		return false
	}
	if s.modelServed && !e.servesModel(s.request.Model) {
		return false
	}
	return !s.hasUntried || !slices.Contains(s.request.TriedEndpoints, e.info.ID)
}

// allowsRegion reports whether the route may be served in a region. A route with home regions is never served outside
// of them, even if they have no usable endpoint.
func (s *candidateSearch) allowsRegion(region string) bool {
	homes := s.request.Route.HomeRegions
	return len(homes) == 0 || slices.Contains(homes, region)
}

// isUntried reports whether the endpoint could serve the request and has not been tried for it.
func (s *candidateSearch) isUntried(e *endpoint) bool {
	return !e.excluded && s.allowsRegion(e.region) && s.allowsVersion(e) &&
		!slices.Contains(s.request.TriedEndpoints, e.info.ID)
}

// lacksPinnedVersion reports whether the request resumes a stream on a software version that has no endpoint left.
func (s *candidateSearch) lacksPinnedVersion() bool {
	mayResume := func(e *endpoint) bool { return !e.excluded && s.allowsVersion(e) }
	return s.pinnedVersion != "" && !slices.ContainsFunc(s.service.endpoints, mayResume)
}

// allowsVersion reports whether the request may go to an endpoint's software version.
func (s *candidateSearch) allowsVersion(e *endpoint) bool {
	return s.pinnedVersion == "" || e.info.SoftwareVersion == s.pinnedVersion
}

// servesModel reports whether the endpoint has announced the request's model.
func (s *candidateSearch) servesModel(e *endpoint) bool { return e.servesModel(s.request.Model) }

// servesModel reports whether the endpoint has announced the model.
func (e *endpoint) servesModel(model string) bool {
	for index := range e.info.Models {
		if e.info.Models[index].Name == model {
			return true
		}
	}
	return false
}
