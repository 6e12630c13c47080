package raftnode

import (
	"net"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
)

// Guards against two keepers that take other entries for the same ones: a call of life goes the way of all
// calls, and none commits what it does not vouch for.
func TestCallsGoOneWayAndCommitWhatTheyVouchFor(t *testing.T) {
	caller, called := transport(t, "a/1"), transport(t, "b/1")
	caller.wire.setAddresses(map[cluster.MemberID]string{"b": called.wire.listener.Addr().String()})
	beside := make(chan raft.RPC, 1)
	called.SetHeartbeatHandler(func(rpc raft.RPC) { beside <- rpc })
	commits := make(chan uint64, 1)
	go func() {
		for rpc := range called.Consumer() {
			commits <- rpc.Command.(*raft.AppendEntriesRequest).LeaderCommitIndex
			rpc.Respond(&raft.AppendEntriesResponse{Success: true}, nil)
		}
	}()
	entries := []*raft.Log{{Index: 6, Term: 3}, {Index: 7, Term: 3}}
	pipe, err := caller.AppendEntriesPipeline("b/1", "b/1")
	require.NoError(t, err)
	defer pipe.Close()
	go func() {
		for range pipe.Consumer() {
		}
	}()
	for _, call := range []func(args *raft.AppendEntriesRequest) error{
		func(args *raft.AppendEntriesRequest) error {
			return caller.AppendEntries("b/1", "b/1", args, &raft.AppendEntriesResponse{})
		},
		func(args *raft.AppendEntriesRequest) error {
			f, err := pipe.AppendEntries(args, &raft.AppendEntriesResponse{})
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
			{raft.AppendEntriesRequest{Term: 3}, 0}, // of life
			{raft.AppendEntriesRequest{Term: 3, PrevLogEntry: 5, LeaderCommitIndex: 9}, 5},
			{raft.AppendEntriesRequest{Term: 3, PrevLogEntry: 5, Entries: entries, LeaderCommitIndex: 9}, 7},
			{raft.AppendEntriesRequest{Term: 3, PrevLogEntry: 5, Entries: entries, LeaderCommitIndex: 6}, 6},
		} {
			tc.args.Leader = []byte("a/1")
			was := tc.args.LeaderCommitIndex
			answered := make(chan error, 1)
			go func() { answered <- call(&tc.args) }()
			select {
			case <-beside:
				require.Fail(t, "a call of life went beside raft's loop")
			case got := <-commits:
				require.Equal(t, tc.want, got)
			case <-time.After(10 * time.Second):
				require.Fail(t, "no call came")
			}
			require.NoError(t, <-answered)
			require.Equal(t, was, tc.args.LeaderCommitIndex) // raft's own stays as it was
		}
	}
}

func transport(t *testing.T, self raft.ServerID) struct {
	*contactTransport
	wire *streamLayer
} {
	on, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	w := newStreamLayer(on, "tests", self, 5*time.Second)
	h := newContactTransport(raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{ServerAddressProvider: w,
		Logger: newRaftLogger(time.Second), Stream: w, MaxPool: 2, Timeout: 5 * time.Second,
		MsgpackUseNewTimeFormat: true}), clock)
	t.Cleanup(func() { h.Close() })
	return struct {
		*contactTransport
		wire *streamLayer
	}{h, w}
}
