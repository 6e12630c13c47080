package placement

import (
	"time"

	"rowanlink/serving/attempt"
)

// ReportProgress reports that data of a call's response has arrived: its first byte or any later part.
func (p *Picker) ReportProgress(now time.Time, reservation Reservation) {
	c := reservation.call
	if c == nil {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if c.finished {
		return
	}
	if !c.gotFirstByte {
		p.rollouts.recordFirstByte(now, p, c)
		recordFirstByte(now, c)
		c.gotFirstByte = true
		c.firstByteAt = now
		c.endpoint.leaveQueue(c)
	}
	c.endpoint.recordActivity(now)
}

// ReportOutcome ends a call. It must be called for each reservation; later calls for the same one are ignored.
func (p *Picker) ReportOutcome(now time.Time, reservation Reservation, outcome attempt.Outcome) {
	c := reservation.call
	if c == nil {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if c.finished {
		return
	}
	c.finished = true
	if outcome == attempt.Succeeded {
		recordCallTime(now, c)
	}
	c.endpoint.endCall(c)
	if c.endpoint.health.probe == c {
		c.endpoint.health.probe = nil
	}
	p.rollouts.recordOutcome(now, c, outcome)
	p.applyOutcome(now, c, outcome)
	c.endpoint.service.queue.wake(c.endpoint, c.endpoint.concurrencyLimit(now)-c.endpoint.inFlight)
}

// recordFirstByte updates the estimates by a time to first byte.
func recordFirstByte(now time.Time, c *call) {
	s := c.endpoint.service
	measured := now.Sub(c.sentAt)
	s.firstByteDeviation.add(now, (measured - c.expectedFirstByte).Abs())
	queueDelay := max(measured-c.modeledFirstByte, 0)
	for priority := c.priority; priority < priorityLevels; priority++ {
		c.endpoint.queueDelays[priority].add(now, queueDelay)
		c.endpoint.regionGroup.queueDelays[priority].add(now, queueDelay)
	}
	if s.hasEngine() {
		s.recordFirstByte(c, measured)
	}
}

// recordCallTime updates the estimates by the duration of a successful call.
func recordCallTime(now time.Time, c *call) {
	millis := float64(now.Sub(c.sentAt)-c.pathLatency) / float64(time.Millisecond)
	e := c.endpoint
	e.callMillis = smooth(e.callMillis, millis, callTimeSmoothing)
	e.service.callMillis = smooth(e.service.callMillis, millis, callTimeSmoothing)
	e.service.recordCall(now, c)
}
