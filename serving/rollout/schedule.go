package rollout

import "time"

// Shares of the duration that an order allows for its roll-out.
const (
	loadBeginShare = 0.28
	rampBeginShare = 0.55
	rampShare      = 0.16
	fullShare      = 0.1
	// promoteShare is the time from which a roll-out is promoted even if the baseline still has calls in flight. The rest
	// is a reserve for a late start or a change of the deciding core member.
	promoteShare = 0.86
	// rollBackShare is the time from which a roll-out that is still undecided is rolled back.
	rollBackShare = 0.93
)

// Bounds of the times that the shares give. If an order allows much time, the ramp begins as late as possible, so that
// faults that show late are found while the target gets few requests.
const (
	// The time from the start of the ramp to the end of the duration is at most maxTimeFromRamp, or maxTimeFromRampShare
	// of the duration if that is longer.
	maxTimeFromRamp      = 7 * time.Second
	maxTimeFromRampShare = 0.2
	// The reserves are the times from promoteBy and rollBackBy to the end of the duration.
	maxReserveAfterPromotion = 3 * time.Second
	maxReserveAfterRollBack  = 1500 * time.Millisecond
	// The ramp takes at most maxRampTime, or maxRampTimeShare of the duration if that is longer. It may end after
	// minRampTime already, once the target has given earlyEndAnswers answers during it.
	maxRampTime      = 2500 * time.Millisecond
	maxRampTimeShare = 0.02
	minRampTime      = 800 * time.Millisecond
	maxFullTime      = 1500 * time.Millisecond // answers that are worse under load need some time to be seen
	earlyEndAnswers  = 60
)

// schedule has the times of a roll-out's steps. The fields that end in At or By are times since the order.
type schedule struct {
	loadAt     time.Duration // start of the load step
	rampAt     time.Duration // start of the ramp
	rampTime   time.Duration // length of the ramp, unless enough answers allow an earlier end
	fullTime   time.Duration // least length of the full step
	promoteBy  time.Duration // promotion no longer waits for the baseline's calls in flight
	rollBackBy time.Duration // an undecided roll-out is rolled back
}

// newSchedule returns the schedule of a roll-out that is to end within a duration.
func newSchedule(duration time.Duration) schedule {
	timeFromRamp := max(maxTimeFromRamp, share(duration, maxTimeFromRampShare))
	return schedule{
		loadAt:     share(duration, loadBeginShare),
		rampAt:     max(share(duration, rampBeginShare), duration-timeFromRamp),
		rampTime:   min(share(duration, rampShare), max(maxRampTime, share(duration, maxRampTimeShare))),
		fullTime:   min(share(duration, fullShare), maxFullTime),
		promoteBy:  max(share(duration, promoteShare), duration-maxReserveAfterPromotion),
		rollBackBy: max(share(duration, rollBackShare), duration-maxReserveAfterRollBack),
	}
}

// holdShare returns the share of alarmThreshold from which the next step has to wait.
func (s *schedule) holdShare(elapsed time.Duration) float64 {
	if elapsed < s.rampAt+s.rampTime/2 {
		return holdShare
	}
	return lateHoldShare
}

func share(duration time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(duration) * fraction)
}
