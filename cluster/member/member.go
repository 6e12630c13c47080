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
	wholeIn  = 5 * time.Second // a message that has begun
	looksBy  = 8               // looks in a term
	namesMB  = 32              // of the disk for names
	leaveBy  = 1               // terms that a planned end waits for its turn
	expireBy = 2               // terms by which names outlast what they name
)

// Member is one, beside its dispatcher.
type Member struct {
	path    string
	self    cluster.MemberID
	text    []byte
	file    config.File
	d       *dispatcher.Dispatcher
	facts   atomic.Pointer[api.Facts] // by the settings read last
	clock   func() api.Micros
	on      net.Listener
	server  *transport.Server
	talk    *transport.Talk
	keeper  *raftnode.Keeper // nil where it keeps no log
	session *Session
	homes   *homes
	owing   *owing
	names   *names
	harm    *harm
	// The running plan as the log has it; nil where no log is kept.
	progress atomic.Pointer[rebalance.Progress]
	sites    *site.Sites
	many     atomic.Int64 // members by the file, for the decider's goroutine

	mu        sync.Mutex
	wish      wish
	conductor *conductor
	poke      chan struct{} // something is to be looked at
	pokeOwed  chan struct{} // the same, of what is owed
	ended     chan struct{}
	done      sync.WaitGroup
}

// New makes a member by the operator file at a path.
func New(path string) *Member {
	return &Member{path: path, poke: make(chan struct{}, 1), pokeOwed: make(chan struct{}, 1),
		ended: make(chan struct{})}
}

// read reads the operator file and checks that this member stands in it and that its plan can be read.
func (m *Member) read() (text []byte, f config.File, err error) {
	if m.path == "" {
		return nil, f, fmt.Errorf("ROWAN_FLEET names no operator file")
	}
	if text, err = os.ReadFile(m.path); err != nil {
		return nil, f, fmt.Errorf("operator file: %w", err)
	}
	if f, err = config.Read(text, m.path); err != nil {
		return nil, f, err
	}
	if _, err = planfile.Parse(text, m.path); err != nil {
		return nil, f, err
	}
	if _, ok := f.Member(m.self); !ok {
		return nil, f, fmt.Errorf("%s: no member is called %q, the name in LB_CONFIG", m.path, m.self)
	}
	return text, f, nil
}

// Begin reads the file, opens the log where it is kept here, and joins the decider; nothing runs yet.
func (m *Member) Begin(d *dispatcher.Dispatcher) (err error) {
	m.facts.Store(&d.Facts)
	m.d, m.self = d, cluster.MemberID(d.Told.Get("name").String())
	if m.text, m.file, err = m.read(); err != nil {
		return err
	}
	if m.clock, err = clocked(); err != nil {
		return err
	}
	own, _ := m.file.Member(m.self)
	if m.on, err = net.Listen("tcp", own.Says); err != nil {
		return err
	}
	m.wish = wish{text: m.text, groups: m.file.Groups()}
	m.talk, m.server = transport.New(m.self, says(m.file)), transport.Hears(Hearers(len(m.file.Members)), wholeIn)
	if own.Log != "" {
		if err := m.keep(own); err != nil {
			return err
		}
	}
	m.homes = &homes{self: m.self, term: m.file.Term, now: m.clock, changed: m.nudge}
	m.homes.over.Store(int64(m.clock()))
	if err := m.named(); err != nil { // guards against a second effect: without them nothing is taken over
		return fmt.Errorf("names of webhooks: %w", err)
	}
	f := &forwarding{homes: m.homes, x: d.Exchange, talk: m.talk, names: m.names, apart: m.file.Apart,
		clocks: map[cluster.MemberID]*shardmap.Clock{}, lives: map[cluster.MemberID]uint64{}}
	m.owing = &owing{forwarding: f, decider: d.Decider, adopted: map[inflight.RequestID]shardmap.MoveID{},
		told: map[shardmap.MoveID]bool{}, busy: map[cluster.MemberID]bool{}, events: m.event,
		looks: func() { nudge(m.pokeOwed) }}
	f.side, m.homes.side = m.owing, m.owing
	m.harm = &harm{self: m.self, homes: m.homes, d: d.Decider, now: m.clock, over: m.ended,
		tally: rebalance.NewImpactMeter(drawn(), m.file.Term, m.clock())}
	d.Exchange.Away, d.Exchange.More = m.harm.entry(f.Away), m.Print
	m.many.Store(int64(len(m.file.Members)))
	m.sites = m.joins()
	m.sites.Begin()
	m.sites.Hear(m.server)
	d.Decider.Join(gate{m})
	d.Calls.May = func(dest api.DestinationID) bool { return gate{m}.Calls(dest, false) }
	m.server.Handle(webhookPath, f.Hear)
	m.server.Handle(owedPath, f.HearOwed)
	m.server.Handle(settlePath, f.HearSettle)
	m.server.Handle(harmPath, m.harm.Hear)
	return nil
}

