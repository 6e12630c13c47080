package raftnode

import (
	"sync"

	"github.com/hashicorp/raft"

	"rowanlink/cluster/lease"
	"rowanlink/webhook/api"
)

// contactTransport is raft's transport, which also records when each server last acknowledged this leader. raft sends
// heartbeats several times in each election time-out, so these records let renewals be confirmed (lease.QuorumContact)
// without further messages.
//
// It differs from raft's own transport in two ways, both because of faults of raft v1.7.3 that docs/cluster.md
// describes: see SetHeartbeatHandler and boundCommitIndex.
type contactTransport struct {
	*raft.NetworkTransport
	clock     func() api.Micros
	contacted chan struct{} // signals a recorded contact; buffered, so that contacts in a row give one signal

	mu          sync.Mutex
	term        uint64                       // raft term of lastContact
	lastContact map[raft.ServerID]api.Micros // when the last acknowledged request was sent
}

func newContactTransport(t *raft.NetworkTransport, clock func() api.Micros) *contactTransport {
	return &contactTransport{
		NetworkTransport: t,
		clock:            clock,
		contacted:        make(chan struct{}, 1),
		lastContact:      map[raft.ServerID]api.Micros{},
	}
}

// SetHeartbeatHandler ignores the handler, so that raft's main loop handles heartbeats like all other requests. The
// handler would run concurrently with the main loop. If the process of a leader was suspended and a new leader was
// elected, the handler would adopt the new term from a heartbeat while the main loop still appends the old leader's
// entries. These would get the new term, and the node would take them for the new leader's entries.
func (t *contactTransport) SetHeartbeatHandler(func(raft.RPC)) {}

// AppendEntries sends a request. If the response is of the same raft term, it records the time the request was sent as a
// contact.
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

// AppendEntriesPipeline returns a pipeline, which sends requests before earlier ones are answered. Requests in a pipeline
// are not recorded as contacts.
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

// boundCommitIndex limits a request's commit index to the last entry that the request contains or that its consistency
// check covers (Raft paper, figure 2, AppendEntries step 5). raft's follower does not limit it: it would also commit the
// entries after that one in its log, which may be uncommitted entries of a former leader.
func boundCommitIndex(request *raft.AppendEntriesRequest) *raft.AppendEntriesRequest {
	lastVerified := request.PrevLogEntry + uint64(len(request.Entries))
	if request.LeaderCommitIndex <= lastVerified {
		return request
	}
	bounded := *request
	bounded.LeaderCommitIndex = lastVerified
	return &bounded
}

// recordContact records that a server acknowledged a request of a term. A later term discards earlier terms' contacts.
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

// quorumContact returns the contacts that this node had as leader of a raft term with the other current voters. If
// contacts of a later term were recorded, it returns none: another node may have led between the two terms.
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
