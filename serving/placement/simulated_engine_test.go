package placement

import (
	"slices"
	"time"

	"rowanlink/serving/attempt"
)

// enqueue queues a request by priority.
func (e *simulatedEngine) enqueue(s *simulation, r *simulatedRequest) {
	place := len(e.queue)
	for place > 0 && e.queue[place-1].request.Route.Precedence > r.request.Route.Precedence {
		place--
	}
	e.queue = slices.Insert(e.queue, place, r)
	e.prefillNext(s)
}

// prefillNext prefills the first prompt of the queue.
func (e *simulatedEngine) prefillNext(s *simulation) {
	if e.prefilling || len(e.queue) == 0 {
		return
	}
	r := e.queue[0]
	e.queue = e.queue[1:]
	e.prefilling = true
	tokens := r.request.PromptTokens - e.cache.cachedTokens(&r.chain)
	s.countRecomputed(r, e)
	e.prefilledTokens += tokens
	steps := float64(tokens/simulatedChunk+1) * e.decodeMillis()
	took := time.Duration((float64(tokens)/simulatedRate + steps) * e.slowdown * float64(time.Millisecond))
	s.schedule(took, func() {
		e.prefilling = false
		e.running++
		e.cache.touch(&r.chain)
		s.schedule(simulatedFirstEvent, func() { s.sendFirstEvent(r) })
		e.prefillNext(s)
	})
}

// decodeMillis returns the time of one decode step in milliseconds.
func (e *simulatedEngine) decodeMillis() float64 { return 6.12 + 0.0234*float64(e.running) }

// countRecomputed counts shared blocks that are prefilled although another endpoint of the region has prefilled them.
func (s *simulation) countRecomputed(r *simulatedRequest, e *simulatedEngine) {
	for index, hash := range r.chain.prefixHashes[:r.chain.sharedBlocks] {
		name := regions[r.endpoint.Zone] + r.request.Blocks[index].ID
		if s.prefilled[name] && e.cache.entries[hash] == nil {
			s.recomputedTokens += r.chain.blockTokens[index]
		}
		s.prefilled[name] = true
	}
}

// sendFirstEvent delivers the first event of the response and schedules the rest.
func (s *simulation) sendFirstEvent(r *simulatedRequest) {
	oneWay := r.proxy.pathLatency(r.reservation.call.endpoint) / 2
	s.schedule(oneWay, func() {
		r.proxy.ReportProgress(s.time(), r.reservation)
		wait := s.now - r.sentAt
		s.firstByteTimes = append(s.firstByteTimes, wait)
		s.served++
		if wait > r.request.Route.LatencyTarget {
			s.late++
		}
		if regions[r.endpoint.Zone] != r.proxy.options.Region {
			s.remote++
		}
	})
	events := s.lognormal(r.class.events, 1)
	rest := time.Duration(4 * events * r.engine.decodeMillis() * r.engine.slowdown * float64(time.Millisecond))
	s.schedule(rest+oneWay, func() {
		r.engine.running--
		r.proxy.ReportOutcome(s.time(), r.reservation, attempt.Succeeded)
	})
}

// quantile returns a quantile of the times to first event.
func (s *simulation) quantile(share float64) time.Duration {
	slices.Sort(s.firstByteTimes)
	return s.firstByteTimes[int(share*float64(len(s.firstByteTimes)-1))]
}
