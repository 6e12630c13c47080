package member

import (
	crand "crypto/rand"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"rowanlink/cluster"
	"rowanlink/cluster/config"
	"rowanlink/cluster/fsm"
	"rowanlink/cluster/lease"
	"rowanlink/cluster/raftnode"
	"rowanlink/cluster/rebalance"
	"rowanlink/cluster/rebalance/planfile"
	"rowanlink/cluster/shardmap"
	"rowanlink/cluster/site"
	"rowanlink/cluster/transport"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher"
	"rowanlink/webhook/dispatcher/inflight"
)

const (
	requestTimeout       = 5 * time.Second // a message that has begun
	checksPerTTL         = 8               // looks in a term
	custodyDiskMB        = 32              // of the disk for names
	leaveTimeoutTTLs     = 1               // terms that a planned end waits for its turn
	custodyRetentionTTLs = 2               // terms by which names outlast what they name
)

// Member is one, beside its dispatcher.
type Member struct {
	configPath string
	self       cluster.MemberID
	configText []byte
	file       config.File
	dispatcher *dispatcher.Dispatcher
	settings   atomic.Pointer[api.Settings] // by the settings read last
	clock      func() api.Micros
	listener   net.Listener
	server     *transport.Server
	client     *transport.Client
	raft       *raftnode.Node // nil where it keeps no log
	session    *Session
	ownership  *Ownership
	handoff    *Handoff
	custody    *Store
	health     *Reporter
	// The running plan as the log has it; nil where no log is kept.
	progress    atomic.Pointer[rebalance.Progress]
	sites       *site.Sites
	memberCount atomic.Int64 // members by the file, for the decider's goroutine

	mu            sync.Mutex
	request       PlanRequest
	coordinator   *Coordinator
	ownershipWake chan struct{} // something is to be looked at
	handoffWake   chan struct{} // the same, of what is owed
	ended         chan struct{}
	done          sync.WaitGroup
}

// New makes a member by the operator file at a path.
func New(path string) *Member {
	return &Member{configPath: path, ownershipWake: make(chan struct{}, 1), handoffWake: make(chan struct{}, 1),
		ended: make(chan struct{})}
}

// readConfig reads the operator file and checks that this member stands in it and that its plan can be read.
func (m *Member) readConfig() (text []byte, f config.File, err error) {
	if m.configPath == "" {
		return nil, f, fmt.Errorf("ROWAN_FLEET names no operator file")
	}
	if text, err = os.ReadFile(m.configPath); err != nil {
		return nil, f, fmt.Errorf("operator file: %w", err)
	}
	if f, err = config.Parse(text, m.configPath); err != nil {
		return nil, f, err
	}
	if _, err = planfile.Parse(text, m.configPath); err != nil {
		return nil, f, err
	}
	if _, ok := f.Member(m.self); !ok {
		return nil, f, fmt.Errorf("%s: no member is called %q, the name in LB_CONFIG", m.configPath, m.self)
	}
	return text, f, nil
}

// Begin reads the file, opens the log where it is kept here, and joins the decider; nothing runs yet.
func (m *Member) Begin(d *dispatcher.Dispatcher) (err error) {
	m.settings.Store(&d.Facts)
	m.dispatcher, m.self = d, cluster.MemberID(d.Told.Get("name").String())
	if m.configText, m.file, err = m.readConfig(); err != nil {
		return err
	}
	if m.clock, err = newLeaseClock(); err != nil {
		return err
	}
	own, _ := m.file.Member(m.self)
	if m.listener, err = net.Listen("tcp", own.Address); err != nil {
		return err
	}
	m.request = PlanRequest{Text: m.configText, Groups: m.file.Groups()}
	m.client, m.server = transport.NewClient(m.self, memberAddresses(m.file)), transport.NewServer(MaxConnections(len(m.file.Members)), requestTimeout)
	if own.RaftAddress != "" {
		if err := m.openRaftNode(own); err != nil {
			return err
		}
	}
	m.ownership = &Ownership{self: m.self, leaseTTL: m.file.LeaseTTL, now: m.clock, onChange: m.wake}
	m.ownership.inactiveSince.Store(int64(m.clock()))
	if err := m.openCustody(); err != nil { // guards against a second effect: without them nothing is taken over
		return fmt.Errorf("names of webhooks: %w", err)
	}
	f := &forwarder{ownership: m.ownership, exchange: d.Exchange, client: m.client, custody: m.custody, maxClockDrift: m.file.MaxClockDrift,
		clockOffsets: map[cluster.MemberID]*shardmap.ClockOffset{}, incarnations: map[cluster.MemberID]uint64{}}
	m.handoff = &Handoff{forwarding: f, decider: d.Decider, arrivals: map[inflight.RequestID]shardmap.MoveID{},
		stateSent: map[shardmap.MoveID]bool{}, inProgress: map[cluster.MemberID]bool{}, eventType: m.eventType,
		wake: func() { wake(m.handoffWake) }}
	f.handoff, m.ownership.local = m.handoff, m.handoff
	m.health = &Reporter{self: m.self, ownership: m.ownership, decider: d.Decider, now: m.clock, stop: m.ended,
		tally: rebalance.NewImpactMeter(randomID(), m.file.LeaseTTL, m.clock())}
	d.Exchange.Away, d.Exchange.More = m.health.CountRejections(f.Forward), m.Print
	m.memberCount.Store(int64(len(m.file.Members)))
	m.sites = m.newSites()
	m.sites.Install()
	m.sites.RegisterHandlers(m.server)
	d.Decider.Join(admission{m})
	d.Calls.May = func(dest api.DestinationID) bool { return admission{m}.Calls(dest, false) }
	m.server.Handle(WebhookPath, f.HandleWebhook)
	m.server.Handle(TransferPath, f.HandleTransfer)
	m.server.Handle(QueryPath, f.HandleQuery)
	m.server.Handle(Path, m.health.HandleQuery)
	return nil
}

