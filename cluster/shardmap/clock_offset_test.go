package shardmap

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"rowanlink/webhook/api"
)

// The error of the estimate is at most the lag of the fastest message plus the drift since, and at most the lag of
// the last message.
func TestClockOffset_TracksLeastLag(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxDrift = 0.01
		var c ClockOffset
		ahead, now, best := drawMicros(t, "ahead"), api.Micros(0), api.Micros(0)
		for i := range rapid.IntRange(1, 20).Draw(t, "messages") {
			step, late := drawMicros(t, "step")%10_000_000, drawMicros(t, "late")%5_000_000
			now += step
			best += api.Micros(maxDrift * float64(step))
			if i == 0 || late < best {
				best = late
			}
			got := c.Observe(now-late-ahead, now, maxDrift)
			assert.GreaterOrEqual(t, got, ahead)
			assert.InDelta(t, float64(best), float64(got-ahead), 25)
			assert.LessOrEqual(t, got, ahead+late)
		}
	})
}
