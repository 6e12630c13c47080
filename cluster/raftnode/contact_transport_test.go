package raftnode

import (
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
	"rowanlink/webhook/api"
)

// Guards against two nodes committing different entries at one index: heartbeats must be handled by raft's main loop, and
// no request may make a follower commit entries that its consistency check does not cover.
func TestContactTransport_HandlesHeartbeatsInMainLoopAndBoundsCommitIndex(t *testing.T) {
	caller, called := newTestTransport(t, "a/1"), newTestTransport(t, "b/1")
	caller.streams.setAddresses(map[cluster.MemberID]string{"b": called.streams.listener.Addr().String()})
	concurrent := make(chan raft.RPC, 1)
	called.SetHeartbeatHandler(func(rpc raft.RPC) { concurrent <- rpc })
	commits := make(chan uint64, 1)
	go func() {
		for rpc := range called.Consumer() {
			commits <- rpc.Command.(*raft.AppendEntriesRequest).LeaderCommitIndex
			rpc.Respond(&raft.AppendEntriesResponse{Success: true}, nil)
		}
	}()
	entries := []*raft.Log{{Index: 6, Term: 3}, {Index: 7, Term: 3}}
	pipeline, err := caller.AppendEntriesPipeline("b/1", "b/1")
	require.NoError(t, err)
	t.Cleanup(func() { _ = pipeline.Close() })
	go func() {
		for range pipeline.Consumer() {
		}
	}()
	for _, send := range []func(args *raft.AppendEntriesRequest) error{
		func(args *raft.AppendEntriesRequest) error {
			return caller.AppendEntries("b/1", "b/1", args, &raft.AppendEntriesResponse{})
		},
		func(args *raft.AppendEntriesRequest) error {
			f, err := pipeline.AppendEntries(args, &raft.AppendEntriesResponse{})
			if err == nil {
				err = f.Error()
			}
			return err
		},
	} {
		for _, tc := range []struct {
			args raft.AppendEntriesRequest
			want uint64
		}{
			{raft.AppendEntriesRequest{Term: 3}, 0}, // a heartbeat
			{raft.AppendEntriesRequest{Term: 3, PrevLogEntry: 5, LeaderCommitIndex: 9}, 5},
			{raft.AppendEntriesRequest{Term: 3, PrevLogEntry: 5, Entries: entries, LeaderCommitIndex: 9}, 7},
			{raft.AppendEntriesRequest{Term: 3, PrevLogEntry: 5, Entries: entries, LeaderCommitIndex: 6}, 6},
		} {
			tc.args.Addr = []byte("a/1")
			before := tc.args.LeaderCommitIndex
			answered := make(chan error, 1)
			go func() { answered <- send(&tc.args) }()
			select {
			case <-concurrent:
				require.Fail(t, "a heartbeat was handled outside raft's main loop")
			case got := <-commits:
				require.Equal(t, tc.want, got)
			case <-time.After(10 * time.Second):
				require.Fail(t, "no request arrived")
			}
			require.NoError(t, <-answered)
			require.Equal(t, before, tc.args.LeaderCommitIndex) // the caller's request is not changed
		}
	}
}

// testTransport is a transport with its stream layer.
type testTransport struct {
	*contactTransport
	streams *streamLayer
}

func newTestTransport(t *testing.T, self raft.ServerID) testTransport {
	t.Helper()
	listener := listen(t)
	streams := newStreamLayer(listener, "tests", self, 5*time.Second)
	logger := newRaftLogger(time.Second)
	contact := newContactTransport(newNetworkTransport(streams, logger, 5*time.Second), clock)
	t.Cleanup(func() { _ = contact.Close() })
	return testTransport{contact, streams}
}

// Only contacts in the requested term with a voter other than the node itself count.
func TestContactTransport_QuorumContactCountsVotersOfTheTerm(t *testing.T) {
	contact := newContactTransport(nil, clock)
	servers := []raft.Server{voter("a/1"), voter("b/1"), voter("c/1"), {ID: "d/1", Suffrage: raft.Nonvoter}}
	hasQuorumSince := func(term uint64, at api.Micros) bool {
		return contact.quorumContact(term, servers, "a/1").HasQuorumSince(at)
	}
	contact.recordContact("d/1", 3, 9)
	contact.recordContact("a/1", 3, 9)
	require.False(t, hasQuorumSince(3, 5))
	contact.recordContact("b/1", 3, 5)
	require.True(t, hasQuorumSince(3, 5))
	contact.recordContact("b/1", 3, 4) // out of order
	require.True(t, hasQuorumSince(3, 5))
	require.False(t, hasQuorumSince(3, 6))
	contact.recordContact("c/1", 5, 8)
	require.False(t, hasQuorumSince(3, 5))
	require.True(t, hasQuorumSince(5, 8))
	contact.recordContact("b/1", 3, 9)
	require.False(t, hasQuorumSince(5, 9))
}
