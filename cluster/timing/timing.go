// Package timing derives the time-outs and intervals of raft nodes and members from the lease TTL, so that
// all ratios between them are defined in one place.
package timing

import "rowanlink/webhook/api"

// RaftTiming holds raft's time-outs, intervals and snapshot settings.
type RaftTiming struct {
	HeartbeatTimeout   api.Micros // time without contact after which a follower starts an election, and election time-out
	LeaderLeaseTimeout api.Micros // time without contact to a quorum after which a leader steps down
	CommitTimeout      api.Micros // time without new entries after which a leader sends its commit index to the followers
	RPCTimeout         api.Micros // time-out of a call between raft nodes
	SnapshotInterval   api.Micros // how often a raft node checks whether a snapshot is due

	SnapshotThreshold uint64 // number of new entries after which a snapshot is due
	TrailingLogs      uint64 // number of entries kept in the log after a snapshot, for followers that lag behind
}

const (
	snapshotThreshold = 1024
	trailingLogs      = 256
)

// RaftTimingFor derives raft's settings from the lease TTL. raft sends heartbeats at random intervals between
// a tenth and a fifth of HeartbeatTimeout, and a renewal waits for the next heartbeat. Followers notice the
// loss of a leader and elect another one within half a TTL. A session, which is renewed every third of the
// TTL, survives that.
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

// LongPollTimeout is how long a raft node holds a request for newer state before it answers that there is none.
func LongPollTimeout(ttl api.Micros) api.Micros { return ttl / 3 }

// RequestTimeout is how long a member waits for the response of a raft node: less than the interval between
// two renewals.
func RequestTimeout(ttl api.Micros) api.Micros { return ttl / 6 }

// LoggedRequestTimeout is how long a member waits for the response to a request that needs a log entry: less
// than the TTL, so that there is time to try another raft node.
func LoggedRequestTimeout(ttl api.Micros) api.Micros { return ttl / 3 }

// AcquireRetryInterval is how long after a rejection a member retries to acquire a lease that another session
// held. It retries earlier if a raft node reports that the lease was released.
func AcquireRetryInterval(ttl api.Micros) api.Micros { return ttl }

// ProposalTimeout is how long a leader waits for raft to accept a proposal into its queue.
func ProposalTimeout(ttl api.Micros) api.Micros { return ttl }

// AcquireJitter is a random delay, up to a 30th of the TTL, before a member tries to acquire a lease that was
// released; random is from [0, 1). During the delay most contenders learn that another one was granted the
// lease, and need not try.
func AcquireJitter(ttl api.Micros, random float64) api.Micros {
	return api.Micros(random * float64(ttl/30))
}

// maxBackoffDoublings limits the backoff to 2^4 = 16 times its first value.
const maxBackoffDoublings = 4

// RetryBackoff is the delay before the next attempt to reach a raft node after consecutive failures; random is
// from [0, 1). The random half of the delay prevents all members from retrying at once after a failure.
func RetryBackoff(ttl api.Micros, failures int, random float64) api.Micros {
	longest := ttl / 60 << min(failures, maxBackoffDoublings)
	return longest/2 + api.Micros(random*float64(longest/2))
}
