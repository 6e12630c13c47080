package placement

import (
	"math"
	"slices"
	"time"

	"rowanlink/internal/mwcrand"
	"rowanlink/serving/state"
)

// While a roll-out is in transit, the endpoints of its target version are a service of their own to the picker, so that
// neither the owners of prefixes nor the subsets of the versions in force change. A request goes there by a draw with the
// share of the roll-out's step, if the proxy has a lease for the roll-out and its brake is open; if it finds no endpoint
// there, it goes to the versions in force.
const (
	// canaryShareOfBound is the share of the exposure that the bounds allow, in the canary step.
	canaryShareOfBound = 0.3
	// rampShareOfBound is the same in the ramp step, which is short.
	rampShareOfBound = 2.5
	maxRampShare     = 0.25
	// loadProbes is the number of the target's endpoints that are loaded in the load step, one after the other, up to
	// loadProbeShare of their slots, by requests with short prompts. With a single one, its own fault couldn't be told
	// from one of the version.
	loadProbes     = 2
	loadProbeShare = 0.6
	// loadProbeCalls bounds the calls that load one endpoint, in multiples of that load.
	loadProbeCalls = 2
	// minCanaries is the least number of the target's endpoints in a region that get requests: the fault of one of
	// them must not look like one of the version.
	minCanaries = 3
	// newVersionHold is how long the endpoints of a version that no roll-out names get nothing, if there are others: an
	// order for it may be on its way.
	newVersionHold = 10 * time.Second
)

// rollouts is what a picker knows of roll-outs.
type rollouts struct {
	incarnation uint64
	random      *mwcrand.Source
	known       map[string]state.Rollout     // the newest of each service, by name
	inTransit   map[string]*rolloutInTransit // by name of the service
	versions    map[string]versionTimes      // by name of the service
}

// versionTimes has the time when each software version of a service was first seen; the zero time for those that were
// there when the process started, or when it first saw the service.
type versionTimes struct {
	firstSeen map[string]time.Time
	// unestablished: all endpoints that accept requests are of versions that are held, so these get requests.
	unestablished bool
}

// rolloutInTransit is a roll-out that is under way.
type rolloutInTransit struct {
	info       state.Rollout
	target     *service // the endpoints of the target
	leaseUntil time.Time
	brake      rolloutBrake
	draws      splitSequence
	observed   rolloutObservations
	loadProbes []*endpoint // in the load step, those to be loaded, in their order
}

func newRollouts(seed uint64) rollouts {
	random := mwcrand.New(seed + 1)
	return rollouts{
		incarnation: seed | 1,
		random:      random,
		known:       map[string]state.Rollout{},
		inTransit:   map[string]*rolloutInTransit{},
		versions:    map[string]versionTimes{},
	}
}

// applyRollouts applies the roll-outs of a record and new leases.
func (p *Picker) applyRollouts(now time.Time, record *state.Record, leases []state.RolloutLease) {
	if record != nil {
		for _, info := range record.Rollouts {
			p.applyRollout(info)
		}
	}
	for _, r := range p.rollouts.inTransit {
		for _, lease := range leases {
			if lease.OrderRevision == r.info.OrderRevision {
				r.leaseUntil = now.Add(time.Duration(lease.Millis) * time.Millisecond)
			}
		}
	}
}

// applyRollout applies the newest state of a service's roll-out.
func (p *Picker) applyRollout(info state.Rollout) {
	p.rollouts.known[info.Service] = info
	r := p.rollouts.inTransit[info.Service]
	if r != nil && (r.info.OrderRevision != info.OrderRevision || info.State != state.RolloutInTransit) {
		delete(p.services, targetKey(&r.info))
		delete(p.rollouts.inTransit, info.Service)
		r = nil
	}
	if info.State != state.RolloutInTransit {
		return
	}
	if r == nil {
		r = &rolloutInTransit{
			target:   p.newTarget(&info),
			draws:    splitSequence{position: p.rollouts.random.Float64()},
			observed: newRolloutObservations(),
		}
		p.rollouts.inTransit[info.Service] = r
	}
	if r.info.Step != info.Step {
		r.brake.reset()
	}
	r.info = info
}