func (m *Member) openRaftNode(own config.Member) error {
	on, err := net.Listen("tcp", own.RaftAddress)
	if err != nil {
		return err
	}
	book := lease.NewTable()
	m.raft, err = raftnode.Open(raftnode.Config{ClusterName: m.file.Name, Self: m.self, StateDir: m.dispatcher.State,
		SessionTTL: m.file.LeaseTTL, Addresses: raftAddresses(m.file), Client: m.client, Clock: m.clock, Leases: book,
		StateMachine: fsm.New(book, map[byte]cluster.Component{cluster.ShardMapComponent: shardmap.New(book),
			cluster.RebalanceComponent: &rebalance.Progress{}})}, on)
	if err != nil {
		return err
	}
	m.raft.RegisterHandlers(m.server)
	return nil
}

// randomID is a number that no other start of a process has.
func randomID() uint64 {
	var draw [8]byte
	crand.Read(draw[:])
	return binary.LittleEndian.Uint64(draw[:])
}

// eventType is what the settings say of an event type by now.
func (m *Member) eventType(t api.EventTypeID) api.EventType {
	if all := m.settings.Load().EventTypes; int(t) < len(all) {
		return all[t]
	}
	return api.EventType{Semantics: api.AtMostOnce}
}

// openCustody opens the names of webhooks, beside what the journal still owes.
func (m *Member) openCustody() (err error) {
	held := map[shardmap.WebhookID]bool{}
	for _, id := range m.dispatcher.Decider.Earlier() {
		held[NameOf(id)] = true
	}
	m.custody, err = Open(filepath.Join(m.dispatcher.State, "fleet", "names"), custodyDiskMB, custodyRetentionTTLs*m.file.LeaseTTL,
		func(n shardmap.WebhookID) bool { return held[n] })
	return err
}

func (m *Member) wake() {
	wake(m.ownershipWake)
	wake(m.handoffWake)
}

// Serve starts what the member does by itself.
func (m *Member) Serve() {
	slog.Info("member", "fleet", m.file.Name, "name", m.self, "members", len(m.file.Members))
	m.session = NewSession(Config{Self: m.self, Incarnation: lease.Incarnation(randomID()),
		LeaseTTL: m.file.LeaseTTL, MaxClockDrift: m.file.MaxClockDrift, Clock: m.clock,
		Leader:   NewLeaderClient(m.client, raftNodes(m.file), rand.Float64),
		OnChange: func(cluster.Resource, cluster.Epoch) { m.wake() }})
	m.ownership.session = m.session
	if err := m.sites.Start(m.session); err != nil { // guards against a second effect, as above
		slog.Error("what goes to relays not read", "why", err)
		os.Exit(1)
	}
	m.coordinator = &Coordinator{ownership: m.ownership, health: m.health, vacancies: shardmap.NewFailoverPlanner(m.file.LeaseTTL)}
	go m.server.Serve(m.listener)
	m.session.Watch(cluster.ShardMapComponent, func(_ uint64, s []byte) { m.ownership.ApplySnapshot(s) })
	if m.raft != nil {
		m.session.Acquire(cluster.CoordinatorResource)
		m.session.Watch(cluster.LeaseComponent, m.applyLeases)
		m.session.Watch(cluster.RebalanceComponent, m.applyProgress)
	}
	m.done.Add(2)
	go m.pollHealth()
	go m.runPeriodically(m.ownershipWake, func() {
		m.ownership.TrackSession()
		m.ownership.Reconcile()
		m.ownership.ReleaseMergedRanges()
		m.dispatcher.Decider.Regate()
		m.health.NoteMoves()
		m.coordinate()
	})
	go m.runPeriodically(m.handoffWake, m.handoff.Run)
	m.session.RunLeaseWorkload(os.Getenv)
}

// Print writes the fleet's counters.
func (m *Member) Print(to io.Writer) {
	if m.session == nil {
		return
	}
	m.session.WriteMetrics(to)
	m.sites.WriteMetrics(to)
	if m.raft != nil {
		m.raft.WriteMetrics(to)
		m.writePlanMetrics(to)
	}
}
