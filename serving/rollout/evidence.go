package rollout

import (
	"math"

	"rowanlink/serving/state"
)

// The sequential test is a cumulative sum of log-likelihood ratios (CUSUM; Page, "Continuous inspection schemes", 1954)
// of two hypotheses on the share of the target's answers that are bad: at most a little more than at the versions in
// force in the same time, or that and a degradation more. It never falls below zero, so that answers that were good
// before don't hide that later ones are bad. The test stops at alarmThreshold.
const (
	// failureDegradation and slowDegradation are the additional shares of bad answers that the tests are designed to
	// find.
	failureDegradation = 0.12
	slowDegradation    = 0.25
	probeDegradation   = 0.08 // of endpoints that are loaded on purpose
	// falseAlarmRate bounds the probability that a version that is as good as those in force is stopped at any one
	// return of the sum to zero (Wald's bound).
	falseAlarmRate = 1e-4
	// baselineFactor and the least shares leave room for the baseline's error and for single faults.
	baselineFactor   = 1.5
	minFailureShare  = 0.005
	minSlowShare     = 0.06
	maxToleratedPart = 0.5 // beyond that share at the baseline nothing can be told apart
	// priorAnswers is the number of good answers that the baseline's share begins with.
	priorAnswers = 20
	// requiredBadEndpoints is the number of the target's endpoints that must have given bad answers, and
	// requiredBadShare their share of those with testedAnswers answers at least: the fault of a few endpoints is not one
	// of the version. Of endpoints that are loaded on purpose requiredBadProbes suffice, or a single one where hardly
	// any answer of the versions in force fails.
	requiredBadEndpoints = 3
	requiredBadShare     = 0.4
	requiredBadProbes    = 2
	calmFailureShare     = 0.005 // of the baseline's answers, up to which a single such endpoint suffices
	testedAnswers        = 4
)

// Shares of alarmThreshold from which a roll-out isn't advanced: at first, and when there is little time left to wait for
// more answers.
const (
	suspicionShare     = 0.4
	lateSuspicionShare = 0.75
)

// alarmThreshold is the sum at which the test stops.
var alarmThreshold = -math.Log(falseAlarmRate)

// cusum is the sum of one test.
type cusum struct{ sum float64 }

// add adds answers to the test. good and bad are answers of the target; toleratedShare is the share of bad ones under
// the hypothesis that the target is as good as the baseline.
func (c *cusum) add(good, bad int, toleratedShare, degradation float64) {
	degraded := min(toleratedShare+degradation, 1-toleratedShare/2)
	perBad := math.Log(degraded / toleratedShare)
	perGood := math.Log((1 - degraded) / (1 - toleratedShare))
	c.sum = max(0, c.sum+float64(bad)*perBad+float64(good)*perGood)
}

// suspicious reports whether the sum is at least a share of the threshold.
func (c *cusum) suspicious(share float64) bool { return c.sum >= share*alarmThreshold }

// alarmed reports whether the test has found that the target is worse.
func (c *cusum) alarmed() bool { return c.sum >= alarmThreshold }

// toleratedShare returns the share of bad answers that the target may have, by the counts of the baseline.
func toleratedShare(bad, answers int, least float64) float64 {
	measured := float64(bad) / float64(answers+priorAnswers)
	return min(max(baselineFactor*measured, least), maxToleratedPart)
}

// routeEvidence is what the answers on one route have shown, or those on all routes together.
type routeEvidence struct {
	target, baseline state.AnswerCounts
	failures, slow   cusum
}

// add adds the counts that have come since the last report.
func (r *routeEvidence) add(target, baseline state.AnswerCounts) {
	r.target = r.target.Add(target)
	r.baseline = r.baseline.Add(baseline)
	r.failures.add(max(target.Answers-target.Failed, 0), max(target.Failed, 0), r.toleratedFailures(), failureDegradation)
	r.slow.add(max(target.Timed-target.Slow, 0), max(target.Slow, 0), r.toleratedSlow(), slowDegradation)
}

func (r *routeEvidence) toleratedFailures() float64 {
	return toleratedShare(r.baseline.Failed, r.baseline.Answers, minFailureShare)
}

