package placement

import (
	"math"
	"slices"
	"time"

	"rowanlink/internal/backoff"
)

// Ticket is the place of a waiting request in the queue of its service. It is created by Pick and passed back to Pick
// in Request.Ticket.
type Ticket struct {
	search      candidateSearch // of the last call of Pick
	request     Request         // search.request points to it
	latestStart time.Time       // a call that begins later is not expected to end before the request's deadline
	arrivedAt   time.Time
	expiresAt   time.Time // unless Pick is called again before, the request no longer waits
	ready       chan struct{}
}

// Ready returns a channel from which a value can be received once a slot is free for the request, so that Pick need not
// be called only after Decision.Delay.
func (t *Ticket) Ready() <-chan struct{} { return t.ready }

// waitQueue holds the tickets of the requests that wait for a slot of one service, in the order in which they get one:
// by priority, then by the time at which their call must begin (earliest deadline first), then by arrival.
type waitQueue struct {
	tickets   []*Ticket
	droppedAt time.Time // when expired tickets were last removed
}

// compareTickets orders tickets.
func compareTickets(a, b *Ticket) int {
	if a.search.priority != b.search.priority {
		return a.search.priority - b.search.priority
	}
	if order := a.latestStart.Compare(b.latestStart); order != 0 {
		return order
	}
	return a.arrivedAt.Compare(b.arrivedAt)
}

// add inserts a ticket behind those of equal rank.
func (q *waitQueue) add(ticket *Ticket) {
	index, _ := slices.BinarySearchFunc(q.tickets, ticket, compareToAdded)
	q.tickets = slices.Insert(q.tickets, index, ticket)
}

// remove removes a ticket if it is in the queue.
func (q *waitQueue) remove(ticket *Ticket) {
	if index := slices.Index(q.tickets, ticket); index >= 0 {
		q.tickets = slices.Delete(q.tickets, index, index+1)
	}
}

// dropExpired removes the tickets whose requests no longer wait, once in slotPollInterval.
func (q *waitQueue) dropExpired(now time.Time) {
	if now.Sub(q.droppedAt) < slotPollInterval {
		return
	}
	q.droppedAt = now
	q.tickets = slices.DeleteFunc(q.tickets, func(t *Ticket) bool { return !now.Before(t.expiresAt) })
}

// countAhead returns how many tickets come before the given one, which isn't in the queue, or rank equally.
func (q *waitQueue) countAhead(ticket *Ticket) int {
	index, _ := slices.BinarySearchFunc(q.tickets, ticket, compareToAdded)
	return index
}

// compareToAdded orders a ticket of the queue before an added one of equal rank.
func compareToAdded(known, added *Ticket) int {
	if compareTickets(known, added) <= 0 {
		return -1
	}
	return 1
}

// mustYield reports whether a request that is not in the queue has to leave the endpoint to others that may use it too:
// to any of higher priority and, unless slots are free for all of them, to those of the same priority that rank before it.
func (q *waitQueue) mustYield(ticket *Ticket, e *endpoint, freeSlots func() int) bool {
	ahead, free := 0, 0
	for _, other := range q.tickets {
		if compareTickets(other, ticket) >= 0 {
			return false
		}
		if !other.search.isUsable(e) {
			continue
		}
		if other.search.priority < ticket.search.priority {
			return true
		}
		if ahead == 0 {
			free = freeSlots()
		}
		if ahead++; ahead >= free {
			return true
		}
	}
	return false
}

// wake signals the first requests that may use an endpoint, one for each of its free slots.
func (q *waitQueue) wake(e *endpoint, freeSlots int) {
	for _, ticket := range q.tickets {
		if freeSlots <= 0 {
			return
		}
		if !ticket.search.isUsable(e) {
			continue
		}
		freeSlots--
		select {
		case ticket.ready <- struct{}{}:
		default: // it has been signaled already
		}
	}
}

// newTicket returns the ticket of a search, which isn't in the queue yet. It is the request's earlier one, with the rank
// that it had, if that was issued for the same service.
func (s *candidateSearch) newTicket() *Ticket {
	ticket := s.request.Ticket
	if ticket == nil || ticket.search.service != s.service {
		ticket = &Ticket{
			latestStart: s.now.Add(s.request.TimeLeft - s.shortestCallTime()),
			arrivedAt:   s.now.Add(-s.request.QueuedFor),
			ready:       make(chan struct{}, 1),
		}
	}
	ticket.search, ticket.request = *s, *s.request
	ticket.search.request = &ticket.request
	ticket.request.Ticket = nil
	return ticket
}

// leaveQueue removes the request's earlier ticket from its queue.
func (r *Request) leaveQueue(now time.Time, queue *waitQueue) {
	queue.dropExpired(now)
	if r.Ticket != nil {
		queue.remove(r.Ticket)
	}
}

// freeSlots returns the number of free slots at all endpoints that the request may use.
func (s *candidateSearch) freeSlots() (free int) {
	for _, e := range s.service.endpoints {
		if s.isUsable(e) {
			free += max(e.concurrencyLimit(s.now)-e.inFlight, 0)
		}
	}
	return free
}

// shortestSlotDelay returns the least time until a request before which ahead others get a slot can get one: that of the
// others' calls if this proxy had all the slots that it may ever use.
func (s *candidateSearch) shortestSlotDelay(ahead int) time.Duration {
	if ahead == 0 {
		return 0
	}
	slots := 0.0
	for _, e := range s.service.endpoints {
		if s.isUsable(e) {
			slots += max(math.Floor(backoff.HealthyShare*e.slots()), 1)
		}
	}
	if slots == 0 {
		return unknownDelay
	}
	return time.Duration(float64(s.service.callTime(s.now)) * float64(ahead) / slots)
}

// maxSlotScan is the largest number of calls in flight whose ends are estimated one by one.
const maxSlotScan = 1024

// expectedSlotDelay returns the time until a slot is expected to become free for a request before which ahead others get
// one. It is unknownDelay if no call is in flight that could free one.
func (s *candidateSearch) expectedSlotDelay(ahead int) time.Duration {
	callTime := time.Duration(s.service.callMillis * float64(time.Millisecond))
	calls, place := 0, ahead
	var left []time.Duration
	for _, e := range s.service.endpoints {
		if !s.isUsable(e) {
			continue
		}
		calls += e.inFlight
		place += max(e.inFlight-e.concurrencyLimit(s.now), 0) // the first calls that end free no slot
		for _, c := range e.calls[:min(len(e.calls), maxSlotScan-len(left))] {
			left = append(left, c.expectedTimeLeft(s.now, callTime))
		}
	}
	if calls == 0 {
		return unknownDelay
	}
	if calls > len(left) {
		return callTime * time.Duration(place+1) / time.Duration(calls)
	}
	slices.Sort(left)
	return left[place%calls] + callTime*time.Duration(place/calls)
}

// expectedTimeLeft returns the time until a call is expected to end, if calls usually take callTime. The longer a call
// is overdue, the longer it is expected to stay so.
func (c *call) expectedTimeLeft(now time.Time, callTime time.Duration) time.Duration {
	return (callTime + c.pathLatency - now.Sub(c.sentAt)).Abs()
}
