package policy

import "rowanlink/internal/backoff"

// Tuned values. docs/design.md has the trade-off of each, and how sensitive the results are to it.

// Backoff and time-outs.
const (
	maxBackoffShare     = 0.25    // m of the schedule, as a share of the shorter of TTL and deduplication window
	attemptTimeoutShare = 0.7     // time-out of an attempt, as a share of the shorter of TTL and deduplication window
	timeoutCutPerLoss   = 6.0     // how fast the time-out shrinks with the share of answers lost
	tailLatencyFactor   = 6.0     // it shrinks to so many mean latencies, ...
	minTailShare        = 1.0 / 3 // ... and to this share of them where many answers are lost
)

// Smoothing and unresponsive routes.
const (
	smoothing          = 1.0 / 8 // weight of a new value in the moving averages
	unresponsiveFactor = 4.0     // times the mean latency, or the expected gap between answers: slow, or unresponsive
)

// Adaptive rate.
const (
	rateDecrease      = 0.8     // factor after a rejection
	rateIncrease      = 0.03    // calls per second added by a success
	rateProbeIncrease = 0.12    // the same where the queue is long and nothing was rejected recently
	minRateShare      = 1.0 / 2 // of the listed rate
	burstSeconds      = 0.5     // seconds of the rate that may be sent at once
	headroomHalvings  = 3       // reported headroom halves so often more with each rejection in a row
)

// Health and slow start.
const (
	unhealthyAfterFailures   = 3    // in a row, of a route or endpoint
	unhealthyAfterRejections = 6    // in a row
	unhealthyFailureRate     = 0.5  // share of failed calls
	minCanaryShare           = 0.1  // least interval of canaries, as a share of the slow start; the longest is all of it
	slowStartSpansPerCall    = 2.0  // in slow start at least one call in so many durations of the slow start
	slowStartBudgetShare     = 0.75 // share of a recovering route's capacity that is used
)

// Endpoint selection, quotas, buffer and connections.
const (
	remoteZonePenalty     = 1.2 // weight of another zone's latency in the ranking
	quotaBurstSeconds     = 2.0 // seconds of a tenant's quota that may be used at once
	maxBufferFill         = 0.9 // share of the buffer at which shedding begins
	connectionsPerCall    = 2.0 // connections that an endpoint accepts, over its concurrent calls at the listed rate, ...
	minConnections        = 6.0 // ... and at least
	stallTicks            = 20  // turn intervals by which its own timer is late where the dispatcher has stalled
	connectionLimitMemory = 10  // slow starts for which a refused connection counts for its kind of destination
)

// Shares of MaxInFlight.
const (
	healthyConcurrencyShare   = backoff.FullShare
	unhealthyConcurrencyShare = backoff.UnhealthyShare // also of all unhealthy routes together
)
