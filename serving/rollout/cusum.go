package rollout

import (
	"math"
)

// The sequential test is a cumulative sum of log-likelihood ratios (CUSUM; Page, "Continuous inspection schemes", 1954).
// It compares two hypotheses on the share of the target's answers that are bad (failed or slow): that it is the tolerated
// share, which is a little more than the baseline's share during the same time, or that it is the tolerated share plus a
// degradation. Bad answers raise the sum, good ones lower it. The sum never falls below zero, so earlier good answers
// don't hide that later ones are bad. The target counts as worse once the sum reaches alarmThreshold.
const (
	// failureDegradation, slowDegradation and probeDegradation are the additional shares of failed answers, of slow
	// answers and of bad answers of load probes that the tests are designed to detect.
	failureDegradation = 0.12
	slowDegradation    = 0.25
	probeDegradation   = 0.08
	// falseAlarmRate bounds the probability that the sum of a version that is as good as the baseline reaches the
	// threshold before it returns to zero (Wald's bound).
	falseAlarmRate = 1e-4
	// The tolerated share is baselineFactor times the baseline's share, and at least minFailureShare or minSlowShare.
	// That leaves room for the statistical error of the baseline's share and for single faults.
	baselineFactor    = 1.5
	minFailureShare   = 0.005
	minSlowShare      = 0.06
	maxToleratedShare = 0.5 // if more of the baseline's answers are bad, the test can't tell the versions apart
	// priorAnswers is the number of good answers that are added to the baseline's in the calculation of its share, so that
	// the share begins at zero and a few early answers don't dominate it.
	priorAnswers = 20
)

// Shares of alarmThreshold from which a roll-out isn't advanced. The higher one applies late in the schedule, when little
// time is left to wait for more answers.
const (
	holdShare     = 0.4
	lateHoldShare = 0.75
)

// alarmThreshold is the sum at which a test finds that the target is worse than the baseline.
var alarmThreshold = -math.Log(falseAlarmRate)

// cusum is the state of one sequential test.
type cusum struct{ sum float64 }

// add adds numbers of good and bad answers of the target to the test. toleratedShare is the share of bad answers under
// the hypothesis that the target is as good as the baseline, and degradation the additional share under the other one.
func (c *cusum) add(good, bad int, toleratedShare, degradation float64) {
	degraded := min(toleratedShare+degradation, 1-toleratedShare/2)
	perBad := math.Log(degraded / toleratedShare)
	perGood := math.Log((1 - degraded) / (1 - toleratedShare))
	c.sum = max(0, c.sum+float64(bad)*perBad+float64(good)*perGood)
}

// reaches reports whether the sum is at least the given share of alarmThreshold.
func (c *cusum) reaches(share float64) bool { return c.sum >= share*alarmThreshold }

// alarmed reports whether the test has found that the target is worse.
func (c *cusum) alarmed() bool { return c.sum >= alarmThreshold }

// toleratedShare returns the share of bad answers that the target may have, given the baseline's numbers of bad answers
// and of all answers. It is at least minShare.
func toleratedShare(bad, answers int, minShare float64) float64 {
	measured := float64(bad) / float64(answers+priorAnswers)
	return min(max(baselineFactor*measured, minShare), maxToleratedShare)
}