func (m *Member) keep(own config.Member) error {
	on, err := net.Listen("tcp", own.Log)
	if err != nil {
		return err
	}
	book := lease.NewBook()
	m.keeper, err = raftnode.Open(raftnode.Place{Fleet: m.file.Name, Self: m.self, Folder: m.d.State,
		Term: m.file.Term, Logs: logs(m.file), Talk: m.talk, Clock: m.clock, Book: book,
		State: fsm.New(book, map[byte]cluster.Part{cluster.RangesPart: shardmap.New(book),
			cluster.PlanPart: &rebalance.Progress{}})}, on)
	if err != nil {
		return err
	}
	m.keeper.Handle(m.server)
	return nil
}

// drawn is a number that no other start of a process has.
func drawn() uint64 {
	var draw [8]byte
	crand.Read(draw[:])
	return binary.LittleEndian.Uint64(draw[:])
}

// event is what the settings say of an event type by now.
func (m *Member) event(t api.EventTypeID) api.EventType {
	if all := m.facts.Load().EventTypes; int(t) < len(all) {
		return all[t]
	}
	return api.EventType{Repeat: api.AtMostOnce}
}

// named opens the names of webhooks, beside what the journal still owes.
func (m *Member) named() (err error) {
	held := map[shardmap.Name]bool{}
	for _, id := range m.d.Decider.Earlier() {
		held[nameOf(id)] = true
	}
	m.names, err = openNames(filepath.Join(m.d.State, "fleet", "names"), namesMB, expireBy*m.file.Term,
		func(n shardmap.Name) bool { return held[n] })
	return err
}

func (m *Member) nudge() {
	nudge(m.poke)
	nudge(m.pokeOwed)
}

// Serve starts what the member does by itself.
func (m *Member) Serve() {
	slog.Info("member", "fleet", m.file.Name, "name", m.self, "members", len(m.file.Members))
	m.session = NewSession(Life{Self: m.self, Incarnation: lease.Incarnation(drawn()),
		Term: m.file.Term, Apart: m.file.Apart, Clock: m.clock,
		Keepers: NewKeepers(m.talk, keepers(m.file), rand.Float64),
		Told:    func(cluster.Task, cluster.Epoch) { m.nudge() }})
	m.homes.session = m.session
	if err := m.sites.Serve(m.session); err != nil { // guards against a second effect, as above
		slog.Error("what goes to relays not read", "why", err)
		os.Exit(1)
	}
	m.conductor = &conductor{homes: m.homes, harm: m.harm, vacancy: shardmap.NewVacancies(m.file.Term)}
	go m.server.Serve(m.on)
	m.session.Follow(cluster.RangesPart, func(_ uint64, s []byte) { m.homes.Charted(s) })
	if m.keeper != nil {
		m.session.Want(cluster.Conducts)
		m.session.Follow(cluster.LeasePart, m.booked)
		m.session.Follow(cluster.PlanPart, m.planned)
	}
	m.done.Add(2)
	go m.measure()
	go m.every(m.poke, func() {
		m.homes.Beat()
		m.homes.Look()
		m.homes.merged()
		m.d.Decider.Regate()
		m.harm.Look()
		m.conduct()
	})
	go m.every(m.pokeOwed, m.owing.Look)
	m.session.Deeds(os.Getenv)
}

// Print writes the fleet's counters.
func (m *Member) Print(to io.Writer) {
	if m.session == nil {
		return
	}
	m.session.Print(to)
	m.sites.Print(to)
	if m.keeper != nil {
		m.keeper.Print(to)
		m.printPlan(to)
	}
}
