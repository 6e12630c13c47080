package lease

import (
	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// QuorumContact records when a leading raft node last sent each peer a message that was acknowledged in the
// leader's own raft term, and so up to when it surely led. raft's VerifyLeader does not suffice: it accepts any
// acknowledgement that arrives after the call, including one that was given before another leader was elected
// and that a stopped leader reads late. Times are of the leader's clock.
type QuorumContact struct {
	quorumPeers int // acknowledging peers that form a majority together with the leader
	raftTerm    uint64
	lastContact map[cluster.MemberID]api.Micros // when the last acknowledged message was sent
}

// NewQuorumContact is for a configuration of so many voters, the leader among them.
func NewQuorumContact(voters int) *QuorumContact {
	return &QuorumContact{quorumPeers: voters / 2, lastContact: map[cluster.MemberID]api.Micros{}}
}

// RecordContact records that a peer acknowledged, in the given raft term, a message that was sent at the given
// time. Contacts of an earlier raft term no longer count.
func (q *QuorumContact) RecordContact(raftTerm uint64, from cluster.MemberID, sent api.Micros) {
	if raftTerm > q.raftTerm {
		q.raftTerm = raftTerm
		q.lastContact = map[cluster.MemberID]api.Micros{}
	}
	last, known := q.lastContact[from]
	if raftTerm == q.raftTerm && (!known || sent > last) {
		q.lastContact[from] = sent
	}
}

// HasQuorumSince reports whether this raft node surely led at the given time or later.
func (q *QuorumContact) HasQuorumSince(t api.Micros) bool {
	contacted := 0
	for _, sent := range q.lastContact {
		if sent >= t {
			contacted++
		}
	}
	return contacted >= q.quorumPeers
}
