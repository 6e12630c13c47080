package raftnode

import (
	"sync"

	"github.com/hashicorp/raft"

	"rowanlink/cluster/lease"
	"rowanlink/webhook/api"
)

// contactTransport is raft's transport, which also records when each server followed this leader last. The heartbeats
// that raft sends several times in each election time-out are enough for lease.QuorumContact; a renewal sends nothing
// more.
//
// It differs from raft's own transport in two ways, both because of faults of raft v1.7.3 that docs/cluster.md
// describes: see SetHeartbeatHandler and boundCommitIndex.
type contactTransport struct {
	*raft.NetworkTransport
	clock     func() api.Micros
	contacted chan struct{} // receives after each recorded contact; holds one

	mu          sync.Mutex
	term        uint64                       // raft term of lastContact
	lastContact map[raft.ServerID]api.Micros // when the last request that was answered was sent
}

func newContactTransport(t *raft.NetworkTransport, clock func() api.Micros) *contactTransport {
	return &contactTransport{
		NetworkTransport: t,
		clock:            clock,
		contacted:        make(chan struct{}, 1),
		lastContact:      map[raft.ServerID]api.Micros{},
	}
}

// SetHeartbeatHandler ignores the handler, so that heartbeats are handled by raft's main loop like all other requests.
// In the handler, a leader that was stopped would adopt the later term of a heartbeat concurrently with the main loop,
// which would then write the leader's own last entries under that term, and take them for the new leader's.
func (t *contactTransport) SetHeartbeatHandler(func(raft.RPC)) {}

// AppendEntries sends a request and records when it was sent, if the response is of the same raft term.
func (t *contactTransport) AppendEntries(
	id raft.ServerID, target raft.ServerAddress, request *raft.AppendEntriesRequest, response *raft.AppendEntriesResponse,
) error {
	term, sentAt := request.Term, t.clock()
	err := t.NetworkTransport.AppendEntries(id, target, boundCommitIndex(request), response)
	if err == nil && response.Term == term {
		t.recordContact(id, term, sentAt)
	}
	return err
}

// AppendEntriesPipeline returns a pipeline for requests that are sent before earlier ones are answered. It records no contact.
func (t *contactTransport) AppendEntriesPipeline(
	id raft.ServerID, target raft.ServerAddress,
) (raft.AppendPipeline, error) {
	pipeline, err := t.NetworkTransport.AppendEntriesPipeline(id, target)
	if err != nil {
		return nil, err
	}
	return boundedPipeline{pipeline}, nil
}

// boundedPipeline applies boundCommitIndex to each request.
type boundedPipeline struct{ raft.AppendPipeline }

// AppendEntries sends a request.
func (p boundedPipeline) AppendEntries(
	request *raft.AppendEntriesRequest, response *raft.AppendEntriesResponse,
) (raft.AppendFuture, error) {
	return p.AppendPipeline.AppendEntries(boundCommitIndex(request), response)
}

// boundCommitIndex limits a request's commit index to the last entry that the request brings or has compared with the
// follower's log (Raft paper, figure 2, AppendEntries step 5). raft's follower would commit what it has behind that
// entry, which may be entries of a former leader.
func boundCommitIndex(request *raft.AppendEntriesRequest) *raft.AppendEntriesRequest {
	lastVerified := request.PrevLogEntry + uint64(len(request.Entries))
	if request.LeaderCommitIndex <= lastVerified {
		return request
	}
	bounded := *request
	bounded.LeaderCommitIndex = lastVerified
	return &bounded
}

func (t *contactTransport) recordContact(id raft.ServerID, term uint64, sentAt api.Micros) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if term < t.term {
		return
	}
	if term > t.term {
		t.term = term
		clear(t.lastContact)
	}
	t.lastContact[id] = max(t.lastContact[id], sentAt)
	select {
	case t.contacted <- struct{}{}:
	default:
	}
}

// quorumContact returns the contacts of the servers that vote now, in one raft term as leader. Contacts of a later term
// of this node do not count: another node may have led in between.
func (t *contactTransport) quorumContact(
	term uint64, servers []raft.Server, self raft.ServerID,
) *lease.QuorumContact {
	t.mu.Lock()
	defer t.mu.Unlock()
	voters := 0
	for _, s := range servers {
		if s.Suffrage == raft.Voter {
			voters++
		}
	}
	contact := lease.NewQuorumContact(voters)
	if term != t.term {
		return contact
	}
	for _, s := range servers {
		sentAt, isKnown := t.lastContact[s.ID]
		if isKnown && s.Suffrage == raft.Voter && s.ID != self {
			contact.RecordContact(term, memberOf(s.ID), sentAt)
		}
	}
	return contact
}
