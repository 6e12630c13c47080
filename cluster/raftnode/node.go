// Package raftnode runs one node of the raft group that replicates the cluster's leases, shard map and plans, over
// github.com/hashicorp/raft. A node stores the log and snapshots, applies entries to the state machine of package fsm,
// and answers the members' requests: opening and renewing sessions, proposing commands, and polling for newer state. The
// leader also expires sessions, and adds and removes raft servers until they match the configured members.
//
// docs/cluster.md, "Leases", has the safety argument of renewals.
package raftnode

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"rowanlink/cluster"
	"rowanlink/cluster/fsm"
	"rowanlink/cluster/lease"
	"rowanlink/cluster/timing"
	"rowanlink/cluster/transport"
	"rowanlink/webhook/api"
)

// Config configures a node.
type Config struct {
	ClusterName  string
	Self         cluster.MemberID
	StateDir     string                      // from LB_STATE; the node keeps its data in the subfolder fleet
	SessionTTL   api.Micros                  // package timing derives all time-outs and intervals from it
	Addresses    map[cluster.MemberID]string // host:port at which this member reaches each node; includes its own
	Client       *transport.Client
	Clock        func() api.Micros // monotonic
	Leases       *lease.Table
	StateMachine *fsm.Machine // replicates Leases and the other components
}

// Node is one member of the raft group.
type Node struct {
	Metrics
	self            cluster.MemberID
	sessionTTL      api.Micros
	clock           func() api.Micros
	client          *transport.Client
	storage         *storage
	streams         *streamLayer
	transport       *contactTransport
	raft            *raft.Raft
	leaderChanges   chan bool
	renewals        chan renewal
	closing         chan struct{}
	staleLeadership chan struct{} // receives when the lease table has a later leader epoch than this leader
	background      sync.WaitGroup

	mu           sync.Mutex
	leases       *lease.Table
	machine      *fsm.Machine
	deadlines    *lease.ExpiryTracker
	leaderTerm   uint64             // raft term in which the node serves as leader, with all deadlines set; 0: not leader
	haltErr      error              // set when the node has stopped applying entries
	restoreErr   error              // of the last snapshot that could not be restored
	stateChanged chan struct{}      // closed and replaced when the state changes while requests wait for that
	waiters      int                // requests that wait on stateChanged
	members      []cluster.MemberID // members configured to run a raft node, sorted
	joinRequests map[cluster.MemberID]transport.JoinRequest
	history      map[cluster.ComponentID]*fsm.SnapshotHistory // by component
}

const (
	leaderChangeBacklog = 16
	renewalBacklog      = 64

	stateFolder = "fleet"
)

// Open starts a node that accepts raft connections on a listener. The node closes the listener, also if Open fails. Open
// fails if the folder can't be read or was written by a newer version of the program. The error text is one line.
func Open(config Config, listener net.Listener) (*Node, error) {
	n := newNode(config)
	logger := newRaftLogger(config.SessionTTL.Duration())
	var err error
	n.storage, err = openStorage(filepath.Join(config.StateDir, stateFolder), config.Self, logger)
	if err != nil {
		_ = listener.Close()
		return nil, fmt.Errorf("raft node %s: %w", config.Self, err)
	}
	rpcTimeout := timing.RaftTimingFor(config.SessionTTL).RPCTimeout.Duration()
	n.streams = newStreamLayer(listener, config.ClusterName, n.storage.id, rpcTimeout)
	n.transport = newContactTransport(newNetworkTransport(n.streams, logger, rpcTimeout), config.Clock)
	n.setMembers(config.Addresses)
	if err := n.startRaft(logger); err != nil {
		err = fmt.Errorf("raft node %s can't start from its folder: %w", config.Self, cmp.Or(n.restoreErr, err))
		return nil, errors.Join(err, n.transport.Close(), n.storage.log.Close())
	}
	slog.Info("raft node started", "server", n.storage.id, "empty", n.storage.empty, "log", n.raft.LastIndex())
	n.background.Add(2)
	go n.runLeadership()
	go n.maintainMembership()
	return n, nil
}

func newNode(config Config) *Node {
	return &Node{
		self:            config.Self,
		sessionTTL:      config.SessionTTL,
		clock:           config.Clock,
		client:          config.Client,
		leases:          config.Leases,
		machine:         config.StateMachine,
		deadlines:       lease.NewExpiryTracker(config.SessionTTL),
		leaderChanges:   make(chan bool, leaderChangeBacklog),
		renewals:        make(chan renewal, renewalBacklog),
		staleLeadership: make(chan struct{}),
		closing:         make(chan struct{}),
		stateChanged:    make(chan struct{}),
		joinRequests:    map[cluster.MemberID]transport.JoinRequest{},
		history:         map[cluster.ComponentID]*fsm.SnapshotHistory{},
	}
}

