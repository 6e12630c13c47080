package httpserver

import (
	"time"

	"rowanlink/serving/routing"
)

// How long an attempt of a request that may be repeated shows nothing before the request goes elsewhere.
const (
	// expectedFactor of the predicted time to the first byte bounds it from below.
	expectedFactor = 3
	// targetDivisor of the target bounds it where a run is short and cheap: the next endpoint may still be in time.
	targetDivisor = 2
	// llmTargetFactor bounds it at language models, in targets: a prompt read for nothing costs all others time, and
	// after the target an answer is late wherever it comes from.
	llmTargetFactor = 2
	// minFirstByteTimeout bounds it where no target is set.
	minFirstByteTimeout = 100 * time.Millisecond
)

// firstByteTimeout is how long an attempt at an endpoint of the service may show nothing.
func firstByteTimeout(route *routing.Route, service *routing.Service, expected time.Duration) time.Duration {
	least := route.Target / targetDivisor
	if service != nil && service.Engine != nil {
		least = route.Target * llmTargetFactor
	}
	return max(least, expectedFactor*expected, minFirstByteTimeout)
}

const (
	// gapFactor of the longest pause that keeps a stream in time is how long a stream that can be taken up
	// elsewhere may pause.
	gapFactor = 2
	// defaultStreamIdleTimeout holds where the route states no such pause.
	defaultStreamIdleTimeout = time.Second
)

// streamIdleTimeout is how long a stream may pause before it is taken up elsewhere; zero: for ever.
func streamIdleTimeout(route *routing.Route) time.Duration {
	switch {
	case !route.Resume:
		return 0
	case route.GapTarget <= 0:
		return defaultStreamIdleTimeout
	}
	return gapFactor * route.GapTarget
}
