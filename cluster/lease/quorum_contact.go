package lease

import (
	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// QuorumContact is kept by a leading raft node. For each peer it records when the node sent the last message that the
// peer acknowledged in the node's own raft term. These times show until when the node certainly led. The raft
// library's VerifyLeader does not suffice: it counts any acknowledgement that arrives after the call, including one
// that the peer gave before another leader was elected and that a paused leader reads late. Times are from the
// leader's clock.
type QuorumContact struct {
	quorumPeers int // number of peers that form a majority together with the leader
	raftTerm    uint64
	lastContact map[cluster.MemberID]api.Micros // when the last acknowledged message was sent
}

// NewQuorumContact returns a QuorumContact for a raft configuration with the given number of voters, including the
// leader.
func NewQuorumContact(voters int) *QuorumContact {
	return &QuorumContact{quorumPeers: voters / 2, lastContact: map[cluster.MemberID]api.Micros{}}
}

// RecordContact records that a peer acknowledged, in the given raft term, a message that was sent at the given time.
// Contacts of earlier raft terms no longer count.
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

// HasQuorumSince reports whether this raft node certainly led at time t or later: a majority, including the node
// itself, has acknowledged messages that were sent at t or later.
func (q *QuorumContact) HasQuorumSince(t api.Micros) bool {
	contacted := 0
	for _, sent := range q.lastContact {
		if sent >= t {
			contacted++
		}
	}
	return contacted >= q.quorumPeers
}
