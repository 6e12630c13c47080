package httpserver

import (
	"time"

	"rowanlink/serving/placement"
	"rowanlink/serving/routing"
)

// minClientSilence is the shortest silence after which clients give a stream up, also before its first event (PROTOCOL,
// "Requests").
const minClientSilence = 2 * time.Second

// Parameters of the first-byte timeout: an idempotent request's attempt that has no first byte by then is abandoned and
// retried at another endpoint. The timeout is the largest of the lower bounds that these parameters define.
const (
	// expectedFactor is multiplied by the expected time to first byte.
	expectedFactor = 3
	// deviationFactor is multiplied by the mean deviation of first bytes from the expected time, which is added to that
	// time (as in RFC 6298, section 2).
	deviationFactor = 4
	// minFirstByteTimeout is the shortest timeout of services whose requests are short and cheap to run.
	minFirstByteTimeout = 100 * time.Millisecond
	// minPrefillTimeout is the shortest timeout of language models: prompts of other proxies, which this one doesn't
	// know, may come first, and the prefill of an abandoned attempt is wasted and delays all other requests. Half of the
	// silence that a client bears is left for the first event of the next attempt.
	minPrefillTimeout = minClientSilence / 2
)

// firstByteTimeout returns how long an attempt at the chosen endpoint of the service may take until its first byte.
func firstByteTimeout(service *routing.Service, choice placement.Choice) time.Duration {
	least := minFirstByteTimeout
	if service != nil && service.Engine != nil {
		least = minPrefillTimeout
	}
	expected := choice.ExpectedFirstByte
	return max(least, expectedFactor*expected, expected+deviationFactor*choice.FirstByteDeviation)
}

// streamIdleTimeout returns after how long without an event a stream is resumed at another endpoint; zero: never. It is
// no shorter than the gaps that the route allows, and leaves the next endpoint half of the silence that a client bears.
func streamIdleTimeout(route *routing.Route) time.Duration {
	if !route.Resumable {
		return 0
	}
	return max(minClientSilence/2, route.GapTarget)
}
