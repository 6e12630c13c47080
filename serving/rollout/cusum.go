package rollout

import (
	"math"
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
