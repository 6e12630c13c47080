// Package raftnode holds a copy of the fleet's log and state, and answers for both: what is proposed, what goes
// on, what is new.
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
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"

	"rowanlink/cluster"
	"rowanlink/cluster/fsm"
	"rowanlink/cluster/lease"
	"rowanlink/cluster/timing"
	transportpkg "rowanlink/cluster/transport"
	"rowanlink/webhook/api"
)

// Config is what a keeper is told at its start. Each address is as this member reaches the other.
type Config struct {
	ClusterName  string
	Self         cluster.MemberID
	StateDir     string // LB_STATE: what it keeps is under fleet/
	SessionTTL   api.Micros
	Addresses    map[cluster.MemberID]string // of all keepers, itself among them
	Client       *transportpkg.Client
	Clock        func() api.Micros // never runs back
	Leases       *lease.Table
	StateMachine *fsm.Machine // over the book
}

// Node is one copy of the log.
type Node struct {
	Metrics
	self            cluster.MemberID
	sessionTTL      api.Micros
	clock           func() api.Micros
	client          *transportpkg.Client
	storage         *storage
	streams         *streamLayer
	transport       *contactTransport
	raft            *raft.Raft
	leaderChanges   chan bool
	renewals        chan renewal
	closing         chan struct{}
	staleLeadership chan struct{} // its reign is no longer the book's
	background      sync.WaitGroup

	mu           sync.Mutex
	leases       *lease.Table
	machine      *fsm.Machine
	deadlines    *lease.ExpiryTracker
	leaderTerm   uint64 // the raft term that it leads in, its sessions' terms begun; 0: it does not lead
	haltErr      error
	restoreErr   error         // a snapshot that could not be read
	stateChanged chan struct{} // closed when a part is newer
	waiters      int
	members      []cluster.MemberID // by the operator file, sorted
	joinRequests map[cluster.MemberID]transportpkg.JoinRequest
	history      map[byte]*fsm.SnapshotHistory
}

// Open starts a keeper that hears the other logs on a listener, which it closes in the end. An error is one
// line: a folder that can't be read, or is of a newer program.
func Open(p Config, on net.Listener) (k *Node, err error) {
	k = &Node{self: p.Self, sessionTTL: p.SessionTTL, clock: p.Clock, client: p.Client, leases: p.Leases, machine: p.StateMachine,
		deadlines: lease.NewExpiryTracker(p.SessionTTL), leaderChanges: make(chan bool, 16), renewals: make(chan renewal, 64),
		staleLeadership: make(chan struct{}),
		closing:         make(chan struct{}), stateChanged: make(chan struct{}), joinRequests: map[cluster.MemberID]transportpkg.JoinRequest{},
		history: map[byte]*fsm.SnapshotHistory{}}
	goes, logger := timing.RaftTimingFor(p.SessionTTL), newRaftLogger(toDuration(p.SessionTTL))
	if k.storage, err = openStorage(filepath.Join(p.StateDir, "fleet"), p.Self, logger); err != nil {
		on.Close()
		return nil, fmt.Errorf("keeper %s: %w", p.Self, err)
	}
	k.streams = newStreamLayer(on, p.ClusterName, k.storage.id, toDuration(goes.RPCTimeout))
	k.transport = newContactTransport(raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		ServerAddressProvider: k.streams, Logger: logger, Stream: k.streams, MaxPool: 2, Timeout: toDuration(goes.RPCTimeout),
		MsgpackUseNewTimeFormat: true,
	}), p.Clock)
	k.setMembers(p.Addresses)
	how := raft.DefaultConfig()
	how.LocalID, how.Logger, how.NotifyCh, how.NoLegacyTelemetry = k.storage.id, logger, k.leaderChanges, true
	how.HeartbeatTimeout, how.ElectionTimeout = toDuration(goes.HeartbeatTimeout), toDuration(goes.HeartbeatTimeout)
	how.LeaderLeaseTimeout, how.CommitTimeout = toDuration(goes.LeaderLeaseTimeout), toDuration(goes.CommitTimeout)
	how.SnapshotThreshold, how.TrailingLogs = goes.SnapshotThreshold, goes.TrailingLogs
	how.SnapshotInterval = toDuration(goes.SnapshotInterval)
	logs, err := raft.NewLogCache(int(goes.TrailingLogs), k.storage.log)
	if err == nil {
		kept := retryingStableStore{k.storage.log, toDuration(goes.RPCTimeout), k.closing}
		k.raft, err = raft.NewRaft(how, stateMachine{k}, logs, kept, k.storage.snapshots, k.transport)
	}
	if err != nil {
		err = fmt.Errorf("keeper %s can't start from its folder: %w", p.Self, cmp.Or(k.restoreErr, err))
		return nil, errors.Join(err, k.transport.Close(), k.storage.log.Close())
	}
	slog.Info("keeper starts", "server", k.storage.id, "empty", k.storage.empty, "log", k.raft.LastIndex())
	k.background.Add(2)
	go k.runLeadership()
	go k.maintainMembership()
	return k, nil
}

func toDuration(t api.Micros) time.Duration { return time.Duration(t) * time.Microsecond }

// SetAddresses takes another table of keepers' logs.
func (k *Node) SetAddresses(logs map[cluster.MemberID]string) {
	k.setMembers(logs)
	k.transport.CloseStreams() // what is connected now may be at an address that was another's
}

func (k *Node) setMembers(logs map[cluster.MemberID]string) {
	k.streams.setAddresses(maps.Clone(logs))
	k.mu.Lock()
	defer k.mu.Unlock()
	k.members = slices.Sorted(maps.Keys(logs))
}

// Close hands the lead on if it has it, writes a snapshot, and ends. It takes no longer than a term.
func (k *Node) Close() error {
	part := toDuration(k.sessionTTL / 3)
	if k.raft.State() == raft.Leader {
		runWithin(part, func() { k.raft.LeadershipTransfer().Error() })
	}
	close(k.closing)
	runWithin(part, func() { k.raft.Snapshot().Error() })
	ended := k.raft.Shutdown()
	if !runWithin(part, func() { ended.Error(); k.background.Wait() }) {
		return fmt.Errorf("keeper %s: the log is still busy", k.self) // and is left open under it
	}
	return errors.Join(k.transport.Close(), k.storage.log.Close())
}

// runWithin waits for what may take longer than there is time for, and tells whether it is over.
func runWithin(most time.Duration, f func()) bool {
	over := make(chan struct{})
	go func() { f(); close(over) }()
	select {
	case <-over:
		return true
	case <-time.After(most):
		return false
	}
}

// Leader tells who leads, as far as is known, and whether it is this keeper, able to answer.
func (k *Node) Leader() (who cluster.MemberID, self bool) {
	k.mu.Lock()
	self = k.leaderTerm != 0
	k.mu.Unlock()
	if self {
		return k.self, true
	}
	_, id := k.raft.LeaderWithID()
	return memberOf(id), false
}

// notifyStateChange wakes those who wait for newer state; the caller holds the lock.
func (k *Node) notifyStateChange() {
	if k.waiters > 0 {
		close(k.stateChanged)
		k.stateChanged, k.waiters = make(chan struct{}), 0
	}
}

// reportEvent counts and says what the book did, where this keeper leads: all keepers do the same.
func (k *Node) reportEvent(n *atomic.Int64, what string, with ...any) {
	if k.leaderTerm != 0 {
		n.Add(1)
		slog.Info(what, with...)
	}
}

// LastIndex is of the log's last entry here.
func (k *Node) LastIndex() uint64 { return k.raft.LastIndex() }