// newTarget returns the service of a roll-out's target. It begins with what is known of the versions in force.
func (p *Picker) newTarget(info *state.Rollout) *service {
	target := newService(info.Service)
	target.config = serviceConfig(p.routing, info.Service)
	target.updateConnectionLimit(p.proxyCount)
	if inForce := p.services[info.Service]; inForce != nil {
		target.responseModel = inForce.responseModel
	}
	p.services[targetKey(info)] = target
	return target
}

// targetKey is the key of a target among the picker's services. Names of services have no zero byte.
func targetKey(info *state.Rollout) string { return info.Service + "\x00" + info.Target }

// groupOf returns the service that an endpoint belongs to: that of the target of a roll-out in transit, or the one of
// its name.
func (p *Picker) groupOf(info *state.Endpoint) *service {
	r := p.rollouts.inTransit[info.Service]
	if r != nil && info.SoftwareVersion == r.info.Target {
		return r.target
	}
	return p.ensureService(info.Service)
}

// moveTo makes the endpoint one of another service.
func (e *endpoint) moveTo(to *service) {
	if e.service == to {
		return
	}
	e.service.ownersChanged = true
	to.ownersChanged = true
	e.service = to
}

// noteVersions notes when the versions of the endpoints were first seen.
func (p *Picker) noteVersions(now time.Time, all []state.Endpoint) {
	starting := now.Sub(p.options.StartedAt) < discoverySpan
	newServices := map[string]bool{}
	established := map[string]bool{}
	for index := range all {
		info := &all[index]
		times, found := p.rollouts.versions[info.Service]
		if !found {
			newServices[info.Service] = true
			times.firstSeen = map[string]time.Time{}
			p.rollouts.versions[info.Service] = times
		}
		if _, seen := times.firstSeen[info.SoftwareVersion]; !seen {
			times.firstSeen[info.SoftwareVersion] = now
			if starting || newServices[info.Service] {
				times.firstSeen[info.SoftwareVersion] = time.Time{}
			}
		}
		if info.State == state.EndpointAccepting && !p.isHeld(now, info) {
			established[info.Service] = true
		}
	}
	for name, times := range p.rollouts.versions {
		times.unestablished = !established[name]
		p.rollouts.versions[name] = times
	}
}

// isHeld reports whether an endpoint's version is so new that an order for it may not have arrived yet.
func (p *Picker) isHeld(now time.Time, info *state.Endpoint) bool {
	if known, found := p.rollouts.known[info.Service]; found && known.Target == info.SoftwareVersion {
		return false
	}
	firstSeen := p.rollouts.versions[info.Service].firstSeen[info.SoftwareVersion]
	return !firstSeen.IsZero() && now.Sub(firstSeen) < newVersionHold
}

// withholdsVersion reports whether endpoints of a version get nothing.
func (p *Picker) withholdsVersion(now time.Time, info *state.Endpoint) bool {
	if known, found := p.rollouts.known[info.Service]; found && known.IsRetired(info.SoftwareVersion) {
		return true
	}
	return p.isHeld(now, info) && !p.rollouts.versions[info.Service].unestablished
}

// selectCanaries excludes those endpoints of the targets that get nothing in the present step. All proxies choose the
// same ones, so that these are about as busy as the endpoints in force are.
func (p *Picker) selectCanaries() {
	for _, r := range p.rollouts.inTransit {
		r.loadProbes = r.loadProbes[:0]
		share := p.shareOf(r)
		if share >= 1 {
			continue
		}
		regions := r.rankedByRegion()
		r.selectLoadProbes(regions)
		least := minCanaries
		if r.info.Step == state.RolloutRamp {
			least = 1 // they are to be as busy as the endpoints in force
		}
		for _, candidates := range regions {
			count := max(least, int(share*float64(len(candidates))))
			for index, e := range candidates {
				e.excluded = index >= count && !e.isLoadProbe
			}
		}
		r.target.forgetOwners()
	}
}

