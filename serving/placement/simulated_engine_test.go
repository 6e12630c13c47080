package placement

import (
	"slices"
	"time"

	"rowanlink/serving/attempt"
)

// enter queues a request; the more urgent are read first.
func (e *engine) enter(s *simulation, r *simulated) {
	place := len(e.queue)
	for place > 0 && e.queue[place-1].request.Route.Precedence > r.request.Route.Precedence {
		place--
	}
	e.queue = slices.Insert(e.queue, place, r)
	e.next(s)
}

// next reads the first prompt of the queue.
func (e *engine) next(s *simulation) {
	if e.reading || len(e.queue) == 0 {
		return
	}
	r := e.queue[0]
	e.queue = e.queue[1:]
	e.reading = true
	tokens := r.request.PromptTokens - e.cache.cachedTokens(&r.chain)
	s.countRead(r, e)
	e.read += tokens
	steps := float64(tokens/simulatedChunk+1) * e.step()
	took := time.Duration((float64(tokens)/simulatedRate + steps) * e.slow * float64(time.Millisecond))
	s.after(took, func() {
		e.reading = false
		e.running++
		e.cache.touch(&r.chain)
		s.after(simulatedFirst, func() { s.first(r) })
		e.next(s)
	})
}

// step is how long one token takes, in milliseconds.
func (e *engine) step() float64 { return 6.12 + 0.0234*float64(e.running) }

// countRead notes shared parts that are read though an endpoint of the region has read them.
func (s *simulation) countRead(r *simulated, e *engine) {
	for index, hash := range r.chain.prefixHashes[:r.chain.sharedBlocks] {
		name := regions[r.endpoint.Zone] + r.request.Blocks[index].ID
		if s.known[name] && e.cache.entries[hash] == nil {
			s.readAgain += r.chain.blockTokens[index]
		}
		s.known[name] = true
	}
}

// first passes the first event on and lets the rest follow.
func (s *simulation) first(r *simulated) {
	way := r.proxy.pathLatency(r.ticket.call.endpoint) / 2
	s.after(way, func() {
		r.proxy.ReportProgress(s.at(), r.ticket)
		wait := s.now - r.sentAt
		s.waits = append(s.waits, wait)
		s.answered++
		if wait > r.request.Route.Target {
			s.late++
		}
		if regions[r.endpoint.Zone] != r.proxy.options.Region {
			s.far++
		}
	})
	events := s.lognormal(r.kind.events, 1)
	rest := time.Duration(4 * events * r.engine.step() * r.engine.slow * float64(time.Millisecond))
	s.after(rest+way, func() {
		r.engine.running--
		r.proxy.ReportOutcome(s.at(), r.ticket, attempt.Succeeded)
	})
}

// quantile of the waits for a first event.
func (s *simulation) quantile(share float64) time.Duration {
	slices.Sort(s.waits)
	return s.waits[int(share*float64(len(s.waits)-1))]
}
