package raftnode

import (
	"sync"

	"github.com/hashicorp/raft"

	"rowanlink/cluster/lease"
	"rowanlink/webhook/api"
)

// contactTransport is the transport, with an ear for who still follows: raft's own calls of life, sent several times in
// each election timeout, tell lease.QuorumContact what it has to know. Nothing further is sent for a renewal.
type contactTransport struct {
	*raft.NetworkTransport
	clock     func() api.Micros
	contacted chan struct{}

	mu          sync.Mutex
	term        uint64
	lastContact map[raft.ServerID]api.Micros
}

func newContactTransport(t *raft.NetworkTransport, clock func() api.Micros) *contactTransport {
	return &contactTransport{NetworkTransport: t, clock: clock, contacted: make(chan struct{}, 1),
		lastContact: map[raft.ServerID]api.Micros{}}
}

// SetHeartbeatHandler leaves calls of life with all the others, which raft's own loop takes one by one.
// Guards against a leader that was stopped: raft would take up the later term of such a call beside its loop,
// which then writes the leader's own last entries under that term, and takes them for the new leader's.
func (h *contactTransport) SetHeartbeatHandler(func(raft.RPC)) {}

// AppendEntries notes when a call was sent that was answered in its own raft term.
func (h *contactTransport) AppendEntries(id raft.ServerID, target raft.ServerAddress, args *raft.AppendEntriesRequest,
	resp *raft.AppendEntriesResponse) error {
	term, sent := args.Term, h.clock()
	err := h.NetworkTransport.AppendEntries(id, target, boundCommitIndex(args), resp)
	if err == nil && resp.Term == term {
		h.recordContact(id, term, sent)
	}
	return err
}

// AppendEntriesPipeline is for calls that don't wait for one another's answers.
func (h *contactTransport) AppendEntriesPipeline(id raft.ServerID, target raft.ServerAddress) (raft.AppendPipeline,
	error) {
	p, err := h.NetworkTransport.AppendEntriesPipeline(id, target)
	if err != nil {
		return nil, err
	}
	return boundedPipeline{p}, nil
}

type boundedPipeline struct{ raft.AppendPipeline }

func (p boundedPipeline) AppendEntries(args *raft.AppendEntriesRequest, resp *raft.AppendEntriesResponse) (
	raft.AppendFuture, error) {
	return p.AppendPipeline.AppendEntries(boundCommitIndex(args), resp)
}

// boundCommitIndex has a call commit no more than it brings, or has compared with what is there: raft's follower would
// commit what it has behind that, perhaps entries of a leader that is gone.
func boundCommitIndex(args *raft.AppendEntriesRequest) *raft.AppendEntriesRequest {
	if last := args.PrevLogEntry + uint64(len(args.Entries)); args.LeaderCommitIndex > last {
		c := *args
		c.LeaderCommitIndex = last
		return &c
	}
	return args
}

func (h *contactTransport) recordContact(id raft.ServerID, term uint64, sent api.Micros) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if term < h.term {
		return
	}
	if term > h.term {
		h.term = term
		clear(h.lastContact)
	}
	h.lastContact[id] = max(h.lastContact[id], sent)
	select {
	case h.contacted <- struct{}{}:
	default:
	}
}

// quorumContact is what is known of leading in one raft term, by the servers that vote now. Guards against what was
// heard in a later term of this keeper's: another may have led between the two.
func (h *contactTransport) quorumContact(term uint64, all []raft.Server, self raft.ServerID) *lease.QuorumContact {
	h.mu.Lock()
	defer h.mu.Unlock()
	voters := 0
	for _, s := range all {
		if s.Suffrage == raft.Voter {
			voters++
		}
	}
	a := lease.NewQuorumContact(voters)
	for _, s := range all {
		if sent, ok := h.lastContact[s.ID]; ok && s.Suffrage == raft.Voter && s.ID != self && term == h.term {
			a.RecordContact(term, memberOf(s.ID), sent)
		}
	}
	return a
}
