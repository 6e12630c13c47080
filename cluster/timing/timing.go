// Package timing derives the time-outs and intervals of raft nodes and members from the lease TTL, so that
// their ratios stand in one place.
package timing

import "rowanlink/webhook/api"

// RaftTiming holds the settings of raft and of its snapshots.
type RaftTiming struct {
	HeartbeatTimeout   api.Micros // without contact for so long a follower starts an election; also the election time-out
	LeaderLeaseTimeout api.Micros // a leader without contact to a quorum for so long steps down
	CommitTimeout      api.Micros // followers learn of a new commit index after so long at the latest
	RPCTimeout         api.Micros // of a call between raft nodes
	SnapshotInterval   api.Micros // how often a raft node checks whether a snapshot is due

	SnapshotThreshold uint64 // a snapshot is due after so many entries
	TrailingLogs      uint64 // entries retained behind a snapshot for followers that lag
}

const (
	snapshotThreshold = 1024
	trailingLogs      = 256
)

// RaftTimingFor derives raft's settings from the lease TTL. raft sends heartbeats at random intervals from a
// tenth to a fifth of HeartbeatTimeout, and a renewal waits for one of them. The loss of a leader is noticed
// and another one elected within half a TTL, so that a session that is renewed every third of the TTL
// survives it.
func RaftTimingFor(ttl api.Micros) RaftTiming {
	return RaftTiming{
		HeartbeatTimeout:   ttl / 8,
		LeaderLeaseTimeout: ttl / 10,
		CommitTimeout:      ttl / 60,
		RPCTimeout:         ttl / 4,
		SnapshotInterval:   ttl,
		SnapshotThreshold:  snapshotThreshold,
		TrailingLogs:       trailingLogs,
	}
}

// ReconfigureInterval is how often the raft nodes compare raft's configuration with the configured members.
func ReconfigureInterval(ttl api.Micros) api.Micros { return ttl / 6 }

// QuorumLossTimeout is how long the raft nodes may have no leader before the quorum counts as lost.
func QuorumLossTimeout(ttl api.Micros) api.Micros { return ttl / 2 }

// LongPollTimeout is how long a raft node holds a request for newer state.
func LongPollTimeout(ttl api.Micros) api.Micros { return ttl / 3 }

// RequestTimeout is how long a member waits for the response of a raft node: less than the interval between
// two renewals.
func RequestTimeout(ttl api.Micros) api.Micros { return ttl / 6 }

// LoggedRequestTimeout is how long a member waits for a request that needs an entry in the log: less than the
// TTL, so that there is time to try another raft node.
func LoggedRequestTimeout(ttl api.Micros) api.Micros { return ttl / 3 }

// AcquireRetryInterval is how long after a rejection a member tries again to acquire a lease that another
// session held, if no raft node has reported its release.
func AcquireRetryInterval(ttl api.Micros) api.Micros { return ttl }

// ProposalTimeout is how long a proposal may take before its outcome is in doubt.
func ProposalTimeout(ttl api.Micros) api.Micros { return ttl }

// AcquireJitter is a random delay before a member tries to acquire a lease that was released; random is from
// [0, 1). Within it most of the other contenders learn that the lease has been granted again.
func AcquireJitter(ttl api.Micros, random float64) api.Micros {
	return api.Micros(random * float64(ttl/30))
}

// maxBackoffDoublings limits the backoff to 16 times its first value.
const maxBackoffDoublings = 4

// RetryBackoff is the delay before the next attempt to reach a raft node after consecutive failures; random is
// from [0, 1). The jitter prevents all members from asking at once after a failure.
func RetryBackoff(ttl api.Micros, failures int, random float64) api.Micros {
	longest := ttl / 60 << min(failures, maxBackoffDoublings)
	return longest/2 + api.Micros(random*float64(longest/2))
}
