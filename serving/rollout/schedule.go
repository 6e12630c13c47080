package rollout

import "time"

// Shares of the time that an order allows.
const (
	loadBeginShare  = 0.28
	rampBeginShare  = 0.55
	rampShare       = 0.16
	deliveryShare   = 0.86 // the roll-out ends by then, so that a late start or a change of the core leaves time
	lastReturnShare = 0.93 // an undecided roll-out is returned then
)

// Bounds of these times.
const (
	// maxAfterRamp bounds the time from the ramp to the end: late faults are looked for until then.
	maxAfterRamp = 7 * time.Second
	maxRampTime  = 2500 * time.Millisecond
	minRampTime  = 800 * time.Millisecond
	// minFullTime is the least time of the full step: answers that are worse under load need some time to be seen.
	minFullTime = 1500 * time.Millisecond
	// rampAnswers is the number of the target's answers after which the ramp may end early.
	rampAnswers = 60
)

// schedule has the times of a roll-out's steps, since its order.
type schedule struct {
	loadAt    time.Duration
	rampAt    time.Duration
	rampTime  time.Duration
	deliverBy time.Duration
	returnBy  time.Duration
}

// newSchedule returns the schedule of an order that is to be done within a duration.
func newSchedule(duration time.Duration) schedule {
	rampAt := max(share(duration, rampBeginShare), duration-maxAfterRamp)
	return schedule{
		loadAt:    share(duration, loadBeginShare),
		rampAt:    rampAt,
		rampTime:  min(share(duration, rampShare), maxRampTime),
		deliverBy: max(share(duration, deliveryShare), rampAt),
		returnBy:  share(duration, lastReturnShare),
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
