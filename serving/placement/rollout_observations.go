package placement

import (
	"slices"
	"time"

	"rowanlink/serving/attempt"
	"rowanlink/serving/state"
)

const (
	// An answer is slow if its first byte takes longer than slowFactor times the time expected of the versions in force,
	// plus slowSlack. For a service with an engine engineSlowSlack is added instead, since the request may have queued
	// behind prompts of other proxies.
	slowFactor      = 4
	slowSlack       = 100 * time.Millisecond
	engineSlowSlack = 300 * time.Millisecond
)

// rolloutObservations holds this proxy's counts of a service's answers since it first knew of a roll-out. An answer is
// a response that has begun, or an attempt that failed, broke or timed out before its response began. Time-outs count
// only where times are compared (see comparesTimes) and, like broken calls, not for load probes. An answer is bad if it
// failed or is slow.
type rolloutObservations struct {
	sequence  uint64                        // of the last report
	routes    map[string]*state.RouteCounts // by name; "" for all routes beyond state.MaxReportedRoutes
	endpoints []state.EndpointCounts        // of the target
	hasNewBad bool                          // the target has given bad answers since the last report
	openings  []BreakerOpening              // not yet taken
}

func newRolloutObservations() rolloutObservations {
	return rolloutObservations{routes: map[string]*state.RouteCounts{}}
}

// countsOf returns the counts of a call's route, for the target or for the versions in force (the baseline). It creates
// them if there are none.
func (o *rolloutObservations) countsOf(c *call, isTarget bool) *state.AnswerCounts {
	route := c.route
	counts := o.routes[route]
	if counts == nil && len(o.routes) >= state.MaxReportedRoutes {
		route = ""
		counts = o.routes[route]
	}
	if counts == nil {
		counts = &state.RouteCounts{Route: route}
		o.routes[route] = counts
	}
	if isTarget {
		return &counts.Target
	}
	return &counts.Baseline
}

// endpointCountsOf returns the counts of the target's endpoint that a call went to, and creates them if there are none.
// Calls to load probes are counted separately. The result is nil for endpoints beyond state.MaxReportedEndpoints.
func (o *rolloutObservations) endpointCountsOf(c *call) *state.EndpointCounts {
	id := c.endpoint.info.ID
	for index := range o.endpoints {
		if o.endpoints[index].ID == id && o.endpoints[index].LoadProbe == c.isLoadProbe {
			return &o.endpoints[index]
		}
	}
	if len(o.endpoints) >= state.MaxReportedEndpoints {
		return nil
	}
	o.endpoints = append(o.endpoints, state.EndpointCounts{ID: id, LoadProbe: c.isLoadProbe})
	return &o.endpoints[len(o.endpoints)-1]
}

// addAnswer counts an answer of an endpoint of the target.
func (o *rolloutObservations) addAnswer(c *call) {
	if counts := o.endpointCountsOf(c); counts != nil {
		counts.Answers++
	}
}

// addBad counts a bad answer of an endpoint of the target.
func (o *rolloutObservations) addBad(c *call) {
	o.hasNewBad = true
	if counts := o.endpointCountsOf(c); counts != nil {
		counts.Bad++
	}
}

// forCall returns the roll-out in progress for which a call's answer is counted, and whether the call went to the
// target. It returns nil if the service has no such roll-out, or if the target has no endpoints to compare yet.
func (r *rollouts) forCall(c *call) (found *rolloutInProgress, isTarget bool) {
	found = r.inProgress[c.endpoint.service.name]
	if found == nil || len(found.target.endpoints) == 0 {
		return nil, false
	}
	return found, c.endpoint.service == found.target
}

// recordFirstByte counts an answer when its first byte arrives. It also counts the answer as slow if the first byte
// took longer than slowFirstByte.
func (r *rollouts) recordFirstByte(now time.Time, p *Picker, c *call) {
	found, isTarget := r.forCall(c)
	if found == nil {
		return
	}
	counts := found.observed.countsOf(c, isTarget)
	found.addAnswer(c, counts, isTarget)
	if c.isLoadProbe || p.isWarmingUp(now, c.endpoint) || !found.comparesTimes() {
		return // the answer may be slow for reasons other than the version
	}
	counts.Timed++
	if now.Sub(c.sentAt) > p.ensureService(c.endpoint.service.name).slowFirstByte(c) {
		found.recordSlow(c, counts, isTarget)
	}
}

// comparesTimes reports whether the times of answers are compared in the present step. They aren't in the full step of
// a service with an engine: there all requests have moved to endpoints with empty caches, which makes answers slow.
func (r *rolloutInProgress) comparesTimes() bool {
	return r.info.Step != state.RolloutFull || !r.target.hasEngine()
}

