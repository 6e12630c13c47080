package rollout

import "time"

// Shares of the time that an order allows.
const (
	loadBeginShare = 0.28
	rampBeginShare = 0.55
	rampShare      = 0.16
	fullShare      = 0.1
	// promoteShare: the roll-out ends by then, so that a late start or a change of the core leaves time. An undecided
	// one is rolled back by rollBackShare.
	promoteShare  = 0.86
	rollBackShare = 0.93
)

// Bounds of these times: where an order allows much time, late faults are looked for as long as possible.
const (
	minAfterRamp      = 7 * time.Second
	afterRampShare    = 0.2
	maxAfterPromotion = 3 * time.Second
	maxAfterRollBack  = 1500 * time.Millisecond
	shortRampTime     = 2500 * time.Millisecond
	longRampShare     = 0.02
	minRampTime       = 800 * time.Millisecond
	maxFullTime       = 1500 * time.Millisecond // answers that are worse under load need some time to be seen
	rampAnswers       = 60                      // the number of the target's answers after which the ramp may end early
)

// schedule has the times of a roll-out's steps. Moments count from the order.
type schedule struct {
	loadAt     time.Duration
	rampAt     time.Duration
	rampTime   time.Duration // length of the ramp, unless enough answers allow an earlier end
	fullTime   time.Duration // least length of the full step
	promoteBy  time.Duration
	rollBackBy time.Duration
}

// newSchedule returns the schedule of an order that is to be done within a duration.
func newSchedule(duration time.Duration) schedule {
	afterRamp := max(minAfterRamp, share(duration, afterRampShare))
	return schedule{
		loadAt:     share(duration, loadBeginShare),
		rampAt:     max(share(duration, rampBeginShare), duration-afterRamp),
		rampTime:   min(share(duration, rampShare), max(shortRampTime, share(duration, longRampShare))),
		fullTime:   min(share(duration, fullShare), maxFullTime),
		promoteBy:  max(share(duration, promoteShare), duration-maxAfterPromotion),
		rollBackBy: max(share(duration, rollBackShare), duration-maxAfterRollBack),
	}
}

// suspicionShare returns the share of a test's threshold from which the next step has to wait.
func (s *schedule) suspicionShare(elapsed time.Duration) float64 {
	if elapsed < s.rampAt+s.rampTime/2 {
		return suspicionShare
	}
	return lateSuspicionShare
}

func share(duration time.Duration, part float64) time.Duration {
	return time.Duration(float64(duration) * part)
}
