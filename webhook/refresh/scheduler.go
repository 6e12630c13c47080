// Package refresh decides when a dispatcher requests the endpoint list from discovery, how long a request or a watch
// may be silent, and how long a new process delays its calls for its first list. It does no I/O and has no clock.
//
// The delays between requests protect discovery. One dispatcher that polls four times a second is harmless; but if all
// dispatchers together send more requests than discovery can serve, rejecting them takes so much of its time that it
// serves none. Requests to an agent on the dispatcher's own machine, to which lists are pushed, have shorter delays:
// the agent serves only that dispatcher.
package refresh

import (
	"cmp"

	"rowanlink/internal/mwcrand"
	"rowanlink/webhook/api"
	"rowanlink/webhook/policy"
)

// Time-outs and delays, in periods; a watch sends one line per period. Changes of the list that a watch missed count as
// notified three periods after the watch fell silent, or two periods after a change of discovery's address: until then
// the dispatcher must have the list again. The sums of the values below along each path are in docs/design.md, "The
// list's clock", and in the tests.
const (
	idleTimeoutPeriods     = 1.2   // a watch that is silent for this long is broken: its line is a fifth of a period late
	responseTimeoutPeriods = 1.1   // leaves a busy discovery time to queue a request for a whole period
	connectTimeoutPeriods  = 0.5   // time to establish the connection
	maxJitterPeriods       = 0.125 // longest delay after a time-out, since time-outs have spread the dispatchers already

	pushedTimeoutPeriods = 0.125 // an agent answers at once: after this long it is unresponsive

	// pushedMaxBackoffPeriods is the longest delay after an agent has refused a request or ended a watch: well within
	// the grace period of a drain.
	pushedMaxBackoffPeriods = 0.0625
)

// The backoff schedule.
const (
	backoffUnitPeriods = 0.5 // unit of the schedule in package backoff
	maxBackoffPeriods  = 2.0 // longest delay of the schedule
	// maxUnresponsiveBackoffPeriods is the longest delay while discovery doesn't answer. A request that is hanging when
	// discovery returns takes its whole time-out; with this delay added, the list still arrives within three periods.
	maxUnresponsiveBackoffPeriods = 1.5
)

// Numbers of consecutive requests without an answer.
const (
	// The first jitteredTimeouts time-outs are each followed by a short random delay, later ones by a delay of the
	// schedule.
	jitteredTimeouts = 2
	// While requests to an agent time out, every longTimeoutInterval-th one has the response time-out of a request to
	// discovery, for an agent that answers more slowly than the protocol expects.
	longTimeoutInterval = 32
)

// Reason says why another request is due.
type Reason uint8

// Reasons. Their order matters: those from Closed on are reactions of the other side, such as a refusal, see delay.
const (
	Started        Reason = iota // the process has requested nothing yet
	AddressChanged               // discovery is at another address
	TimedOut                     // no connection, response or line of a watch in time
	Closed                       // the request or watch was refused, reset or closed
	Malformed                    // a list was received that can't be parsed
)

// Request says when a request begins and which time-outs it has.
type Request struct {
	Delay           api.Micros // from now until the request begins
	ConnectTimeout  api.Micros
	ResponseTimeout api.Micros // for the response header, from the beginning of the request, connecting included
	IdleTimeout     api.Micros // between two reads of the watch that return data
}

// Scheduler schedules the requests of one dispatcher. It is not safe for concurrent use.
type Scheduler struct {
	period api.Micros
	random *mwcrand.Source
	// failures counts the consecutive requests to discovery that the schedule has delayed, mostly after a refusal or a
	// closed watch.
	failures  int
	timeouts  int // consecutive time-outs
	malformed int // consecutive watches that sent a malformed list
}

// New returns a Scheduler with a dispatcher's random seed; linePeriod is the time between two lines of a watch,
// one second if it is 0.
func New(seed uint64, linePeriod api.Micros) *Scheduler {
	return &Scheduler{period: cmp.Or(linePeriod, api.Second), random: mwcrand.New(seed)}
}

// RecordActivity records that a watch has received data, which restarts the schedule at its first delay.
func (s *Scheduler) RecordActivity() {
	s.failures = 0
	s.timeouts = 0
}

// StartupDelay returns the longest time for which a new process holds back its calls to wait for the first list. Where
// lists aren't pushed, the process uses the stored list at once: waiting would delay each webhook after a restart by up
// to the schedule's first delay.
func (s *Scheduler) StartupDelay(pushed bool) api.Micros {
	if !pushed {
		return 0
	}
	return s.periods(pushedTimeoutPeriods)
}

// Next returns the next request and records the reason for it. Pushed lists are requested at once, since an agent
// serves one dispatcher. Requests to discovery follow the backoff schedule, which spreads dispatchers that start, get
// another address, are refused or lose their watches at the same time. Only after a time-out the request comes sooner,
// since part of the time within which the dispatcher must have the list has passed. The schedule does harm where a
// healthy discovery ends a single watch: that dispatcher is notified up to half a period late.
func (s *Scheduler) Next(reason Reason, pushed bool) Request {
	s.updateCounters(reason)
	request := Request{
		Delay:           s.delay(reason, pushed),
		ConnectTimeout:  s.periods(connectTimeoutPeriods),
		ResponseTimeout: s.periods(responseTimeoutPeriods),
		IdleTimeout:     s.periods(idleTimeoutPeriods),
	}
	if !pushed {
		return request
	}
	request.ConnectTimeout = s.periods(pushedTimeoutPeriods)
	if s.timeouts%longTimeoutInterval != longTimeoutInterval-1 {
		request.ResponseTimeout = s.periods(pushedTimeoutPeriods)
	}
	return request
}

// updateCounters updates the numbers of consecutive time-outs and malformed lists, and resets the schedule at a new
// start or address. delay advances failures.
func (s *Scheduler) updateCounters(reason Reason) {
	switch reason {
	case Started, AddressChanged:
		s.failures = 0
		s.timeouts = 0
	case TimedOut:
		s.timeouts++
	}
	if reason == Malformed {
		s.malformed++
	} else {
		s.malformed = 0
	}
}

// delay returns the time until the next request begins, and advances the schedule where it is used for discovery.
func (s *Scheduler) delay(reason Reason, pushed bool) api.Micros {
	switch {
	case s.malformed > 1: // each request would return and log the same malformed list; an agent is backed off from, too
		return s.backoff(maxBackoffPeriods, s.malformed-2)
	case pushed && reason < Closed: // time-outs limit the request rate, and a request is open when discovery returns
		return 0
	case pushed:
		return s.backoff(pushedMaxBackoffPeriods, s.failures)
	case reason == TimedOut && s.timeouts <= jitteredTimeouts:
		return api.Micros(s.random.Float64() * float64(s.periods(maxJitterPeriods)))
	case reason == TimedOut:
		return s.backoff(maxUnresponsiveBackoffPeriods, s.timeouts-jitteredTimeouts-1)
	}
	delay := s.backoff(maxBackoffPeriods, s.failures)
	s.failures++
	return delay
}

// backoff returns delay i of the schedule, counted from 0, with a longest delay in periods.
func (s *Scheduler) backoff(maximum float64, i int) api.Micros {
	seconds := policy.Backoff(maximum/backoffUnitPeriods, i, s.random.Float64()).Seconds()
	return api.Micros(seconds * backoffUnitPeriods * float64(s.period))
}

func (s *Scheduler) periods(n float64) api.Micros { return api.Micros(n * float64(s.period)) }
