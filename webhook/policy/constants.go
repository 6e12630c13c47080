package policy

import "rowanlink/internal/backoff"

// Parameters of the policy. docs/design.md has the trade-off behind each of them, and how sensitive the results are to it.

// Backoff and time-outs. The first two are shares of the shorter of TTL and deduplication window.
const (
	maxBackoffShare     = 0.25 // longest backoff delay
	attemptTimeoutShare = 0.7  // longest time-out of an attempt

	// The time-out of an attempt shrinks by timeoutCutPerLoss times the share of calls that timed out. Its lower bound
	// is tailLatencyFactor times the mean latency of the route and shrinks to minTailShare of that where many calls
	// time out.
	timeoutCutPerLoss = 6.0
	tailLatencyFactor = 6.0
	minTailShare      = 1.0 / 3
)

// Smoothing and unresponsive routes.
const (
	smoothing = 1.0 / 8 // weight of a new value in the moving averages

	// A route is slow if its mean latency is more than unresponsiveFactor times the mean over all routes. It is
	// unresponsive if it has given no answer for more than unresponsiveFactor times the expected gap between its
	// answers.
	unresponsiveFactor = 4.0
)

// Adaptive rate.
const (
	rateDecrease      = 0.8     // factor after a rejection
	rateIncrease      = 0.03    // calls per second by which a success raises the rate
	rateProbeIncrease = 0.12    // the same where the queue is long and no call was rejected recently
	minRateShare      = 1.0 / 2 // least rate after rejections, as a share of the listed rate
	burstSeconds      = 0.5     // depth of the token bucket, in seconds of the rate
	headroomHalvings  = 3       // additional halvings of the reported headroom with each consecutive rejection
)

// Health and slow start.
const (
	// After unhealthyAfterFailures consecutive failures an endpoint is ejected. A route is unhealthy when all of its
	// endpoints have as many.
	unhealthyAfterFailures   = 3
	unhealthyAfterRejections = 6 // consecutive rejections after which a route is unhealthy

	// unhealthyFailureRate is the share of failed calls above which a route enters slow start. Above half of it, the
	// route gets the smaller share of the slots.
	unhealthyFailureRate = 0.5

	// The interval between canaries is between minCanaryIntervalShare of the slow start's duration and all of it.
	minCanaryIntervalShare = 0.1

	slowStartDurationsPerCall = 2.0  // least rate in slow start: one call in this many durations of the slow start
	slowStartBudgetShare      = 0.75 // share that is used of the load at which a recovering destination would fail again
)

// Endpoint selection, quotas, buffer and connections.
const (
	remoteZonePenalty = 1.2 // factor on the latency of another zone's endpoints in the ranking
	quotaBurstSeconds = 2.0 // depth of a tenant's token bucket, in seconds of the quota
	maxBufferFill     = 0.9 // share of the buffer at which shedding begins

	// An endpoint is assumed to accept connectionsPerCall connections for each of its concurrent calls at the listed
	// rate, and at least minConnections.
	connectionsPerCall = 2.0
	minConnections     = 6.0

	// The dispatcher has stalled if its periodic timer is at least stallTurnIntervals turn intervals late.
	stallTurnIntervals = 20

	// For retentionSlowStarts durations of the slow start, a refused connection counts for its kind of destination, and
	// an endpoint that left the list is remembered.
	retentionSlowStarts = 10
)

// Shares of MaxInFlight.
const (
	healthyConcurrencyShare   = backoff.HealthyShare
	unhealthyConcurrencyShare = backoff.UnhealthyShare // also for the canaries to all unhealthy routes together
)
