package httpserver

import (
	"time"

	"rowanlink/serving/routing"
)

// How long an attempt of a request that may be repeated shows nothing before the request goes elsewhere.
const (
	// expectedFactor of the predicted time to the first byte bounds it from below.
	expectedFactor = 3
	// plainShare of the target bounds it where a run is short and cheap: the next endpoint may still be in time.
	plainShare = 2
	// modelTargets bounds it at language models, in targets: a prompt read for nothing costs all others time, and
	// after the target an answer is late wherever it comes from.
	modelTargets = 2
	// leastPatience bounds it where no target is set.
	leastPatience = 100 * time.Millisecond
)

// patience is how long an attempt at an endpoint of the service may show nothing.
func patience(route *routing.Route, service *routing.Service, expected time.Duration) time.Duration {
	least := route.Target / plainShare
	if service != nil && service.Engine != nil {
		least = route.Target * modelTargets
	}
	return max(least, expectedFactor*expected, leastPatience)
}

const (
	// gapFactor of the longest pause that keeps a stream in time is how long a stream that can be taken up
	// elsewhere may pause.
	gapFactor = 2
	// unstatedGap holds where the route states no such pause.
	unstatedGap = time.Second
)

// gapPatience is how long a stream may pause before it is taken up elsewhere; zero: for ever.
func gapPatience(route *routing.Route) time.Duration {
	switch {
	case !route.Resume:
		return 0
	case route.GapTarget <= 0:
		return unstatedGap
	}
	return gapFactor * route.GapTarget
}
