package placement

import "time"

// callTimes holds an endpoint's response times as measured on this proxy's calls.
type callTimes struct {
	queueDelays    [priorityLevels]decayingMean // measured time to first byte beyond the modeled one, by priority
	callMillis     float64                      // usual length of a call in milliseconds; zero: unknown
	lastActivityAt time.Time                    // when a call last showed that the endpoint is alive
}

const (
	// firstByteGrace is how late a first byte must be to count as overdue.
	firstByteGrace = 150 * time.Millisecond
	// streamGrace is the time without an event on any of an endpoint's streams after which events count as overdue.
	streamGrace = 250 * time.Millisecond
)

// expectedQueueDelay returns by how much the time to first byte is expected to exceed the modeled one. For an endpoint
// with few recent measurements, the mean of its region is assumed.
func (e *endpoint) expectedQueueDelay(now time.Time, priority int) time.Duration {
	return e.queueDelays[priority].meanWithPrior(now, e.regionGroup.queueDelays[priority].meanAt(now))
}

// overdue returns by how much the endpoint's next sign of activity is overdue; zero if it isn't.
func (e *endpoint) overdue(now time.Time) time.Duration {
	return max(e.firstByteOverdue(now), e.streamOverdue(now), 0)
}

// streamOverdue returns by how much the next event on any of the endpoint's streams is overdue. While an engine
// prefills other prompts its streams pause, but for streamGrace at most. The result may be negative.
func (e *endpoint) streamOverdue(now time.Time) time.Duration {
	if !e.service.hasEngine() || e.inFlight <= len(e.awaitingFirstByte) {
		return 0
	}
	return now.Sub(e.lastActivityAt) - streamGrace
}

// firstByteOverdue returns by how much the first byte of the oldest call without one is overdue. The result may be
// negative.
func (e *endpoint) firstByteOverdue(now time.Time) time.Duration {
	if len(e.awaitingFirstByte) == 0 {
		return 0
	}
	oldest := e.awaitingFirstByte[0]
	since := oldest.sentAt
	if e.lastActivityAt.After(since) {
		since = e.lastActivityAt
	}
	return now.Sub(since) - 2*oldest.expectedFirstByte - firstByteGrace
}

// recordActivity records that the endpoint, and so its zone, is alive.
func (e *endpoint) recordActivity(now time.Time) {
	e.lastActivityAt = now
	e.zone.recordActivity()
}
