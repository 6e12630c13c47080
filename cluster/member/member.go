// Package member makes a webhook dispatcher a member of a cluster. It wires the following to the dispatcher and runs
// them: a raft node where the operator file names one here (raftnode), the session with its leases (session), the
// ranges that this member owns (ownership), webhooks forwarded and handed off (forwarding, handoff, custody, peer), the
// rebalancing plan and its health (coordinator, health) and the streams to sites' relays (cluster/site).
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
	requestTimeout       = 5 * time.Second // for a request of another member that has begun
	checksPerTTL         = 8               // reconciliations in a lease TTL, beside those that a change causes
	custodyDiskMB        = 32              // of the disk for custody records
	custodyRetentionTTLs = 2               // lease TTLs by which custody records outlast what they name
)

// Member is one member of the cluster: the extension of its dispatcher by which that joins it.
type Member struct {
	configPath string
	self       cluster.MemberID
	dispatcher *dispatcher.Dispatcher
	settings   atomic.Pointer[api.Settings] // read last
	clock      func() api.Micros            // monotonic, for leases
	listener   net.Listener
	server     *transport.Server
	client     *transport.Client
	raft       *raftnode.Node // nil: the operator file names no raft node here
	session    *session.Session
	ownership  *ownership.Manager
	custody    *custody.Store
	metrics    custody.Metrics
	peers      *peer.Client
	handoff    *handoff.Manager
	reporter   *health.Reporter
	collector  *health.Collector
	sites      *site.Sites

	progress    atomic.Pointer[rebalance.Progress] // of the running plan; nil without a raft node
	memberCount atomic.Int64                       // by the operator file, for the event loop's goroutine

	mu          sync.Mutex
	file        config.File // the operator file read last; the lease TTL, clock drift and name are those read first
	planRequest coordinator.PlanRequest
	coordinator *coordinator.Coordinator

	ownershipWake wakeup.Signal // ranges, moves or the plan may have changed
	handoffWake   wakeup.Signal // pending webhooks may have changed
	ended         chan struct{}
	done          sync.WaitGroup
}

var _ dispatcher.Extension = (*Member)(nil)

// New returns a member by the operator file at a path. The dispatcher calls its methods.
func New(path string) *Member {
	return &Member{
		configPath:    path,
		ownershipWake: wakeup.New(),
		handoffWake:   wakeup.New(),
		ended:         make(chan struct{}),
	}
}

// Begin reads the operator file, opens the raft node's log if this member has one, and joins the dispatcher's event
// loop. No background loop runs yet.
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
	d.Loop.JoinCluster(admission{m})
	d.Upstream.MayCall = func(dest api.DestinationID) bool { return admission{m}.MayCall(dest, false) }
	return nil
}

// listen listens for as long as the process runs.
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

// openCustody opens the custody records, beside the webhooks that the dispatcher has recovered from its journal.
func (m *Member) openCustody() (err error) {
	pending := map[shardmap.WebhookID]bool{}
	for _, id := range m.dispatcher.Loop.RecoveredIDs() {
		pending[custody.IDOf(id)] = true
	}
	m.custody, err = custody.Open(filepath.Join(m.dispatcher.StateDir, "fleet", "names"), custodyDiskMB,
		custodyRetentionTTLs*m.file.LeaseTTL, func(id shardmap.WebhookID) bool { return pending[id] })
	return err
}

// wireHandoff creates what transfers webhooks to other members and accepts theirs.
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
	m.ownership.Bind(m.handoff)
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

// wireHealth creates the counts of outcomes and, for the coordinator, their collection. Clients' webhooks pass through
// the reporter to the forwarder.
func (m *Member) wireHealth() {
	d := m.dispatcher
	m.reporter = health.NewReporter(health.ReporterConfig{
		Self:  m.self,
		Maps:  m.ownership,
		Loop:  d.Loop,
		Clock: m.clock,
		Meter: rebalance.NewImpactMeter(randomID(), m.file.LeaseTTL, m.clock()),
		Stop:  m.ended,
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

// randomID returns a number that no other start of a process has.
func randomID() uint64 {
	var id [8]byte
	_, _ = crand.Read(id[:]) // never fails
	return binary.LittleEndian.Uint64(id[:])
}

// eventType returns an event type by the settings read last. One that was removed is at-most-once, so that
// no call is retried.
func (m *Member) eventType(id api.EventTypeID) api.EventType {
	if all := m.settings.Load().EventTypes; int(id) < len(all) {
		return all[id]
	}
	return api.EventType{Semantics: api.AtMostOnce}
}

// wake schedules a reconciliation of ownership and hand-offs.
func (m *Member) wake() {
	m.ownershipWake.Send()
	m.handoffWake.Send()
}
