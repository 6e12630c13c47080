package backoff

import "math"

const (
	// FullShare is the share of an endpoint's slots that a window may use.
	FullShare = 0.75
	// UnhealthyShare is the same for an endpoint that fails or is slow.
	UnhealthyShare = 0.5
	// lateJitterFrom is the share of the cap from which late delays are drawn.
	lateJitterFrom = 0.8
)

// Delay returns the delay before retry number i, from zero, rounded up to an integer. The cap m is in units, and unit is
// the length of a unit in the caller's measure; x is a draw from [0, 1). While i <= 2*log2(m) the delay is
// min(m, x*2^i) units, after that 80 to 100 % of m units, so that no power of i is computed then.
func Delay(m float64, i int, x, unit float64) float64 {
	if i <= int(math.Floor(2*math.Log2(max(m, 0.5)))) {
		return math.Ceil(min(m, x*math.Pow(2, float64(i))) * unit)
	}
	return math.Ceil(m * (lateJitterFrom + (1-lateJitterFrom)*x) * unit)
}

// ConcurrencyLimit returns how many calls may be in flight: the window, but no more than a share of the slots, and at
// least one.
func ConcurrencyLimit(window, share, slots float64) int {
	return max(int(min(window, share*slots)), 1)
}

// Grow returns the window after a success.
func Grow(window, step, slots float64) float64 { return min(window+step, FullShare*slots) }

// Halve returns the window after a rejection or a time-out.
func Halve(window float64) float64 { return max(window/2, 1) }