func newNetworkTransport(streams *streamLayer, logger *raftLogger, timeout time.Duration) *raft.NetworkTransport {
	return raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		ServerAddressProvider:   streams,
		Logger:                  logger,
		Stream:                  streams,
		MaxPool:                 2,
		Timeout:                 timeout,
		MsgpackUseNewTimeFormat: true,
	})
}

func (n *Node) startRaft(logger *raftLogger) error {
	raftTiming := timing.RaftTimingFor(n.sessionTTL)
	logs, err := raft.NewLogCache(int(raftTiming.TrailingLogs), n.storage.log)
	if err != nil {
		return err
	}
	stable := retryingStableStore{
		StableStore: n.storage.log,
		interval:    raftTiming.RPCTimeout.Duration(),
		closing:     n.closing,
	}
	config := n.raftConfig(raftTiming, logger)
	n.raft, err = raft.NewRaft(config, stateMachine{n}, logs, stable, n.storage.snapshots, n.transport)
	return err
}

func (n *Node) raftConfig(raftTiming timing.RaftTiming, logger *raftLogger) *raft.Config {
	config := raft.DefaultConfig()
	config.LocalID = n.storage.id
	config.Logger = logger
	config.NotifyCh = n.leaderChanges
	config.NoLegacyTelemetry = true
	config.HeartbeatTimeout = raftTiming.HeartbeatTimeout.Duration()
	config.ElectionTimeout = raftTiming.HeartbeatTimeout.Duration()
	config.LeaderLeaseTimeout = raftTiming.LeaderLeaseTimeout.Duration()
	config.CommitTimeout = raftTiming.CommitTimeout.Duration()
	config.SnapshotThreshold = raftTiming.SnapshotThreshold
	config.TrailingLogs = raftTiming.TrailingLogs
	config.SnapshotInterval = raftTiming.SnapshotInterval.Duration()
	return config
}

// SetAddresses replaces the raft addresses of all nodes. The members in addresses become the configured members: the
// leader adds and removes raft servers accordingly.
func (n *Node) SetAddresses(addresses map[cluster.MemberID]string) {
	n.setMembers(addresses)
	n.transport.CloseStreams() // a pooled connection may lead to the former node at an address
}

func (n *Node) setMembers(addresses map[cluster.MemberID]string) {
	n.streams.setAddresses(maps.Clone(addresses))
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members = slices.Sorted(maps.Keys(addresses))
}

// Close transfers the leadership if the node is the leader, writes a snapshot, and stops the node. Each of the three
// steps may take a third of the session TTL, so that Close takes no longer than one TTL.
func (n *Node) Close() error {
	stepTimeout := (n.sessionTTL / 3).Duration()
	if n.raft.State() == raft.Leader {
		runWithin(stepTimeout, func() { _ = n.raft.LeadershipTransfer().Error() }) // raft logs a failure
	}
	close(n.closing)
	runWithin(stepTimeout, func() { _ = n.raft.Snapshot().Error() }) // raft logs a failure; the log still has the entries
	shutdown := n.raft.Shutdown()
	isDone := runWithin(stepTimeout, func() {
		_ = shutdown.Error() // always nil
		n.background.Wait()
	})
	if !isDone {
		return fmt.Errorf("raft node %s: the log is still in use", n.self) // the log can't be closed under raft
	}
	return errors.Join(n.transport.Close(), n.storage.log.Close())
}

// runWithin runs f in a goroutine and waits for it, up to the time-out. It returns false if f has not returned by then; f
// then continues in the background.
func runWithin(timeout time.Duration, f func()) bool {
	done := make(chan struct{})
	go func() {
		f()
		close(done)
	}()
	select {
	case <-done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Leader returns the raft leader, or an empty id if this node knows none. isSelf reports whether this node is the leader
// and ready to answer requests, with all session deadlines set.
func (n *Node) Leader() (leader cluster.MemberID, isSelf bool) {
	n.mu.Lock()
	isSelf = n.leaderTerm != 0
	n.mu.Unlock()
	if isSelf {
		return n.self, true
	}
	_, id := n.raft.LeaderWithID()
	return memberOf(id), false
}

// LastIndex returns the index of the last entry in this node's log.
func (n *Node) LastIndex() uint64 { return n.raft.LastIndex() }
