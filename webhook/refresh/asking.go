// Package refresh decides when a dispatcher asks discovery for its list, how long an ask or a watch may say
// nothing, and how long a new process keeps its calls back for its first list. It does no I/O, has no clock.
//
// One dispatcher that asks four times a second is harmless. Where discovery serves fewer than all of a fleet
// ask for, those asks are what keeps it from serving any: a refused ask costs it, too. An agent on the
// dispatcher's own machine, to which lists are pushed, serves one alone, and what it has counts as told.
package refresh

import (
	"cmp"

	"rowanlink/internal/mwcrand"
	"rowanlink/webhook/api"
	"rowanlink/webhook/policy"
)

// Parts of the period of a watch's lines. What a watch missed counts as told three periods after it fell
// silent, two after a move: the sums are in docs/design.md, "The list's clock", and in the tests.
const (
	silentBy  = 1.2 // a watch that said nothing for so long is broken: its line is late by a fifth
	answerBy  = 1.1 // a busy discovery that queues an ask for a whole period still serves it
	connectBy = 0.5
	breathBy  = 0.125 // longest wait after a silence, which itself spread a fleet: its lines fall apart

	pushedBy = 0.125  // an agent answers at once: after so long it is silent
	paceBy   = 0.0625 // m for an agent that refuses or ends a watch: well inside a drain's grace
)

// unitBy is the unit of the design's schedule in periods, longestBy the schedule's m, downBy its m while
// discovery is silent: with the ask that hangs as it returns it stays within three periods.
const (
	unitBy    = 0.5
	longestBy = 2
	downBy    = 1.5
)

// Asks in a row without an answer: after so many the schedule spreads them, and where lists are pushed each
// one of so many has all the time that a discovery has, for an agent that is slower than the protocol's.
const (
	breaths  = 2
	patience = 32
)

// End is why another ask is due.
type End uint8

const (
	Started End = iota // the process has asked for nothing yet
	Moved              // discovery is at another address
	Silent             // nothing came in its time: a connection, an answer, a watch's line
	Ended              // refused, reset or closed
	Broken             // a list that can't be read
)

// Ask says when an ask begins and what it may take, in µs.
type Ask struct {
	After   api.Micros // from now on
	Connect api.Micros // for the connection to come up
	Answer  api.Micros // for the answer's head, from when the ask begins, connecting included
	Silence api.Micros // between two signs of life of the watch
}

// Asking is one dispatcher's.
type Asking struct {
	period api.Micros
	chance *mwcrand.Source
	// In a row: asks that were refused or ended, silences, watches that brought a list that can't be read.
	failed, silences, broken int
}

// New draws by a dispatcher's seed; linePeriod is how often a watch says something.
func New(seed uint64, linePeriod api.Micros) *Asking {
	return &Asking{period: cmp.Or(linePeriod, api.Second), chance: mwcrand.New(seed)}
}

// Heard notes a sign of life of a watch: the next wait is the schedule's first again.
func (a *Asking) Heard() { a.failed, a.silences = 0, 0 }

// Hold is how long the calls of a new process wait at most for the first list, in µs. Where lists are asked
// for, the kept one holds: it would cost each webhook of a restart up to the schedule's first wait.
func (a *Asking) Hold(pushed bool) api.Micros {
	if !pushed {
		return 0
	}
	return a.part(pushedBy)
}

// Next is the next ask. Pushed lists are asked for at once: from an agent of one's own, at no cost, and what
// it has is told. Otherwise the design's schedule spreads a fleet that starts, is moved, is refused or loses
// its watches together; only what fell silent is asked for sooner, since its clock runs already. It could
// harm where discovery is well and ends one watch: its dispatcher hears up to half a period late.
func (a *Asking) Next(why End, pushed bool) Ask {
	ask := Ask{Connect: a.part(connectBy), Answer: a.part(answerBy), Silence: a.part(silentBy)}
	switch why {
	case Started, Moved:
		a.failed, a.silences = 0, 0
	case Silent:
		a.silences++
	}
	if why == Broken {
		a.broken++
	} else {
		a.broken = 0
	}
	switch {
	case a.broken > 1: // the same again, and a log line each: an agent, too, is not asked at its pace
		ask.After = a.wait(longestBy, a.broken-2)
	case pushed && why < Ended: // what a silence took is pace enough, and an ask is open as discovery returns
	case pushed:
		ask.After = a.wait(paceBy, a.failed)
	case why == Silent && a.silences <= breaths:
		ask.After = api.Micros(a.chance.Float64() * float64(a.part(breathBy)))
	case why == Silent:
		ask.After = a.wait(downBy, a.silences-breaths-1)
	default:
		ask.After = a.wait(longestBy, a.failed)
		a.failed++
	}
	if pushed {
		ask.Connect = a.part(pushedBy)
		if a.silences%patience != patience-1 {
			ask.Answer = a.part(pushedBy)
		}
	}
	return ask
}

// wait is the schedule's i-th wait with an m in periods.
func (a *Asking) wait(m float64, i int) api.Micros {
	s := policy.Backoff(m/unitBy, i, a.chance.Float64()).Seconds()
	return api.Micros(s * unitBy * float64(a.period))
}

func (a *Asking) part(by float64) api.Micros { return api.Micros(by * float64(a.period)) }
