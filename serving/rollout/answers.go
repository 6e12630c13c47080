package rollout

import (
	"rowanlink/serving/state"
)

// routeEvidence holds the counts of answers on one route, or on all routes together, and the tests on them.
type routeEvidence struct {
	target, baseline state.AnswerCounts
	failures, slow   cusum
}

// add adds the answers that were counted since the last report.
func (r *routeEvidence) add(target, baseline state.AnswerCounts) {
	r.target = r.target.Add(target)
	r.baseline = r.baseline.Add(baseline)
	r.failures.add(max(target.Answers-target.Failed, 0), max(target.Failed, 0), r.toleratedFailures(), failureDegradation)
	r.slow.add(max(target.Timed-target.Slow, 0), max(target.Slow, 0), r.toleratedSlow(), slowDegradation)
}

// toleratedFailures returns the share of failed answers that the target may have.
func (r *routeEvidence) toleratedFailures() float64 {
	return toleratedShare(r.baseline.Failed, r.baseline.Answers, minFailureShare)
}

// toleratedSlow returns the share of slow answers that the target may have.
func (r *routeEvidence) toleratedSlow() float64 {
	return toleratedShare(r.baseline.Slow, r.baseline.Timed, minSlowShare)
}

// holdReason returns why the next step has to wait for more answers, or RolloutNoReason if it needn't. It has to wait
// while a test's sum is at least the given share of alarmThreshold and the share of bad answers among all of the target's
// answers is nearer to that of a degraded version than to the tolerated one.
func (r *routeEvidence) holdReason(share float64) state.RolloutReason {
	fails := float64(r.target.Failed) > float64(r.target.Answers)*(r.toleratedFailures()+failureDegradation/2)
	isSlow := float64(r.target.Slow) > float64(r.target.Timed)*(r.toleratedSlow()+slowDegradation/2)
	switch {
	case fails && r.failures.reaches(share):
		return state.RolloutFailures
	case isSlow && r.slow.reaches(share):
		return state.RolloutSlow
	default:
		return state.RolloutNoReason
	}
}

// alarmReason returns which test has found that the target is worse than the baseline, or RolloutNoReason if none has.
func (r *routeEvidence) alarmReason() state.RolloutReason {
	switch {
	case r.failures.alarmed():
		return state.RolloutFailures
	case r.slow.alarmed():
		return state.RolloutSlow
	default:
		return state.RolloutNoReason
	}
}

// probeEvidence holds the counts of the load probes' answers and the test on them. A version that fails under load may do
// so only while an endpoint runs as many requests at once as it has to bear, so the test is designed for a smaller
// additional share of failures than that of a route.
type probeEvidence struct {
	counts   state.AnswerCounts
	failures cusum
}

// add adds the answers that were counted since the last report. tolerated is the share of them that may fail.
func (p *probeEvidence) add(counts state.AnswerCounts, tolerated float64) {
	p.counts = p.counts.Add(counts)
	p.failures.add(max(counts.Answers-counts.Failed, 0), max(counts.Failed, 0), tolerated, probeDegradation)
}

// probeCounts returns the sum of the load probes' counts. Slow answers count as failed.
func probeCounts(endpoints []state.EndpointCounts) (sum state.AnswerCounts) {
	for _, counts := range endpoints {
		if counts.LoadProbe {
			sum.Answers += counts.Answers
			sum.Failed += counts.Bad
		}
	}
	return sum
}
