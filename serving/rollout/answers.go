package rollout

import (
	"rowanlink/serving/state"
)

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
// together are nearer to a degraded version than to the baseline. It returns RolloutNoReason if there is none.
func (r *routeEvidence) suspicion(share float64) state.RolloutReason {
	failed := float64(r.target.Failed) > float64(r.target.Answers)*(r.toleratedFailures()+failureDegradation/2)
	late := float64(r.target.Slow) > float64(r.target.Timed)*(r.toleratedSlow()+slowDegradation/2)
	switch {
	case failed && r.failures.suspicious(share):
		return state.RolloutFailures
	case late && r.slow.suspicious(share):
		return state.RolloutSlow
	default:
		return state.RolloutNoReason
	}
}

// reason returns why the target counts as worse; RolloutNoReason if it doesn't.
func (r *routeEvidence) reason() state.RolloutReason {
	switch {
	case r.failures.alarmed():
		return state.RolloutFailures
	case r.slow.alarmed():
		return state.RolloutSlow
	default:
		return state.RolloutNoReason
	}
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
