package placement

import (
	"slices"
	"time"

	"rowanlink/serving/attempt"
	"rowanlink/serving/state"
)

const (
	// An answer is slow if its first byte takes slowFactor times the time that the versions in force would need, and
	// slowSlack more, or engineSlowSlack where it may have been behind prompts of other proxies.
	slowFactor      = 4
	slowSlack       = 100 * time.Millisecond
	engineSlowSlack = 300 * time.Millisecond
)

// rolloutObservations are this proxy's counts of a service's answers since it knows of a roll-out.
type rolloutObservations struct {
	sequence  uint64
	routes    map[string]*state.RouteCounts // by name; "" for those beyond the limit
	endpoints []state.EndpointCounts
	hasNewBad bool // bad answers of the target that weren't reported yet
	openings  []BreakerOpening
}

func newRolloutObservations() rolloutObservations {
	return rolloutObservations{routes: map[string]*state.RouteCounts{}}
}

// countsOf returns the counts of a call's route and side.
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

// endpointOf returns the counts of the endpoint of the target that a call went to, apart for calls that load it on purpose;
// nil for those beyond the limit.
func (o *rolloutObservations) endpointOf(c *call) *state.EndpointCounts {
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

// addAnswer notes that an endpoint of the target answered.
func (o *rolloutObservations) addAnswer(c *call) {
	if counts := o.endpointOf(c); counts != nil {
		counts.Answers++
	}
}

// addBad notes that an endpoint of the target gave a bad answer.
func (o *rolloutObservations) addBad(c *call) {
	o.hasNewBad = true
	if counts := o.endpointOf(c); counts != nil {
		counts.Bad++
	}
}

// of returns the roll-out in progress that a call's answer is counted for, nil if there is none, and whether the answer
// is one of the target. Before the target has endpoints there is nothing to compare.
func (r *rollouts) of(c *call) (found *rolloutInProgress, isTarget bool) {
	found = r.inProgress[c.endpoint.service.name]
	if found == nil || len(found.target.endpoints) == 0 {
		return nil, false
	}
	return found, c.endpoint.service == found.target
}

// recordFirstByte counts an answer that has begun.
func (r *rollouts) recordFirstByte(now time.Time, p *Picker, c *call) {
	found, isTarget := r.of(c)
	if found == nil {
		return
	}
	counts := found.observed.countsOf(c, isTarget)
	found.addAnswer(c, counts, isTarget)
	if c.isLoadProbe || p.isWarmingUp(now, c.endpoint) || !found.comparesTimes() {
		return // the endpoint is slow by itself
	}
	counts.Timed++
	if now.Sub(c.sentAt) > p.ensureService(c.endpoint.service.name).slowFirstByte(c) {
		found.recordSlow(c, counts, isTarget)
	}
}

// comparesTimes reports whether the times of answers can be compared in the present step. When all requests have gone
// over to engines with empty caches, they are slow for that reason.
func (r *rolloutInProgress) comparesTimes() bool {
	return r.info.Step != state.RolloutFull || !r.target.hasEngine()
}

// addAnswer counts an answer.
func (r *rolloutInProgress) addAnswer(c *call, counts *state.AnswerCounts, isTarget bool) {
	counts.Answers++
	if isTarget {
		r.observed.addAnswer(c)
	}
}

// recordSlow counts a slow answer.
func (r *rolloutInProgress) recordSlow(c *call, counts *state.AnswerCounts, isTarget bool) {
	counts.Slow++
	if isTarget {
		r.observed.addBad(c)
	}
}

// recordOutcome counts how an answer has ended.
func (r *rollouts) recordOutcome(now time.Time, c *call, outcome attempt.Outcome) {
	found, isTarget := r.of(c)
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
			return // when an endpoint ends, all that loaded it breaks off at once
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

// recordTargetFailure notes a failed answer of the target.
func (r *rolloutInProgress) recordTargetFailure(now time.Time, c *call) {
	r.observed.addBad(c)
	if c.isLoadProbe {
		return // the endpoint's failure rate keeps this proxy from loading it further
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

// BreakerOpening says that this proxy's breaker has opened.
type BreakerOpening struct {
	Service string
	Target  string
	Step    state.RolloutStep
	OpenFor time.Duration
}

// TakeBreakerOpenings returns the openings of breakers since the last call.
func (p *Picker) TakeBreakerOpenings() (openings []BreakerOpening) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, r := range p.rollouts.inProgress {
		openings = append(openings, r.observed.openings...)
		r.observed.openings = nil
	}
	return openings
}

// slowFirstByte returns the time to the first byte beyond which a call's answer is slow.
func (s *service) slowFirstByte(c *call) time.Duration {
	if s.hasEngine() {
		return slowFactor*s.expectedFirstByte(c) + engineSlowSlack
	}
	return slowFactor*s.expectedFirstByte(c) + slowSlack
}

// expectedFirstByte returns the time to the first byte of a call's answer by what is known of the service, without
// other requests in the endpoint's queue but those of this proxy.
func (s *service) expectedFirstByte(c *call) time.Duration {
	if s.hasEngine() {
		return c.pathLatency + s.baseLatency + s.prefillTime(c.uncachedTokens+c.tokensAhead)
	}
	return c.pathLatency + time.Duration(s.callMillis*float64(time.Millisecond))
}

// hasNewBadAnswers reports whether answers of a target were bad that no report has counted yet.
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
		if inForce := p.services[name]; inForce != nil {
			for _, e := range inForce.endpoints {
				report.BaselineInFlight += e.inFlight
			}
		}
		reports = append(reports, report)
	}
	return reports
}
