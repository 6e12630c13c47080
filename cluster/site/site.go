// Package site joins a dispatcher to site streams: at its sender, what is owed to a site's subscribers goes
// into the stream; at its relay, what comes by it is delivered; at any member, announcements are taken on.
package site

import (
	"log/slog"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"rowanlink/cluster"
	"rowanlink/cluster/config"
	"rowanlink/cluster/relay"
	"rowanlink/cluster/transport"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/eventloop"
	"rowanlink/webhook/dispatcher/inflight"
)

// marksMB of the disk are for what is noted of deliveries on their way.
const marksMB = 8

// Session is what a member holds.
type Session interface {
	Acquire(cluster.Resource)
	Release(cluster.Resource)
	Holds(cluster.Resource) (cluster.Epoch, bool)
}

// Options is what a Sites is made of.
type Options struct {
	Self           cluster.MemberID
	StateDir       string  // the folder that outlasts the process
	DiskMB         float64 // for a relay's own journal
	Exchange       *inflight.Inbox
	Decider        *eventloop.Loop
	Messenger      relay.Messenger
	IsAccepting    func() bool // webhooks, from whomever
	NotifyHandoff  func()      // something is to be handed on; does not wait
	EventType      func(api.EventTypeID) api.EventType
	IsRangeOwner   func(api.DestinationID) bool // this member, and no other, is home of a destination
	IsSiteOwner    func(cluster.SiteID) bool    // this member is home of where a site's subscribers stand
	IsOwnerUnknown func(cluster.SiteID) bool    // nobody may be: whoever holds a webhook calls
	BufferCapacity func() int                   // webhooks held at once
}

// Sites are all sites as one member sees them.
type Sites struct {
	Sent, Requeued, Bypassed, InDoubt, Results, Announcements atomic.Int64 // deliveries, but for the last

	self    cluster.MemberID
	p       Options
	pace    relay.Timing
	apart   float64
	decider *eventloop.Loop
	said    relay.Messenger
	session Session
	event   func(api.EventTypeID) api.EventType
	serves  func(api.DestinationID) bool
	home    func(cluster.SiteID) bool
	alone   func(cluster.SiteID) bool
	marks   *marks
	desk    atomic.Pointer[desk]
	plan    atomic.Pointer[ways]
	next    func(*inflight.Webhook, func() (inflight.Answer, api.Micros)) (inflight.Answer, api.Micros)

	mu    sync.Mutex // one renewal at a time
	ended chan struct{}
}

// New makes them by the operator file; nothing runs yet.
func New(p Options, f config.File) *Sites {
	s := &Sites{self: p.Self, p: p, pace: relay.TimingFor(f.LeaseTTL), apart: f.MaxClockDrift, decider: p.Decider, said: p.Messenger,
		event: p.EventType, serves: p.IsRangeOwner, home: p.IsSiteOwner, alone: p.IsOwnerUnknown, ended: make(chan struct{})}
	s.plan.Store(s.ways(f, nil))
	return s
}

// RegisterHandlers has messages heard; before the server serves only.
func (s *Sites) RegisterHandlers(server *transport.Server) {
	heard := func(by func(*relay.Receiver, *fasthttp.RequestCtx)) func(*fasthttp.RequestCtx) {
		return func(ctx *fasthttp.RequestCtx) {
			if k := s.desk.Load(); k != nil {
				by(k.relay, ctx)
				return
			}
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	}
	server.Handle(relay.OpenPath, heard((*relay.Receiver).HandleOpen))
	server.Handle(relay.FramePath, heard((*relay.Receiver).HandleFrame))
	server.Handle(relay.ResultsPath, s.answers)
}

// answers hears a relay. Without a stream, what was sent by an earlier life of this process, or to a
// relay that is no site's any more, ends all the same.
func (s *Sites) answers(ctx *fasthttp.RequestCtx) {
	l := &lane{of: s}
	for _, one := range s.plan.Load().lanes {
		if one.site.Relay == transport.Sender(ctx) {
			l = one
			if stream := l.stream.Load(); stream != nil {
				stream.HandleResults(ctx)
				return
			}
		}
	}
	var ends relay.ResultsMessage
	if err := transport.Decode(ctx.PostBody(), &ends); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	ctx.SetBody(transport.Encode(l.RecordResults(ends.Results)))
}

// Install joins the exchange; before clients are let in.
func (s *Sites) Install() {
	s.next = s.p.Exchange.Forward
	s.p.Exchange.Forward = s.away
	s.p.Exchange.HasList = func(name string) bool { return s.plan.Load().lists[name] != nil }
}

// Start starts what goes on by itself. Guards against a second effect: what was given to a relay before is
// known to be so before anything else is done with it.
func (s *Sites) Start(session Session) (err error) {
	s.session = session
	if s.marks, err = openMarks(filepath.Join(s.p.StateDir, "fleet", "sent"), marksMB); err != nil {
		return err
	}
	var sent []inflight.RequestID
	for id := range s.marks.of {
		sent = append(sent, id)
	}
	s.decider.RestoreAtRelay(sent)
	if err := s.serveRelay(); err != nil {
		return err
	}
	go s.run()
	return nil
}

// serveRelay begins as a relay, if this member is one and is none yet.
func (s *Sites) serveRelay() error {
	if now := s.plan.Load(); s.desk.Load() != nil ||
		!slices.ContainsFunc(now.lanes, func(l *lane) bool { return l.site.Relay == s.self }) {
		return nil
	}
	room := func() int { return int(roomPart * float64(s.p.BufferCapacity())) }
	of := dispatcher{s.decider, s.p.Exchange, room, s.p.IsAccepting}
	k, err := openDesk(filepath.Join(s.p.StateDir, "fleet", "relay"), s.p.DiskMB, of, s.said, s.pace)
	if err != nil {
		return err
	}
	s.desk.Store(k)
	s.decider.Reevaluate()
	slog.Info("serves as relay", "member", s.self, "room", k.Capacity())
	return nil
}

// ApplyConfig goes on by another operator file.
func (s *Sites) ApplyConfig(f config.File) {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.plan.Load()
	now := s.ways(f, was)
	s.plan.Store(now)
	for _, l := range was.lanes {
		if l.closing.Load() || !slices.Contains(now.lanes, l) {
			l.end()
			l.direct.Store(false)
		}
	}
	if err := s.serveRelay(); err != nil {
		slog.Error("does not serve as relay", "why", err)
	}
	s.decider.Reevaluate()
}

func (s *Sites) run() {
	tick := time.NewTicker(s.pace.PollInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.ended:
			return
		case <-tick.C:
		}
		s.mu.Lock()
		now := s.plan.Load()
		var owed map[*lane][]eventloop.Parked
		if slices.ContainsFunc(now.lanes, (*lane).sends) {
			owed = s.owed(now)
		}
		for _, l := range now.lanes {
			if l.site.Relay != s.self {
				l.look(owed[l])
			}
		}
		s.mu.Unlock()
	}
}

func (s *Sites) lane(d api.DestinationID) *lane { return s.plan.Load().of[d] }

// Close leaves all as it is on disk.
func (s *Sites) Close() {
	close(s.ended)
	if k := s.desk.Load(); k != nil {
		if err := k.close(); err != nil {
			slog.Warn("relay's journal not closed", "why", err)
		}
	}
	if s.marks != nil {
		s.marks.close()
	}
}
