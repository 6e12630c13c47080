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

// Place is what a keeper is told at its start. Each address is as this member reaches the other.
type Place struct {
	Fleet  string
	Self   cluster.MemberID
	Folder string // LB_STATE: what it keeps is under fleet/
	Term   api.Micros
	Logs   map[cluster.MemberID]string // of all keepers, itself among them
	Talk   *transportpkg.Talk
	Clock  func() api.Micros // never runs back
	Book   *lease.Table
	State  *fsm.Machine // over the book
}

// Keeper is one copy of the log.
type Keeper struct {
	Counters
	self     cluster.MemberID
	term     api.Micros
	clock    func() api.Micros
	talk     *transportpkg.Talk
	folder   *folder
	wire     *wire
	heard    *heard
	raft     *raft.Raft
	lead     chan bool
	asks     chan ask
	ended    chan struct{}
	outdated chan struct{} // its reign is no longer the book's
	done     sync.WaitGroup

	mu      sync.Mutex
	book    *lease.Table
	state   *fsm.Machine
	terms   *lease.ExpiryTracker
	reign   uint64 // the raft term that it leads in, its sessions' terms begun; 0: it does not lead
	halted  error
	refused error         // a snapshot that could not be read
	news    chan struct{} // closed when a part is newer
	waiters int
	keepers []cluster.MemberID // by the operator file, sorted
	joins   map[cluster.MemberID]transportpkg.Join
	parts   map[byte]*fsm.Past
}

// Open starts a keeper that hears the other logs on a listener, which it closes in the end. An error is one
// line: a folder that can't be read, or is of a newer program.
func Open(p Place, on net.Listener) (k *Keeper, err error) {
	k = &Keeper{self: p.Self, term: p.Term, clock: p.Clock, talk: p.Talk, book: p.Book, state: p.State,
		terms: lease.NewExpiryTracker(p.Term), lead: make(chan bool, 16), asks: make(chan ask, 64),
		outdated: make(chan struct{}),
		ended:    make(chan struct{}), news: make(chan struct{}), joins: map[cluster.MemberID]transportpkg.Join{},
		parts: map[byte]*fsm.Past{}}
	goes, logger := timing.RaftTimingFor(p.Term), newLogs(span(p.Term))
	if k.folder, err = openFolder(filepath.Join(p.Folder, "fleet"), p.Self, logger); err != nil {
		on.Close()
		return nil, fmt.Errorf("keeper %s: %w", p.Self, err)
	}
	k.wire = newWire(on, p.Fleet, k.folder.id, span(goes.RPCTimeout))
	k.heard = newHeard(raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		ServerAddressProvider: k.wire, Logger: logger, Stream: k.wire, MaxPool: 2, Timeout: span(goes.RPCTimeout),
		MsgpackUseNewTimeFormat: true,
	}), p.Clock)
	k.setKeepers(p.Logs)
	how := raft.DefaultConfig()
	how.LocalID, how.Logger, how.NotifyCh, how.NoLegacyTelemetry = k.folder.id, logger, k.lead, true
	how.HeartbeatTimeout, how.ElectionTimeout = span(goes.HeartbeatTimeout), span(goes.HeartbeatTimeout)
	how.LeaderLeaseTimeout, how.CommitTimeout = span(goes.LeaderLeaseTimeout), span(goes.CommitTimeout)
	how.SnapshotThreshold, how.TrailingLogs = goes.SnapshotThreshold, goes.TrailingLogs
	how.SnapshotInterval = span(goes.SnapshotInterval)
	logs, err := raft.NewLogCache(int(goes.TrailingLogs), k.folder.store)
	if err == nil {
		kept := stable{k.folder.store, span(goes.RPCTimeout), k.ended}
		k.raft, err = raft.NewRaft(how, machine{k}, logs, kept, k.folder.snaps, k.heard)
	}
	if err != nil {
		err = fmt.Errorf("keeper %s can't start from its folder: %w", p.Self, cmp.Or(k.refused, err))
		return nil, errors.Join(err, k.heard.Close(), k.folder.store.Close())
	}
	slog.Info("keeper starts", "server", k.folder.id, "empty", k.folder.empty, "log", k.raft.LastIndex())
	k.done.Add(2)
	go k.run()
	go k.tend()
	return k, nil
}

func span(t api.Micros) time.Duration { return time.Duration(t) * time.Microsecond }

// Renew takes another table of keepers' logs.
func (k *Keeper) Renew(logs map[cluster.MemberID]string) {
	k.setKeepers(logs)
	k.heard.CloseStreams() // what is connected now may be at an address that was another's
}

func (k *Keeper) setKeepers(logs map[cluster.MemberID]string) {
	k.wire.renew(maps.Clone(logs))
	k.mu.Lock()
	defer k.mu.Unlock()
	k.keepers = slices.Sorted(maps.Keys(logs))
}

// Close hands the lead on if it has it, writes a snapshot, and ends. It takes no longer than a term.
func (k *Keeper) Close() error {
	part := span(k.term / 3)
	if k.raft.State() == raft.Leader {
		within(part, func() { k.raft.LeadershipTransfer().Error() })
	}
	close(k.ended)
	within(part, func() { k.raft.Snapshot().Error() })
	ended := k.raft.Shutdown()
	if !within(part, func() { ended.Error(); k.done.Wait() }) {
		return fmt.Errorf("keeper %s: the log is still busy", k.self) // and is left open under it
	}
	return errors.Join(k.heard.Close(), k.folder.store.Close())
}

// within waits for what may take longer than there is time for, and tells whether it is over.
func within(most time.Duration, f func()) bool {
	over := make(chan struct{})
	go func() { f(); close(over) }()
	select {
	case <-over:
		return true
	case <-time.After(most):
		return false
	}
}

// Leads tells who leads, as far as is known, and whether it is this keeper, able to answer.
func (k *Keeper) Leads() (who cluster.MemberID, self bool) {
	k.mu.Lock()
	self = k.reign != 0
	k.mu.Unlock()
	if self {
		return k.self, true
	}
	_, id := k.raft.LeaderWithID()
	return memberOf(id), false
}

// changed wakes those who wait for newer state; the caller holds the lock.
func (k *Keeper) changed() {
	if k.waiters > 0 {
		close(k.news)
		k.news, k.waiters = make(chan struct{}), 0
	}
}

// said counts and says what the book did, where this keeper leads: all keepers do the same.
func (k *Keeper) said(n *atomic.Int64, what string, with ...any) {
	if k.reign != 0 {
		n.Add(1)
		slog.Info(what, with...)
	}
}

// LastIndex is of the log's last entry here.
func (k *Keeper) LastIndex() uint64 { return k.raft.LastIndex() }
