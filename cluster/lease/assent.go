package lease

import (
	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// QuorumContact is what a leading keeper knows of its lead: when it last asked each of the others something that was
// answered in its own raft term. It is there because raft's VerifyLeader takes any answer that comes after
// the call, also one given before another keeper was elected and read late, by a leader that had been
// stopped. Times are of this keeper's clock.
type QuorumContact struct {
	needed int // of the others: with itself a majority
	term   uint64
	sent   map[cluster.MemberID]api.Micros
}

// NewQuorumContact is for so many keepers, itself among them.
func NewQuorumContact(keepers int) *QuorumContact {
	return &QuorumContact{needed: keepers / 2, sent: map[cluster.MemberID]api.Micros{}}
}

// RecordContact notes that a keeper answered what was sent to it at a time read before, and that both were of this
// raft term. What is heard about an earlier term than before counts no more.
func (a *QuorumContact) RecordContact(raftTerm uint64, from cluster.MemberID, sent api.Micros) {
	if raftTerm > a.term {
		a.term, a.sent = raftTerm, map[cluster.MemberID]api.Micros{}
	}
	if last, ok := a.sent[from]; raftTerm == a.term && (!ok || sent > last) {
		a.sent[from] = sent
	}
}

// HasQuorumSince is whether this keeper surely led at that moment or after it.
func (a *QuorumContact) HasQuorumSince(moment api.Micros) bool {
	heard := 0
	for _, sent := range a.sent {
		if sent >= moment {
			heard++
		}
	}
	return heard >= a.needed
}
