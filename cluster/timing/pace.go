// Package timing derives from the term how fast keepers and members go: ratios, in one place.
package timing

import "rowanlink/webhook/api"

// Log is the pace of the keepers' log.
type Log struct {
	Silence api.Micros // a leader not heard for so long is gone, and a vote that takes longer is over
	Lease   api.Micros // a leader that hears no majority for so long leads no more
	Tell    api.Micros // what was committed is told to the others after so long at the latest
	Call    api.Micros // a call from keeper to keeper fails after it
	Look    api.Micros // how often it is looked at whether a snapshot is due

	Entries, Trail uint64 // a snapshot is due after so many entries; so many are kept for who lags behind it
}

// OfLog is the log's pace by the term. Its calls of life are sent every tenth to fifth of Silence: what keeps
// a session alive waits for one of them. A leader's loss is noticed and a vote held within half a term, so
// that a session renewed every third outlives it.
func OfLog(term api.Micros) Log {
	return Log{Silence: term / 8, Lease: term / 10, Tell: term / 60, Call: term / 4, Look: term,
		Entries: 1024, Trail: 256}
}

// Tending is how often keepers compare who they are with who they should be.
func Tending(term api.Micros) api.Micros { return term / 6 }

// Missing is after how long without a leader the keepers have no majority.
func Missing(term api.Micros) api.Micros { return term / 2 }

// LongPoll is how long an ask for newer state waits.
func LongPoll(term api.Micros) api.Micros { return term / 3 }

// Answer is how long a member waits for a keeper's answer: less than the time to its next ask.
func Answer(term api.Micros) api.Micros { return term / 6 }

// Opening is how long a member waits for what has to go through the log: less than a term, so that another
// keeper can still be asked.
func Opening(term api.Micros) api.Micros { return term / 3 }

// Reask is after how long a member asks for a task that another held, though nobody told that it is free.
func Reask(term api.Micros) api.Micros { return term }

// Proposing is how long a proposal may take before its outcome is unsure.
func Proposing(term api.Micros) api.Micros { return term }

// Spread is how long a member waits before it asks for a task that became free, by a draw from [0, 1): most
// of those who want it hear of its next grant meanwhile.
func Spread(term api.Micros, draw float64) api.Micros {
	return api.Micros(draw * float64(term/30))
}

// Again is how long to wait before a keeper is asked again after so many failures in a row, by a draw from
// [0, 1): spread, guarding against all members asking in one moment after a loss.
func Again(term api.Micros, failures int, draw float64) api.Micros {
	most := term / 60 << min(failures, 4)
	return most/2 + api.Micros(draw*float64(most/2))
}