// addAnswer counts an answer, in the counts of its route and, if it came from the target, of its endpoint.
func (r *rolloutInProgress) addAnswer(c *call, counts *state.AnswerCounts, isTarget bool) {
	counts.Answers++
	if isTarget {
		r.observed.addAnswer(c)
	}
}

// recordSlow counts a slow answer, in the counts of its route and, if it came from the target, of its endpoint.
func (r *rolloutInProgress) recordSlow(c *call, counts *state.AnswerCounts, isTarget bool) {
	counts.Slow++
	if isTarget {
		r.observed.addBad(c)
	}
}

// recordOutcome counts an answer whose call has ended badly, and updates the breaker. Rejected calls aren't answers.
func (r *rollouts) recordOutcome(now time.Time, c *call, outcome attempt.Outcome) {
	found, isTarget := r.forCall(c)
	if found == nil {
		return
	}
	switch outcome {
	case attempt.Succeeded:
		if isTarget && !c.isLoadProbe {
			found.breaker.recordSuccess()
		}
	case attempt.Failed, attempt.Broken:
		if c.isLoadProbe && outcome == attempt.Broken {
			return // when an endpoint terminates, all the calls that put load on it break at once
		}
		counts := found.observed.countsOf(c, isTarget)
		if !c.gotFirstByte {
			found.addAnswer(c, counts, isTarget)
		}
		counts.Failed++
		if isTarget {
			found.recordTargetFailure(now, c)
		}
	case attempt.TimedOut:
		counts := found.observed.countsOf(c, isTarget)
		if !c.gotFirstByte && !c.isLoadProbe && found.comparesTimes() {
			found.addAnswer(c, counts, isTarget)
			counts.Timed++
			found.recordSlow(c, counts, isTarget)
		}
	}
}

// recordTargetFailure counts a failed answer of the target and updates the breaker.
func (r *rolloutInProgress) recordTargetFailure(now time.Time, c *call) {
	r.observed.addBad(c)
	if c.isLoadProbe {
		return // loadProbeFor selects no endpoint with failures, so the breaker isn't needed
	}
	threshold := 1
	if r.info.Step == state.RolloutFull {
		threshold = fullStepFailures
	}
	if r.breaker.recordFailure(now, threshold) {
		r.observed.openings = append(r.observed.openings, BreakerOpening{
			Service: r.info.Service,
			Target:  r.info.Target,
			Step:    r.info.Step,
			OpenFor: r.breaker.openUntil.Sub(now),
		})
	}
}

// BreakerOpening describes one opening of this proxy's circuit breaker for the target of a roll-out.
type BreakerOpening struct {
	Service string
	Target  string
	Step    state.RolloutStep
	OpenFor time.Duration
}

// TakeBreakerOpenings returns the breaker openings since the last call.
func (p *Picker) TakeBreakerOpenings() (openings []BreakerOpening) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, r := range p.rollouts.inProgress {
		openings = append(openings, r.observed.openings...)
		r.observed.openings = nil
	}
	return openings
}

// slowFirstByte returns the time to first byte above which a call's answer is slow.
func (s *service) slowFirstByte(c *call) time.Duration {
	if s.hasEngine() {
		return slowFactor*s.expectedFirstByte(c) + engineSlowSlack
	}
	return slowFactor*s.expectedFirstByte(c) + slowSlack
}

// expectedFirstByte returns the time to first byte of a call according to the service's response model. Of the requests
// in the endpoint's queue it includes only those of this proxy.
func (s *service) expectedFirstByte(c *call) time.Duration {
	if s.hasEngine() {
		return c.pathLatency + s.baseLatency + s.prefillTime(c.uncachedTokens+c.tokensAhead)
	}
	return c.pathLatency + time.Duration(s.callMillis*float64(time.Millisecond))
}

// hasNewBadAnswers reports whether any target has given bad answers since the last report.
func (r *rollouts) hasNewBadAnswers() bool {
	for _, found := range r.inProgress {
		if found.observed.hasNewBad {
			return true
		}
	}
	return false
}

// RolloutReports returns what this proxy has observed of the roll-outs in progress.
func (p *Picker) RolloutReports() (reports []state.RolloutReport) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for name, r := range p.rollouts.inProgress {
		r.observed.sequence++
		r.observed.hasNewBad = false
		report := state.RolloutReport{
			OrderRevision: r.info.OrderRevision,
			Incarnation:   p.rollouts.incarnation,
			Sequence:      r.observed.sequence,
			Endpoints:     slices.Clone(r.observed.endpoints),
		}
		for _, counts := range r.observed.routes {
			report.Routes = append(report.Routes, *counts)
		}
		if baseline := p.services[name]; baseline != nil {
			for _, e := range baseline.endpoints {
				report.BaselineInFlight += e.inFlight
			}
		}
		reports = append(reports, report)
	}
	return reports
}
