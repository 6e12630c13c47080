package httpserver

import (
	"time"

	"rowanlink/serving/routing"
)

// Parameters of the time after which an idempotent request's attempt without a first byte is abandoned and retried at
// another endpoint.
const (
	// expectedFactor times the estimated time to first byte is the least timeout.
	expectedFactor = 3
	// targetDivisor of the latency target is the least timeout of services whose runs are short and cheap: the next
	// endpoint may still respond within the target.
	targetDivisor = 2
	// llmTargetFactor times the latency target is the least timeout of language models: prefill for nothing delays all
	// other requests, and after the target the response is late wherever it comes from.
	llmTargetFactor = 2
	// minFirstByteTimeout applies if there is no latency target.
	minFirstByteTimeout = 100 * time.Millisecond
)

// firstByteTimeout returns how long an attempt at an endpoint of the service may be without a first byte.
func firstByteTimeout(route *routing.Route, service *routing.Service, expected time.Duration) time.Duration {
	least := route.LatencyTarget / targetDivisor
	if service != nil && service.Engine != nil {
		least = route.LatencyTarget * llmTargetFactor
	}
	return max(least, expectedFactor*expected, minFirstByteTimeout)
}

const (
	// gapFactor times the route's target for gaps between events is the timeout of a stream that can be resumed.
	gapFactor = 2
	// defaultStreamIdleTimeout applies if the route has no such target.
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
