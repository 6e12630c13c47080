// Package member makes a webhook dispatcher a member of a cluster. It connects the following parts to the dispatcher
// and runs them:
//   - the raft node, if the operator file gives this member one (package raftnode)
//   - the session and its leases (session)
//   - the ownership of ranges (ownership)
//   - the forwarding and hand-off of webhooks (forwarding, handoff, custody, peer)
//   - the rebalancing plan and the measurement of its impact (coordinator, health)
//   - the streams to the relays of sites (cluster/site)
package member

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"fmt"
	"net"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"rowanlink/cluster"
	"rowanlink/cluster/config"
	"rowanlink/cluster/fsm"
	"rowanlink/cluster/lease"
	"rowanlink/cluster/member/coordinator"
	"rowanlink/cluster/member/custody"
	"rowanlink/cluster/member/forwarding"
	"rowanlink/cluster/member/handoff"
	"rowanlink/cluster/member/health"
	"rowanlink/cluster/member/ownership"
	"rowanlink/cluster/member/peer"
	"rowanlink/cluster/member/session"
	"rowanlink/cluster/raftnode"
	"rowanlink/cluster/rebalance"
	"rowanlink/cluster/shardmap"
	"rowanlink/cluster/site"
	"rowanlink/cluster/transport"
	"rowanlink/internal/wakeup"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher"
)

const (
	requestTimeout       = 5 * time.Second // for receiving a request of another member, and for sending the response
	checksPerTTL         = 8               // periodic reconciliations per lease TTL, in addition to those after a change
	custodyDiskMB        = 32              // maximum disk space for custody records
	custodyRetentionTTLs = 2               // how long custody records are kept after their webhook's TTL, in lease TTLs
)

// Member is one member of the cluster. It is the extension through which its dispatcher takes part in the cluster.
type Member struct {
	configPath string
	self       cluster.MemberID
	dispatcher *dispatcher.Dispatcher
	settings   atomic.Pointer[api.Settings] // the current settings of the dispatcher
	clock      func() api.Micros            // monotonic, for leases
	listener   net.Listener
	server     *transport.Server
	client     *transport.Client
	raft       *raftnode.Node // nil: the operator file gives this member no raft node
	session    *session.Session
	ownership  *ownership.Manager
	custody    *custody.Store
	metrics    custody.Metrics
	peers      *peer.Client
	handoff    *handoff.Manager
	reporter   *health.Reporter
	collector  *health.Collector
	sites      *site.Sites

	progress    atomic.Pointer[rebalance.Progress] // progress of the running plan; nil without a raft node
	memberCount atomic.Int64                       // number of members in file; atomic for the event loop's goroutine

	mu          sync.Mutex
	file        config.File // the current operator file; its lease TTL, clock drift and name are those of the start
	planRequest coordinator.PlanRequest
	coordinator *coordinator.Coordinator

	ownershipWake wakeup.Signal  // sent when ranges, moves or the plan may have changed
	handoffWake   wakeup.Signal  // sent when pending webhooks may have changed
	ended         chan struct{}  // closed by Stop
	done          sync.WaitGroup // the background loops that Stop waits for
}

var _ dispatcher.Extension = (*Member)(nil)

// New returns a member that is configured by the operator file at a path. The dispatcher calls its methods, Begin
// first.
func New(path string) *Member {
	return &Member{
		configPath:    path,
		ownershipWake: wakeup.New(),
		handoffWake:   wakeup.New(),
		ended:         make(chan struct{}),
	}
}

// Begin reads the operator file, opens the raft node if this member has one, and installs the member's hooks in the
// dispatcher. The member's background loops don't run yet.
func (m *Member) Begin(d *dispatcher.Dispatcher) error {
	m.settings.Store(&d.Settings)
	m.dispatcher, m.self = d, cluster.MemberID(d.Configuration.Get("name").String())
	text, file, err := m.readOperatorFile()
	if err != nil {
		return err
	}
	m.file = file
	m.planRequest = coordinator.PlanRequest{Text: text, Groups: file.Groups()}
	m.memberCount.Store(int64(len(file.Members)))
	if m.clock, err = newLeaseClock(); err != nil {
		return err
	}
	own, _ := file.Member(m.self)
	if m.listener, err = listen(own.Address); err != nil {
		return err
	}
	m.client = transport.NewClient(m.self, memberAddresses(file))
	m.server = transport.NewServer(session.MaxConnections(len(file.Members)), requestTimeout)
	if own.RaftAddress != "" {
		if err := m.openRaftNode(own); err != nil {
			return err
		}
	}
	m.ownership = ownership.New(ownership.Config{
		Self:         m.self,
		LeaseTTL:     file.LeaseTTL,
		Clock:        m.clock,
		HandoffBatch: handoff.MaxBatch,
		OnChange:     m.wake,
	})
	if err := m.openCustody(); err != nil { // without the records a webhook might be delivered twice
		return fmt.Errorf("custody records: %w", err)
	}
	m.wireHandoff()
	m.wireHealth()
	m.sites = m.newSites()
	m.sites.Install()
	m.sites.RegisterHandlers(m.server)
	d.Loop.JoinCluster(eventLoopHooks{m})
	d.Upstream.MayCall = func(dest api.DestinationID) bool { return eventLoopHooks{m}.MayCall(dest, false) }
	return nil
}

