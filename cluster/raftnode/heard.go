package raftnode

import (
	"sync"

	"github.com/hashicorp/raft"

	"rowanlink/cluster/lease"
	"rowanlink/webhook/api"
)

// heard is the transport, with an ear for who still follows: raft's own calls of life, sent several times in
// each election timeout, tell lease.QuorumContact what it has to know. Nothing further is sent for a renewal.
type heard struct {
	*raft.NetworkTransport
	clock func() api.Micros
	tell  chan struct{}

	mu   sync.Mutex
	term uint64
	sent map[raft.ServerID]api.Micros
}

func newHeard(t *raft.NetworkTransport, clock func() api.Micros) *heard {
	return &heard{NetworkTransport: t, clock: clock, tell: make(chan struct{}, 1),
		sent: map[raft.ServerID]api.Micros{}}
}

// SetHeartbeatHandler leaves calls of life with all the others, which raft's own loop takes one by one.
// Guards against a leader that was stopped: raft would take up the later term of such a call beside its loop,
// which then writes the leader's own last entries under that term, and takes them for the new leader's.
func (h *heard) SetHeartbeatHandler(func(raft.RPC)) {}

// AppendEntries notes when a call was sent that was answered in its own raft term.
func (h *heard) AppendEntries(id raft.ServerID, target raft.ServerAddress, args *raft.AppendEntriesRequest,
	resp *raft.AppendEntriesResponse) error {
	term, sent := args.Term, h.clock()
	err := h.NetworkTransport.AppendEntries(id, target, vouched(args), resp)
	if err == nil && resp.Term == term {
		h.note(id, term, sent)
	}
	return err
}

// AppendEntriesPipeline is for calls that don't wait for one another's answers.
func (h *heard) AppendEntriesPipeline(id raft.ServerID, target raft.ServerAddress) (raft.AppendPipeline,
	error) {
	p, err := h.NetworkTransport.AppendEntriesPipeline(id, target)
	if err != nil {
		return nil, err
	}
	return pipeline{p}, nil
}

type pipeline struct{ raft.AppendPipeline }

func (p pipeline) AppendEntries(args *raft.AppendEntriesRequest, resp *raft.AppendEntriesResponse) (
	raft.AppendFuture, error) {
	return p.AppendPipeline.AppendEntries(vouched(args), resp)
}

// vouched has a call commit no more than it brings, or has compared with what is there: raft's follower would
// commit what it has behind that, perhaps entries of a leader that is gone.
func vouched(args *raft.AppendEntriesRequest) *raft.AppendEntriesRequest {
	if last := args.PrevLogEntry + uint64(len(args.Entries)); args.LeaderCommitIndex > last {
		c := *args
		c.LeaderCommitIndex = last
		return &c
	}
	return args
}

func (h *heard) note(id raft.ServerID, term uint64, sent api.Micros) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if term < h.term {
		return
	}
	if term > h.term {
		h.term = term
		clear(h.sent)
	}
	h.sent[id] = max(h.sent[id], sent)
	select {
	case h.tell <- struct{}{}:
	default:
	}
}

// assent is what is known of leading in one raft term, by the servers that vote now. Guards against what was
// heard in a later term of this keeper's: another may have led between the two.
func (h *heard) assent(term uint64, all []raft.Server, self raft.ServerID) *lease.QuorumContact {
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
		if sent, ok := h.sent[s.ID]; ok && s.Suffrage == raft.Voter && s.ID != self && term == h.term {
			a.RecordContact(term, memberOf(s.ID), sent)
		}
	}
	return a
}