// rankedByRegion returns the target's endpoints that may get requests, by region, each region's in the roll-out's order.
func (r *rolloutInTransit) rankedByRegion() map[string][]*endpoint {
	regions := map[string][]*endpoint{}
	for _, e := range r.target.endpoints {
		e.isLoadProbe = false
		if r.info.Step != state.RolloutLoad {
			e.loadProbeCalls = 0
		}
		if !e.excluded {
			regions[e.region] = append(regions[e.region], e)
		}
	}
	for _, candidates := range regions {
		slices.SortFunc(candidates, func(one, other *endpoint) int { return compareRanks(&r.info, one, other) })
	}
	return regions
}

// selectLoadProbes selects the endpoints to be loaded, the last ones of the region with the most endpoints.
func (r *rolloutInTransit) selectLoadProbes(regions map[string][]*endpoint) {
	if r.info.Step != state.RolloutLoad {
		return
	}
	var largest []*endpoint
	for _, candidates := range regions {
		larger := len(candidates) > len(largest)
		if larger || len(candidates) == len(largest) && len(largest) > 0 && candidates[0].region < largest[0].region {
			largest = candidates
		}
	}
	count := min(loadProbes, len(largest)/minCanaries)
	for _, e := range largest[len(largest)-count:] {
		e.isLoadProbe = true
		r.loadProbes = append(r.loadProbes, e)
	}
}

// isLoaded reports whether a load probe has as many requests as it is to get, by its own report, or this proxy's share of
// them (reports are some hundred milliseconds old), or whether it got its share of all that may load it.
func (p *Picker) isLoaded(now time.Time, e *endpoint) bool {
	limit := loadProbeShare * e.slots()
	proxies := float64(max(p.proxyCount, 1))
	if float64(e.inFlight) >= math.Ceil(limit/proxies) || float64(e.loadProbeCalls) >= math.Ceil(loadProbeCalls*limit/proxies) {
		return true
	}
	isKnown := !e.loadReportedAt.IsZero() && now.Sub(e.loadReportedAt) <= loadReportTTL
	return isKnown && float64(e.loadReport.Running+e.loadReport.Queued) >= limit
}

// drawLoadProbe returns the endpoint that is to be loaded by a request, nil for none.
func (p *Picker) drawLoadProbe(now time.Time, r *rolloutInTransit, request *Request) *endpoint {
	if request.Waited || r.target.hasEngine() && request.PromptTokens > smallPrompt {
		return nil
	}
	for _, e := range r.loadProbes {
		if !p.isLoaded(now, e) && e.health.failureRate == 0 {
			return e
		}
	}
	return nil
}

// compareRanks orders the endpoints of a target by a hash that differs between roll-outs.
func compareRanks(info *state.Rollout, one, other *endpoint) int {
	rankOne := mixHashes(info.OrderRevision, one.hash)
	rankOther := mixHashes(info.OrderRevision, other.hash)
	switch {
	case rankOne < rankOther:
		return -1
	case rankOne > rankOther:
		return 1
	default:
		return 0
	}
}

// shareOf returns the share of the service's requests that the target gets in the present step.
func (p *Picker) shareOf(r *rolloutInTransit) float64 {
	bound := p.options.Bounds.ExposureShare
	switch r.info.Step {
	case state.RolloutCanary, state.RolloutLoad:
		return canaryShareOfBound * bound
	case state.RolloutRamp:
		return min(rampShareOfBound*bound, maxRampShare)
	default:
		return 1
	}
}

// targetDraw is the result of the draw for a request: the service of a target, and the one endpoint of it that is to be
// loaded; nil: any of the canaries.
type targetDraw struct {
	target    *service
	loadProbe *endpoint
}

// drawTarget returns the target of a roll-out in transit if the request is to go there. Retries go to the versions in
// force.
func (p *Picker) drawTarget(now time.Time, service *service, request *Request) (draw targetDraw, drawn bool) {
	r := p.rollouts.inTransit[service.name]
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
		return draw, !r.brake.isClosed(now)
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

// pinnedVersion returns the software version that the request must go to; empty: any.
func (p *Picker) pinnedVersion(request *Request, service string) string {
	if _, hadRollout := p.rollouts.known[service]; !hadRollout || !request.Resumed {
		return ""
	}
	return request.Version
}