// listen opens a TCP listener that no context closes.
func listen(address string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
}

func (m *Member) openRaftNode(own config.Member) error {
	listener, err := listen(own.RaftAddress)
	if err != nil {
		return err
	}
	leases := lease.NewTable()
	components := map[cluster.ComponentID]cluster.Component{
		cluster.ShardMapComponent:  shardmap.New(leases),
		cluster.RebalanceComponent: &rebalance.Progress{},
	}
	m.raft, err = raftnode.Open(raftnode.Config{
		ClusterName:  m.file.Name,
		Self:         m.self,
		StateDir:     m.dispatcher.StateDir,
		SessionTTL:   m.file.LeaseTTL,
		Addresses:    raftAddresses(m.file),
		Client:       m.client,
		Clock:        m.clock,
		Leases:       leases,
		StateMachine: fsm.New(leases, components),
	}, listener)
	if err != nil {
		return err
	}
	m.raft.RegisterHandlers(m.server)
	return nil
}

// openCustody opens the custody store, and tells it which webhooks the dispatcher has recovered from its journal.
func (m *Member) openCustody() (err error) {
	pending := map[shardmap.WebhookID]bool{}
	for _, id := range m.dispatcher.Loop.RecoveredIDs() {
		pending[custody.IDOf(id)] = true
	}
	m.custody, err = custody.Open(filepath.Join(m.dispatcher.StateDir, "fleet", "names"), custodyDiskMB,
		custodyRetentionTTLs*m.file.LeaseTTL, func(id shardmap.WebhookID) bool { return pending[id] })
	return err
}

// wireHandoff creates the parts that hand webhooks off to other members and accept webhooks from them.
func (m *Member) wireHandoff() {
	d := m.dispatcher
	m.peers = peer.NewClient(m.client)
	m.handoff = handoff.New(handoff.Config{
		Ownership: m.ownership,
		Custody:   m.custody,
		Metrics:   &m.metrics,
		Peers:     m.peers,
		Loop:      d.Loop,
		EventType: m.eventType,
		Wake:      m.handoffWake.Send,
	})
	m.ownership.SetLocalWork(m.handoff)
	receiver := forwarding.NewReceiver(m.forwardingConfig())
	m.server.Handle(peer.WebhookPath, receiver.HandleWebhook)
	m.server.Handle(peer.TransferPath, receiver.HandleTransfer)
	m.server.Handle(peer.QueryPath, receiver.HandleQuery)
}

func (m *Member) forwardingConfig() forwarding.Config {
	return forwarding.Config{
		Ownership:     m.ownership,
		Custody:       m.custody,
		Metrics:       &m.metrics,
		Peers:         m.peers,
		Inbox:         m.dispatcher.Inbox,
		Loop:          m.dispatcher.Loop,
		Handoffs:      m.handoff,
		MaxClockDrift: m.file.MaxClockDrift,
	}
}

// wireHealth creates the reporter, which counts outcomes, and the collector, which the coordinator uses. It also
// installs the forwarder, wrapped by the reporter so that rejections are counted.
func (m *Member) wireHealth() {
	d := m.dispatcher
	m.reporter = health.NewReporter(health.ReporterConfig{
		Self:      m.self,
		Maps:      m.ownership,
		Loop:      d.Loop,
		Clock:     m.clock,
		Meter:     rebalance.NewImpactMeter(randomID(), m.file.LeaseTTL, m.clock()),
		LoopEnded: m.ended,
	})
	m.collector = health.NewCollector(health.CollectorConfig{
		Self:        m.self,
		Reporter:    m.reporter,
		Client:      m.client,
		LeaseTTL:    m.file.LeaseTTL.Duration(),
		Members:     m.members,
		Query:       m.healthQuery,
		OnCollected: m.wake,
	})
	m.server.Handle(health.Path, m.reporter.HandleQuery)
	forwarder := forwarding.NewForwarder(m.forwardingConfig())
	d.Inbox.Forward = m.reporter.CountRejections(forwarder.Forward)
	d.Inbox.ExtraMetrics = m.WriteMetrics
}

// randomID returns a random number that is different at each start of a process.
func randomID() uint64 {
	var id [8]byte
	_, _ = crand.Read(id[:]) // never fails
	return binary.LittleEndian.Uint64(id[:])
}

// eventType returns an event type of the current settings. An event type that was removed counts as at-most-once, so
// that no call is retried.
func (m *Member) eventType(id api.EventTypeID) api.EventType {
	if all := m.settings.Load().EventTypes; int(id) < len(all) {
		return all[id]
	}
	return api.EventType{Semantics: api.AtMostOnce}
}

// wake schedules a reconcile and a run of the hand-off.
func (m *Member) wake() {
	m.ownershipWake.Send()
	m.handoffWake.Send()
}