func (r *routeEvidence) toleratedSlow() float64 {
	return toleratedShare(r.baseline.Slow, r.baseline.Timed, minSlowShare)
}

// suspicion returns the reason for which the next step has to wait for more answers: the sum is high, and all answers
// together are nearer to a degraded version than to the baseline. It returns RolloutNotReturned if there is none.
func (r *routeEvidence) suspicion(share float64) state.RolloutReason {
	failed := float64(r.target.Failed) > float64(r.target.Answers)*(r.toleratedFailures()+failureDegradation/2)
	late := float64(r.target.Slow) > float64(r.target.Timed)*(r.toleratedSlow()+slowDegradation/2)
	switch {
	case failed && r.failures.suspicious(share):
		return state.RolloutFailures
	case late && r.slow.suspicious(share):
		return state.RolloutSlow
	default:
		return state.RolloutNotReturned
	}
}

// reason returns why the target counts as worse; RolloutNotReturned if it doesn't.
func (r *routeEvidence) reason() state.RolloutReason {
	switch {
	case r.failures.alarmed():
		return state.RolloutFailures
	case r.slow.alarmed():
		return state.RolloutSlow
	default:
		return state.RolloutNotReturned
	}
}

// allRoutes is the key of the evidence of all routes together.
const allRoutes = ""

// evidence sums up the reports of all proxies on one roll-out.
type evidence struct {
	routes    map[string]*routeEvidence // by name; allRoutes for all together
	probes    probeEvidence
	endpoints map[endpointKey]*state.EndpointCounts // of the target
	reports   map[string]state.RolloutReport        // the newest of each proxy, by observer
}

func newEvidence() *evidence {
	return &evidence{
		routes:    map[string]*routeEvidence{},
		endpoints: map[endpointKey]*state.EndpointCounts{},
		reports:   map[string]state.RolloutReport{},
	}
}

// add takes a proxy's report in place of its last one. Reports that are older than that change nothing. The counts of a
// former process of the proxy remain.
func (e *evidence) add(observer string, report state.RolloutReport) {
	last := e.reports[observer]
	if last.Incarnation == report.Incarnation && report.Sequence <= last.Sequence {
		return
	}
	e.reports[observer] = report
	if last.Incarnation != report.Incarnation {
		last = state.RolloutReport{}
	}
	before := map[string]state.RouteCounts{}
	for _, counts := range last.Routes {
		before[counts.Route] = counts
	}
	var target, baseline state.AnswerCounts
	for _, counts := range report.Routes {
		newTarget := counts.Target.Sub(before[counts.Route].Target)
		newBaseline := counts.Baseline.Sub(before[counts.Route].Baseline)
		target = target.Add(newTarget)
		baseline = baseline.Add(newBaseline)
		if counts.Route != allRoutes {
			e.route(counts.Route).add(newTarget, newBaseline)
		}
	}
	e.route(allRoutes).add(target, baseline)
	e.addEndpoints(last.Endpoints, report.Endpoints)
}

// endpointKey identifies counts of an endpoint.
type endpointKey struct {
	id        string
	loadProbe bool
}

func keyOf(counts state.EndpointCounts) endpointKey {
	return endpointKey{id: counts.ID, loadProbe: counts.LoadProbe}
}

// addEndpoints adds what a proxy's counts of endpoints have grown by.
func (e *evidence) addEndpoints(before, after []state.EndpointCounts) {
	for _, counts := range after {
		known := e.endpoints[keyOf(counts)]
		if known == nil {
			known = &state.EndpointCounts{ID: counts.ID, LoadProbe: counts.LoadProbe}
			e.endpoints[keyOf(counts)] = known
		}
		known.Answers += counts.Answers
		known.Bad += counts.Bad
	}
	for _, counts := range before {
		known := e.endpoints[keyOf(counts)]
		known.Answers -= counts.Answers
		known.Bad -= counts.Bad
	}
	e.probes.add(probeCounts(after).Sub(probeCounts(before)), e.route(allRoutes).toleratedFailures())
}

// probeCounts sums up the counts of the endpoints that were loaded on purpose.
func probeCounts(endpoints []state.EndpointCounts) (sum state.AnswerCounts) {
	for _, counts := range endpoints {
		if counts.LoadProbe {
			sum.Answers += counts.Answers
			sum.Failed += counts.Bad
		}
	}
	return sum
}

