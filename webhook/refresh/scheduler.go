// Package refresh decides when a dispatcher requests the endpoint list from discovery, how long a request or a watch may
// be silent, and how long a new process delays its calls for its first list. It does no I/O and has no clock.
//
// One dispatcher that polls four times a second is harmless. Where discovery serves fewer requests than all dispatchers
// send, the requests themselves keep it from serving any: a refused one costs it, too. An agent on the dispatcher's own
// machine, to which lists are pushed, serves that dispatcher alone.
package refresh

import (
	"cmp"

	"rowanlink/internal/mwcrand"
	"rowanlink/webhook/api"
	"rowanlink/webhook/policy"
)

// Time-outs and delays, in periods of a watch's lines. What a watch missed counts as notified three periods after it
// fell silent, two after a change of address: the sums are in docs/design.md, "The list's clock", and in the tests.
const (
	idleTimeoutPeriods     = 1.2   // a watch that is silent for so long is broken: its line is late by a fifth
	responseTimeoutPeriods = 1.1   // a busy discovery that queues a request for a whole period still serves it
	connectTimeoutPeriods  = 0.5   // for the connection to be established
	maxJitterPeriods       = 0.125 // longest delay after a time-out, which itself spread the dispatchers

	pushedTimeoutPeriods    = 0.125  // an agent answers at once: after so long it is unresponsive
	pushedMaxBackoffPeriods = 0.0625 // for an agent that refuses or ends a watch: well within a drain's grace
)

// The backoff schedule.
const (
	backoffUnitPeriods = 0.5 // unit of the schedule
	maxBackoffPeriods  = 2.0 // its longest delay
	// maxUnresponsiveBackoffPeriods is the longest delay while discovery doesn't answer: with the request that hangs as it
	// returns the sum stays within three periods.
	maxUnresponsiveBackoffPeriods = 1.5
)

// Requests in a row without an answer.
const (
	jitteredTimeouts = 2 // from then on the schedule spreads them
	// patientInterval is how often a request to an agent has all the time that a discovery has, for an agent that is slower
	// than the protocol's.
	patientInterval = 32
)

// Reason says why another request is due.
type Reason uint8

// Reasons. The order matters: those before Closed are not the other side's refusal.
const (
	Started        Reason = iota // the process has requested nothing yet
	AddressChanged               // discovery is at another address
	TimedOut                     // nothing arrived in time: a connection, a response, a watch's line
	Closed                       // refused, reset or closed
	Malformed                    // a list that can't be read
)

// Request says when a request begins and which time-outs it has.
type Request struct {
	Delay           api.Micros // from now on
	ConnectTimeout  api.Micros
	ResponseTimeout api.Micros // for the response header, from the beginning of the request, connecting included
	IdleTimeout     api.Micros // between two reads of the watch that return data
}

// Scheduler schedules the requests of one dispatcher. It is not safe for concurrent use.
type Scheduler struct {
	period api.Micros
	random *mwcrand.Source
	// In a row: requests that were refused or closed, time-outs, watches that sent a malformed list.
	failures, timeouts, malformed int
}

// New returns a Scheduler with a dispatcher's random seed; linePeriod is the time between two lines of a watch.
func New(seed uint64, linePeriod api.Micros) *Scheduler {
	return &Scheduler{period: cmp.Or(linePeriod, api.Second), random: mwcrand.New(seed)}
}

// RecordActivity records that a watch has received something: the next delay is the schedule's first again.
func (s *Scheduler) RecordActivity() {
	s.failures = 0
	s.timeouts = 0
}

// StartupDelay is how long the calls of a new process wait at most for the first list. Where lists are requested the
// stored list is used at once: waiting would cost each webhook of a restart up to the schedule's first delay.
func (s *Scheduler) StartupDelay(pushed bool) api.Micros {
	if !pushed {
		return 0
	}
	return s.periods(pushedTimeoutPeriods)
}

// Next returns the next request. Pushed lists are requested at once, since an agent serves one dispatcher. Otherwise the
// design's schedule spreads dispatchers that start, are moved, are refused or lose their watches together; only after a
// time-out the request comes sooner, since the clock of the list runs already. It could do harm where discovery is
// healthy and ends one watch: its dispatcher is notified up to half a period late.
func (s *Scheduler) Next(reason Reason, pushed bool) Request {
	s.count(reason)
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
	if s.timeouts%patientInterval != patientInterval-1 {
		request.ResponseTimeout = s.periods(pushedTimeoutPeriods)
	}
	return request
}

func (s *Scheduler) count(reason Reason) {
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

func (s *Scheduler) delay(reason Reason, pushed bool) api.Micros {
	switch {
	case s.malformed > 1: // the same list again, and a log line each: an agent is backed off from, too
		return s.backoff(maxBackoffPeriods, s.malformed-2)
	case pushed && reason < Closed: // a time-out is delay enough, and a request is open when discovery returns
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

// backoff is delay i of the schedule with a maximum in periods.
func (s *Scheduler) backoff(maximum float64, i int) api.Micros {
	seconds := policy.Backoff(maximum/backoffUnitPeriods, i, s.random.Float64()).Seconds()
	return api.Micros(seconds * backoffUnitPeriods * float64(s.period))
}

func (s *Scheduler) periods(n float64) api.Micros { return api.Micros(n * float64(s.period)) }
