// Package timing derives from the term how fast keepers and members go: ratios, in one place.
package timing

import "rowanlink/webhook/api"

// RaftTiming is the pace of the keepers' log.
type RaftTiming struct {
	HeartbeatTimeout   api.Micros // a leader not heard for so long is gone, and a vote that takes longer is over
	LeaderLeaseTimeout api.Micros // a leader that hears no majority for so long leads no more
	CommitTimeout      api.Micros // what was committed is told to the others after so long at the latest
	RPCTimeout         api.Micros // a call from keeper to keeper fails after it
	SnapshotInterval   api.Micros // how often it is looked at whether a snapshot is due

	SnapshotThreshold, TrailingLogs uint64 // a snapshot is due after so many entries; so many are kept for who lags behind it
}

// RaftTimingFor is the log's pace by the term. Its calls of life are sent every tenth to fifth of Silence: what keeps
// a session alive waits for one of them. A leader's loss is noticed and a vote held within half a term, so
// that a session renewed every third outlives it.
func RaftTimingFor(term api.Micros) RaftTiming {
	return RaftTiming{HeartbeatTimeout: term / 8, LeaderLeaseTimeout: term / 10, CommitTimeout: term / 60, RPCTimeout: term / 4, SnapshotInterval: term,
		SnapshotThreshold: 1024, TrailingLogs: 256}
}

// ReconfigureInterval is how often keepers compare who they are with who they should be.
func ReconfigureInterval(term api.Micros) api.Micros { return term / 6 }

// QuorumLossTimeout is after how long without a leader the keepers have no majority.
func QuorumLossTimeout(term api.Micros) api.Micros { return term / 2 }

// LongPollTimeout is how long an ask for newer state waits.
func LongPollTimeout(term api.Micros) api.Micros { return term / 3 }

// RequestTimeout is how long a member waits for a keeper's answer: less than the time to its next ask.
func RequestTimeout(term api.Micros) api.Micros { return term / 6 }

// LoggedRequestTimeout is how long a member waits for what has to go through the log: less than a term, so that another
// keeper can still be asked.
func LoggedRequestTimeout(term api.Micros) api.Micros { return term / 3 }

// AcquireRetryInterval is after how long a member asks for a task that another held, though nobody told that it is free.
func AcquireRetryInterval(term api.Micros) api.Micros { return term }

// ProposalTimeout is how long a proposal may take before its outcome is unsure.
func ProposalTimeout(term api.Micros) api.Micros { return term }

// AcquireJitter is how long a member waits before it asks for a task that became free, by a draw from [0, 1): most
// of those who want it hear of its next grant meanwhile.
func AcquireJitter(term api.Micros, draw float64) api.Micros {
	return api.Micros(draw * float64(term/30))
}

// RetryBackoff is how long to wait before a keeper is asked again after so many failures in a row, by a draw from
// [0, 1): spread, guarding against all members asking in one moment after a loss.
func RetryBackoff(term api.Micros, failures int, draw float64) api.Micros {
	most := term / 60 << min(failures, 4)
	return most/2 + api.Micros(draw*float64(most/2))
}