// probeEvidence is what the endpoints that are loaded on purpose have shown. A version may fail there only while as many
// requests as it has to bear run at once, so a smaller share of failures counts.
type probeEvidence struct {
	counts   state.AnswerCounts
	failures cusum
}

func (p *probeEvidence) add(counts state.AnswerCounts, tolerated float64) {
	p.counts = p.counts.Add(counts)
	p.failures.add(max(counts.Answers-counts.Failed, 0), max(counts.Failed, 0), tolerated, probeDegradation)
}

// Spread counts the target's endpoints by what their answers were like.
type Spread struct {
	Bad       int // endpoints with bad answers, but those that were loaded on purpose
	Tested    int // endpoints with testedAnswers answers at least, but those
	TestedBad int // of these, endpoints with bad answers
	BadProbes int // endpoints that were loaded on purpose, with bad answers
}

// spread counts the target's endpoints.
func (e *evidence) spread() (s Spread) {
	for _, counts := range e.endpoints {
		isBad := count(counts.Bad > 0)
		if counts.LoadProbe {
			s.BadProbes += isBad
			continue
		}
		s.Bad += isBad
		if counts.Answers >= testedAnswers {
			s.Tested++
			s.TestedBad += isBad
		}
	}
	return s
}

// isOfVersion reports whether so many of the target's endpoints gave bad answers that the fault is one of the version.
// live is the number of the target's endpoints.
func (s *Spread) isOfVersion(live int) bool {
	return s.Bad >= min(requiredBadEndpoints, max(live, 1)) && float64(s.TestedBad) >= requiredBadShare*float64(s.Tested)
}

// isOfProbes reports whether so many of the endpoints that were loaded on purpose gave bad answers that the fault is one
// of the version. baseline are the counts of the versions in force.
func (s *Spread) isOfProbes(live int, baseline state.AnswerCounts) bool {
	required := requiredBadProbes
	if float64(baseline.Failed) <= calmFailureShare*float64(baseline.Answers) {
		required = 1
	}
	return s.BadProbes >= min(required, max(live, 1))
}

// count returns 1 if the condition holds.
func count(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

func (e *evidence) route(name string) *routeEvidence {
	known := e.routes[name]
	if known == nil {
		known = &routeEvidence{}
		e.routes[name] = known
	}
	return known
}

// verdict returns why the target counts as worse than the baseline, with the counts that show it, or the counts of all
// routes if it doesn't. live is the number of the target's endpoints.
func (e *evidence) verdict(live int) state.RolloutVerdict {
	all := e.route(allRoutes)
	spread := e.spread()
	if spread.isOfProbes(live, all.baseline) && e.probes.failures.alarmed() {
		return state.RolloutVerdict{Reason: state.RolloutFailures, Target: e.probes.counts, Baseline: all.baseline}
	}
	if spread.isOfVersion(live) {
		if reason := all.reason(); reason != state.RolloutNotReturned {
			return state.RolloutVerdict{Reason: reason, Target: all.target, Baseline: all.baseline}
		}
		for name, found := range e.routes {
			if reason := found.reason(); reason != state.RolloutNotReturned {
				return state.RolloutVerdict{
					Reason: reason, Route: name, Target: found.target, Baseline: found.baseline,
				}
			}
		}
	}
	return state.RolloutVerdict{Target: all.target, Baseline: all.baseline}
}

// suspicion returns the reason for which a roll-out isn't advanced for now; RolloutNotReturned if there is none. share is
// that of the test's threshold which is needed for it.
func (e *evidence) suspicion(share float64) state.RolloutReason {
	if e.probes.failures.suspicious(share) {
		return state.RolloutFailures
	}
	for _, found := range e.routes {
		if reason := found.suspicion(share); reason != state.RolloutNotReturned {
			return reason
		}
	}
	return state.RolloutNotReturned
}

// baselineInFlight returns the number of calls at endpoints of the versions in force.
func (e *evidence) baselineInFlight() (calls int) {
	for _, report := range e.reports {
		calls += report.BaselineInFlight
	}
	return calls
}
