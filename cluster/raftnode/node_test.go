package raftnode

import (
	"io"
	"log/slog"
	"net"
	"os"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/require"

	"rowanlink/cluster"
	"rowanlink/cluster/fsm"
	"rowanlink/cluster/lease"
	"rowanlink/cluster/transport"
	"rowanlink/webhook/api"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	os.Exit(m.Run())
}

const (
	sessionTTL = api.Second

	// waitTimeout is how long a test waits for a condition, checkInterval how often it checks the condition.
	waitTimeout   = 20 * time.Second
	checkInterval = time.Millisecond
)

var startedAt = time.Now()

func clock() api.Micros { return api.Micros(time.Since(startedAt).Microseconds()) }

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return listener
}

// singleNode returns the configuration of the only node of a cluster, and its listener.
func singleNode(t *testing.T, stateDir string) (Config, net.Listener) {
	t.Helper()
	listener := listen(t)
	leases := lease.NewTable()
	return Config{
		ClusterName:  "f",
		Self:         "m1",
		StateDir:     stateDir,
		SessionTTL:   sessionTTL,
		Client:       transport.NewClient("m1", nil),
		Clock:        clock,
		Addresses:    map[cluster.MemberID]string{"m1": listener.Addr().String()},
		Leases:       leases,
		StateMachine: fsm.New(leases, nil),
	}, listener
}

// startLeader starts a single node and waits until it leads.
func startLeader(t *testing.T, stateDir string) *Node {
	t.Helper()
	n, err := Open(singleNode(t, stateDir))
	require.NoError(t, err)
	isLeader := func() bool {
		_, isSelf := n.Leader()
		return isSelf
	}
	require.Eventually(t, isLeader, waitTimeout, checkInterval)
	return n
}

// apply proposes an entry and returns its result.
func (n *Node) apply(t *testing.T, entry raft.Log) applyResult {
	t.Helper()
	future := n.raft.ApplyLog(entry, time.Second)
	require.NoError(t, future.Error())
	return resultOf(future)
}

// requireSessionEnded waits until one session has ended.
func (n *Node) requireSessionEnded(t *testing.T) {
	t.Helper()
	hasEnded := func() bool { return n.SessionsEnded.Load() == 1 }
	require.Eventually(t, hasEnded, waitTimeout, checkInterval)
}
