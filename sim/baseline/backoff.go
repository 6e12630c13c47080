package baseline

import (
	"math/rand/v2"

	"rowanlink/webhook/api"
)

// Backoff returns the delay before a retry. Retries count from 0.
type Backoff func(retry int, random *rand.Rand) api.Micros

// NoBackoff retries at once.
func NoBackoff(int, *rand.Rand) api.Micros { return 0 }

const (
	initialBackoff = api.Second / 10
	maxBackoff     = 10 * api.Second
	maxDoublings   = 20 // prevents an overflow
)

// ExponentialBackoff doubles the delay with each retry, without jitter.
func ExponentialBackoff(retry int, _ *rand.Rand) api.Micros {
	return min(initialBackoff<<min(retry, maxDoublings), maxBackoff)
}
