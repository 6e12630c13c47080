package backoff

import "math"

const (
	// HealthyShare is the share of the slots that the window of a healthy endpoint may use.
	HealthyShare = 0.75
	// UnhealthyShare is the same for an endpoint that fails or is slow.
	UnhealthyShare = 0.5
	// minLateDelayShare is the shortest late delay, as a share of the cap.
	minLateDelayShare = 0.8
)

// Delay returns the delay before retry i, counted from zero. The schedule counts in units: m is the longest delay in
// units, and unit is the length of one unit in the caller's measure of time. The result is in that measure, too,
// rounded up to an integer. x is a random number in [0, 1). While i <= 2*log2(m) the delay is min(m, x*2^i) units.
// After that it is 80 to 100 % of m units, and no power of two is computed, which could overflow.
func Delay(m float64, i int, x, unit float64) float64 {
	if i <= int(math.Floor(2*math.Log2(max(m, 0.5)))) {
		return math.Ceil(min(m, x*math.Pow(2, float64(i))) * unit)
	}
	return math.Ceil(m * (minLateDelayShare + (1-minLateDelayShare)*x) * unit)
}

// ConcurrencyLimit returns how many calls may be in flight: the window, but no more than a share of the slots, and at
// least one.
func ConcurrencyLimit(window, share, slots float64) int {
	return max(int(min(window, share*slots)), 1)
}

// Grow returns the window after a success: larger by step, up to HealthyShare of the slots.
func Grow(window, step, slots float64) float64 { return min(window+step, HealthyShare*slots) }

// Halve returns the window after a rejection or a time-out: half of it, but at least one.
func Halve(window float64) float64 { return max(window/2, 1) }
