package backoff

import "math"

const FullShare, UnhealthyShare, lateFrom = 0.75, 0.5, 0.8 // of slots to a window, a sick one; of m, late

// Delay in 1/unit: min(m, x*2^i) while i <= 2*log2(m), then evenly 80-100% of m (no power taken), x in [0, 1).
func Delay(m float64, i int, x, unit float64) float64 {
	if i <= int(math.Floor(2*math.Log2(max(m, 0.5)))) {
		return math.Ceil(min(m, x*math.Pow(2, float64(i))) * unit)
	}
	return math.Ceil(m * (lateFrom + (1-lateFrom)*x) * unit)
}

// ConcurrencyLimit is how many calls a window lets out; Grow follows a success, Halve a refusal or time-out.
func ConcurrencyLimit(window, share, slots float64) int { return max(int(min(window, share*slots)), 1) }
func Grow(window, step, slots float64) float64          { return min(window+step, FullShare*slots) }
func Halve(window float64) float64                      { return max(window/2, 1) }
