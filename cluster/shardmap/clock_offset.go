package shardmap

import "rowanlink/webhook/api"

// ClockOffset estimates by how much a member's own clock is ahead of another's, from the messages that the other
// sends: the least lag of any message, which is as exact as the fastest message was fast. The zero value has observed
// none.
type ClockOffset struct {
	leastLag, observedAt api.Micros
	hasObservation       bool
}

// Observe takes the time a message was sent, by its sender's clock, and returns the estimated offset. maxDrift is the
// largest difference in rate of the two clocks, as a fraction: by it the least lag of earlier messages grows less exact
// with time.
func (c *ClockOffset) Observe(sentAt, now api.Micros, maxDrift float64) api.Micros {
	lag := now - sentAt
	if c.hasObservation {
		lag = min(lag, c.leastLag+api.Micros(maxDrift*float64(now-c.observedAt)))
	}
	c.leastLag, c.observedAt, c.hasObservation = lag, now, true
	return lag
}
