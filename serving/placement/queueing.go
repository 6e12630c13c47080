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
	// slotPollInterval is the least time after which the first request of the queue searches again for a free slot in a
	// concurrency window, unless it is signaled before. Jitter makes it up to twice as long. Each further request polls
	// less often, so that a long queue takes little processor time.
	slotPollInterval = 10 * time.Millisecond
	// minPollInterval is the least time after which a request searches again for any reason.
	minPollInterval = 2 * time.Millisecond
	// maxPollInterval is the longest time after which a waiting request searches again: an endpoint may have been added.
	maxPollInterval = 300 * time.Millisecond
	// unknownDelay stands for a time that is not known.
	unknownDelay time.Duration = math.MaxInt64
	// noEndpointRetryAfter is the Retry-After of a request whose service has no usable endpoint. Another proxy may know
	// one.
	noEndpointRetryAfter = 300 * time.Millisecond
)

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
	switch {
	case s.sawFullWindow:
		return p.waitForSlot(s, s.newTicket())
	case s.lateQueueDelay != unknownDelay || s.retryIn > s.remainingQueueTime():
		return p.reject(s)
	}
	delay := max(min(s.retryIn, maxPollInterval), minPollInterval)
	return Decision{Kind: Wait, Delay: delay, Service: s.service.name}
}

// waitForSlot queues a request for a free slot, or rejects it if it can't get one in time: then its client still has
// time to go elsewhere. Otherwise a queue that is too long would serve nobody, since all requests in it would run out of
// time together.
func (p *Picker) waitForSlot(s *candidateSearch, ticket *Ticket) Decision {
	queue := &s.service.queue
	queueTime := s.remainingQueueTime()
	ahead := queue.countAhead(ticket)
	if queueTime < minPollInterval || s.shortestSlotDelay(ahead) > queueTime {
		return p.reject(s)
	}
	interval := min(slotPollInterval*time.Duration(1+ahead), maxPollInterval/2)
	delay := max(min(p.jitter(interval), queueTime), minPollInterval)
	ticket.expiresAt = s.now.Add(delay + slotPollInterval)
	queue.add(ticket)
	return Decision{Kind: Wait, Delay: delay, Ticket: ticket, Service: s.service.name}
}

// reject rejects the request.
func (p *Picker) reject(s *candidateSearch) Decision {
	return Decision{Kind: Reject, Delay: p.retryAfter(s)}
}

// retryAfter returns when a client should send a rejected request again: once an endpoint is expected to be free for it,
// with jitter so that not all come at the same moment, but early enough that a call can still end in the client's time.
func (p *Picker) retryAfter(s *candidateSearch) time.Duration {
	wanted := p.jitter(s.expectedDelay())
	return max(min(wanted, s.request.TimeLeft-s.shortestCallTime()), 0)
}

// expectedDelay returns the time until an endpoint is expected to be free for the request; zero if one is.
func (s *candidateSearch) expectedDelay() time.Duration {
	expected := s.retryIn
	switch {
	case s.best.endpoint != nil && len(s.service.queue.tickets) == 0:
		return 0
	case s.lateQueueDelay != unknownDelay:
		expected = s.lateQueueDelay
	case s.best.endpoint != nil || s.sawFullWindow:
		expected = s.expectedSlotDelay(len(s.service.queue.tickets)) // once all that wait now have got a slot
	}
	if expected == unknownDelay {
		return noEndpointRetryAfter
	}
	return expected
}

// CancelWait ends the wait of a request whose client has disconnected. The next one may take its turn.
func (p *Picker) CancelWait(now time.Time, ticket *Ticket) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	service := ticket.search.service
	service.queue.remove(ticket)
	for _, e := range service.endpoints {
		service.queue.wake(e, e.concurrencyLimit(now)-e.inFlight)
	}
}

// RetryAfter returns after which time a client should send a request again that endpoints have rejected or not received.
func (p *Picker) RetryAfter(now time.Time, request Request) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	service := p.pickService(&request)
	if service == nil {
		return noEndpointRetryAfter
	}
	s := p.newSearch(now, service, &request)
	p.prepareSearch(&s)
	p.searchRegions(&s)
	return p.retryAfter(&s)
}

// jitter returns a random duration between the given one and twice that.
func (p *Picker) jitter(duration time.Duration) time.Duration {
	return duration + time.Duration(p.random.Float64()*float64(duration))
}
