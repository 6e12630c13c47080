package shardmap

import "rowanlink/webhook/api"

// ClockOffset estimates by how much a member's own clock is ahead of another member's, from the messages that the
// other sends. The lag of a message is the time of its arrival by the own clock, minus the time at which it was sent
// by the sender's clock. The estimate is the least lag, whose error is the transmission time of the fastest message.
// The zero value has no observations.
type ClockOffset struct {
	leastLag, observedAt api.Micros
	hasObservation       bool
}

// Observe records a message that was sent at sentAt, by its sender's clock, and arrives now. It returns the estimated
// offset. maxDrift is the largest difference in rate of the two clocks, as a fraction. The least lag of earlier
// messages is increased by the drift that is possible since then.
func (c *ClockOffset) Observe(sentAt, now api.Micros, maxDrift float64) api.Micros {
	lag := now - sentAt
	if c.hasObservation {
		lag = min(lag, c.leastLag+api.Micros(maxDrift*float64(now-c.observedAt)))
	}
	c.leastLag, c.observedAt, c.hasObservation = lag, now, true
	return lag
}
