package backoff

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestDelay_EarlyAndLateBand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := rapid.Float64Range(0.1, 100).Draw(t, "m")
		i := rapid.IntRange(0, 1<<40).Draw(t, "i")
		x := rapid.Float64Range(0, 1-1e-9).Draw(t, "x")
		delay := Delay(m, i, x, 1e6) / 1e6
		assert.LessOrEqual(t, delay, m+1e-6)
		if float64(i) <= 2*math.Log2(m) {
			assert.InDelta(t, min(m, x*math.Pow(2, float64(i))), delay, 1e-6)
		} else if m > 0.75 {
			assert.GreaterOrEqual(t, delay, 0.8*m)
		}
	})
}

func TestWindow_StaysWithinItsShareAndAtLeastOne(t *testing.T) {
	window := 1.0
	for range 200 {
		window = Grow(window, 1, 128)
	}
	assert.Equal(t, 96, ConcurrencyLimit(window, HealthyShare, 128))
	assert.Equal(t, 64, ConcurrencyLimit(window, UnhealthyShare, 128))
	for range 200 {
		window = Halve(window)
	}
	assert.Equal(t, 1, ConcurrencyLimit(window, HealthyShare, 128))
	assert.Equal(t, 1, ConcurrencyLimit(Grow(1, 1, 1), HealthyShare, 1), "never below one")
}
