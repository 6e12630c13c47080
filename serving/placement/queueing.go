package placement

import (
	"math"
	"time"
)

const (
	// connectAllowance is the time that a client gives a new connection to come up (PROTOCOL, "Answers"). A request is
	// rejected while its client still has that time, and the time of a call, to be served through another proxy.
	connectAllowance = time.Second
	// connectAllowanceDivisor divides the time that a client has; it gives a new attempt up if a proxy has not read it
	// within the result, so a short request needs no longer connectAllowance.
	connectAllowanceDivisor = 3
	// slotPollInterval is the least time after which a request searches again for a free slot in a concurrency window.
	// Jitter makes it up to twice as long.
	slotPollInterval = 10 * time.Millisecond
	// minPollInterval is the least time after which a request searches again for any reason.
	minPollInterval = 2 * time.Millisecond
	// maxPollInterval is the longest time after which a waiting request searches again: an endpoint may have been added.
	maxPollInterval = 300 * time.Millisecond
	// unknownDelay stands for a time that is not known.
	unknownDelay time.Duration = math.MaxInt64
	// noEndpointRetryAfter is the Retry-After of a request whose service has no usable endpoint.
	noEndpointRetryAfter = 300 * time.Millisecond

	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Second
)

// mustYield reports whether the request leaves free slots to a request of higher priority that waits for one of the
// same service.
func (s *candidateSearch) mustYield() bool {
	for _, until := range s.service.waitingUntil[:s.priority] {
		if s.now.Before(until) {
			return true
		}
	}
	return false
}

// remainingQueueTime returns how much longer the request may wait for an endpoint. A call that begins at the end of that
// time is expected to end before the request's deadline, and a client that is rejected then can still be served through
// another proxy. It depends on the time that the client has and on the work that is left, not on whether this is the
// first attempt.
func (s *candidateSearch) remainingQueueTime() time.Duration {
	clientTime := s.request.TimeLeft + s.request.QueuedFor
	elsewhere := min(connectAllowance, clientTime/connectAllowanceDivisor)
	return s.request.TimeLeft - s.shortestCallTime() - elsewhere
}

// waitOrReject decides what to do with a request for which no endpoint is eligible now.
func (p *Picker) waitOrReject(s *candidateSearch) Decision {
	if s.retryIn == unknownDelay {
		return p.reject(noEndpointRetryAfter) // another proxy may know of an endpoint
	}
	queueTime := s.remainingQueueTime()
	if s.sawFullWindow && queueTime >= minPollInterval {
		s.retryIn = min(s.retryIn, queueTime) // a slot may become free at any time before the queue time ends
	}
	if s.retryIn > queueTime {
		return p.reject(s.retryIn)
	}
	delay := max(min(s.retryIn, maxPollInterval), minPollInterval)
	if s.sawFullWindow {
		until := s.now.Add(delay + slotPollInterval)
		if until.After(s.service.waitingUntil[s.priority]) {
			s.service.waitingUntil[s.priority] = until
		}
	}
	return Decision{Kind: Wait, Delay: delay}
}

// reject rejects the request. retryIn is the time until an endpoint is expected to become eligible; the Retry-After is
// that time, within minRetryAfter and maxRetryAfter, with jitter.
func (p *Picker) reject(retryIn time.Duration) Decision {
	return Decision{Kind: Reject, Delay: p.jitter(min(max(retryIn, minRetryAfter), maxRetryAfter))}
}

// jitter returns a random duration between the given one and twice that.
func (p *Picker) jitter(duration time.Duration) time.Duration {
	return duration + time.Duration(p.random.Float64()*float64(duration))
}
