package core

import "time"

const (
	// recoveryDelay is how long the local replica may have an accepted revision that isn't known to be committed, before
	// this process finishes the change. A proposer that is running publishes the result within about ten milliseconds.
	recoveryDelay = 300 * time.Millisecond
	// recoveryInterval is the time between two attempts for one revision: its proposer may still be running, but slowly.
	recoveryInterval = time.Second
	// recoveryTimeout bounds one attempt.
	recoveryTimeout = time.Second
)

// recoverySchedule decides when to finish a change that its proposer has left unfinished. It does no I/O.
type recoverySchedule struct {
	revision    uint64 // accepted by the local replica and not known to be committed; zero: none
	nextAttempt time.Time
}

// isDue takes the result of register.Node.UncommittedRevision and reports whether an attempt is due now. If so, the
// next one is due after recoveryInterval.
func (s *recoverySchedule) isDue(now time.Time, revision uint64, uncommitted bool) bool {
	switch {
	case !uncommitted:
		s.revision = 0
		return false
	case revision != s.revision:
		s.revision = revision
		s.nextAttempt = now.Add(recoveryDelay)
		return false
	case now.Before(s.nextAttempt):
		return false
	}
	s.nextAttempt = now.Add(recoveryInterval)
	return true
}
