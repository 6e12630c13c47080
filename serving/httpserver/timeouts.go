package httpserver

import (
	"time"

	"rowanlink/serving/routing"
)

// Parameters of the first-byte timeout: an idempotent request's attempt that has no first byte by then is abandoned and
// retried at another endpoint. The timeout is the largest of the lower bounds that these parameters define.
const (
	// expectedFactor is multiplied by the expected time to first byte.
	expectedFactor = 3
	// targetDivisor divides the latency target, for services whose requests are short and cheap to run: the next
	// endpoint may still respond within the target.
	targetDivisor = 2
	// llmTargetFactor is multiplied by the latency target, for language models: the prefill of an abandoned attempt is
	// wasted and delays all other requests, and after the target the response is late whichever endpoint sends it.
	llmTargetFactor = 2
	// minFirstByteTimeout is the shortest timeout, for instance without a latency target.
	minFirstByteTimeout = 100 * time.Millisecond
)

// firstByteTimeout returns how long an attempt at an endpoint of the service may take until its first byte.
func firstByteTimeout(route *routing.Route, service *routing.Service, expected time.Duration) time.Duration {
	least := route.LatencyTarget / targetDivisor
	if service != nil && service.Engine != nil {
		least = route.LatencyTarget * llmTargetFactor
	}
	return max(least, expectedFactor*expected, minFirstByteTimeout)
}

const (
	// gapFactor is multiplied by the route's target for gaps between events, to get the timeout of a resumable stream.
	gapFactor = 2
	// defaultStreamIdleTimeout is the timeout of a resumable stream if the route has no target for gaps.
	defaultStreamIdleTimeout = time.Second
)

// streamIdleTimeout returns after how long without an event a stream is resumed at another endpoint; zero: never.
func streamIdleTimeout(route *routing.Route) time.Duration {
	switch {
	case !route.Resumable:
		return 0
	case route.GapTarget <= 0:
		return defaultStreamIdleTimeout
	}
	return gapFactor * route.GapTarget
}
