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
	// falseAlarmRate bounds the probability that a version that is as good as those in force is stopped at any one
	// return of the sum to zero (Wald's bound).
	falseAlarmRate = 1e-4
	// baselineFactor and the least shares leave room for the baseline's error and for single faults.
	baselineFactor   = 1.5
	minFailureShare  = 0.015
	minSlowShare     = 0.06
	maxToleratedPart = 0.5 // beyond that share at the baseline nothing can be told apart
	// priorAnswers is the number of good answers that the baseline's share begins with.
	priorAnswers = 20
	// requiredBadEndpoints is the number of the target's endpoints that must have given bad answers: the fault of a
	// single endpoint is not one of the version. In the load step only two endpoints are loaded.
	requiredBadEndpoints = 3
	requiredBadProbes    = 2
)

// suspicionShare is the share of alarmThreshold from which a roll-out isn't advanced.
const suspicionShare = 0.4

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

// suspicious reports whether the next step has to wait for more answers.
func (c *cusum) suspicious() bool { return c.sum >= suspicionShare*alarmThreshold }

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
	tolerated := toleratedShare(r.baseline.Failed, r.baseline.Answers, minFailureShare)
	r.failures.add(max(target.Answers-target.Failed, 0), max(target.Failed, 0), tolerated, failureDegradation)
	tolerated = toleratedShare(r.baseline.Slow, r.baseline.Timed, minSlowShare)
	r.slow.add(max(target.Timed-target.Slow, 0), max(target.Slow, 0), tolerated, slowDegradation)
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
	routes       map[string]*routeEvidence // by name; allRoutes for all together
	badEndpoints map[string]bool           // by ID
	reports      map[string]state.RolloutReport
}

func newEvidence() *evidence {
	return &evidence{
		routes:       map[string]*routeEvidence{},
		badEndpoints: map[string]bool{},
		reports:      map[string]state.RolloutReport{},
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
	for _, id := range report.BadEndpoints {
		e.badEndpoints[id] = true
	}
	before := map[string]state.RouteCounts{}
	if last.Incarnation == report.Incarnation {
		for _, counts := range last.Routes {
			before[counts.Route] = counts
		}
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
// routes if it doesn't. requiredEndpoints is the number of the target's endpoints that must have given bad answers.
func (e *evidence) verdict(requiredEndpoints int) state.RolloutVerdict {
	all := e.route(allRoutes)
	if len(e.badEndpoints) >= requiredEndpoints {
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

// suspicion returns the reason for which a roll-out isn't advanced for now; RolloutNotReturned if there is none.
func (e *evidence) suspicion() state.RolloutReason {
	for _, found := range e.routes {
		switch {
		case found.failures.suspicious():
			return state.RolloutFailures
		case found.slow.suspicious():
			return state.RolloutSlow
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
