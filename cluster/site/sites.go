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

// sentLogMB of the disk are for what is noted of deliveries on their way.
const sentLogMB = 8

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
	Inbox          *inflight.Inbox
	Loop           *eventloop.Loop
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

	self           cluster.MemberID
	options        Options
	timing         relay.Timing
	clockDrift     float64
	loop           *eventloop.Loop
	messenger      relay.Messenger
	session        Session
	eventType      func(api.EventTypeID) api.EventType
	isRangeOwner   func(api.DestinationID) bool
	isSiteOwner    func(cluster.SiteID) bool
	isOwnerUnknown func(cluster.SiteID) bool
	sentLog        *sentLog
	relay          atomic.Pointer[relayReceiver]
	routes         atomic.Pointer[routes]
	submitNext     func(*inflight.Webhook, func() (inflight.Answer, api.Micros)) (inflight.Answer, api.Micros)

	mu     sync.Mutex // one renewal at a time
	closed chan struct{}
}

// New makes them by the operator file; nothing runs yet.
func New(p Options, f config.File) *Sites {
	s := &Sites{self: p.Self, options: p, timing: relay.TimingFor(f.LeaseTTL), clockDrift: f.MaxClockDrift, loop: p.Loop, messenger: p.Messenger,
		eventType: p.EventType, isRangeOwner: p.IsRangeOwner, isSiteOwner: p.IsSiteOwner, isOwnerUnknown: p.IsOwnerUnknown, closed: make(chan struct{})}
	s.routes.Store(s.newRoutes(f, nil))
	return s
}

// RegisterHandlers has messages heard; before the server serves only.
func (s *Sites) RegisterHandlers(server *transport.Server) {
	heard := func(by func(*relay.Receiver, *fasthttp.RequestCtx)) func(*fasthttp.RequestCtx) {
		return func(ctx *fasthttp.RequestCtx) {
			if k := s.relay.Load(); k != nil {
				by(k.receiver, ctx)
				return
			}
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	}
	server.Handle(relay.OpenPath, heard((*relay.Receiver).HandleOpen))
	server.Handle(relay.FramePath, heard((*relay.Receiver).HandleFrame))
	server.Handle(relay.ResultsPath, s.handleResults)
}

// handleResults hears a relay. Without a stream, what was sent by an earlier life of this process, or to a
// relay that is no site's any more, ends all the same.
func (s *Sites) handleResults(ctx *fasthttp.RequestCtx) {
	l := &siteSender{sites: s}
	for _, one := range s.routes.Load().senders {
		if one.site.Relay == transport.Sender(ctx) {
			l = one
			if stream := l.sender.Load(); stream != nil {
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
	s.submitNext = s.options.Inbox.Forward
	s.options.Inbox.Forward = s.submit
	s.options.Inbox.HasList = func(name string) bool { return s.routes.Load().lists[name] != nil }
}

// Start starts what goes on by itself. Guards against a second effect: what was given to a relay before is
// known to be so before anything else is done with it.
func (s *Sites) Start(session Session) (err error) {
	s.session = session
	if s.sentLog, err = openSentLog(filepath.Join(s.options.StateDir, "fleet", "sent"), sentLogMB); err != nil {
		return err
	}
	var sent []inflight.RequestID
	for id := range s.sentLog.records {
		sent = append(sent, id)
	}
	s.loop.RestoreAtRelay(sent)
	if err := s.startRelay(); err != nil {
		return err
	}
	go s.run()
	return nil
}

// startRelay begins as a relay, if this member is one and is none yet.
func (s *Sites) startRelay() error {
	if now := s.routes.Load(); s.relay.Load() != nil ||
		!slices.ContainsFunc(now.senders, func(l *siteSender) bool { return l.site.Relay == s.self }) {
		return nil
	}
	room := func() int { return int(relayCapacityShare * float64(s.options.BufferCapacity())) }
	of := localDispatcher{s.loop, s.options.Inbox, room, s.options.IsAccepting}
	k, err := openRelayReceiver(filepath.Join(s.options.StateDir, "fleet", "relay"), s.options.DiskMB, of, s.messenger, s.timing)
	if err != nil {
		return err
	}
	s.relay.Store(k)
	s.loop.Reevaluate()
	slog.Info("serves as relay", "member", s.self, "room", k.Capacity())
	return nil
}

// ApplyConfig goes on by another operator file.
func (s *Sites) ApplyConfig(f config.File) {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.routes.Load()
	now := s.newRoutes(f, was)
	s.routes.Store(now)
	for _, l := range was.senders {
		if l.closing.Load() || !slices.Contains(now.senders, l) {
			l.stopStream()
			l.direct.Store(false)
		}
	}
	if err := s.startRelay(); err != nil {
		slog.Error("does not serve as relay", "why", err)
	}
	s.loop.Reevaluate()
}

func (s *Sites) run() {
	tick := time.NewTicker(s.timing.PollInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.closed:
			return
		case <-tick.C:
		}
		s.mu.Lock()
		now := s.routes.Load()
		var owed map[*siteSender][]eventloop.Parked
		if slices.ContainsFunc(now.senders, (*siteSender).hasWork) {
			owed = s.parkedBySender(now)
		}
		for _, l := range now.senders {
			if l.site.Relay != s.self {
				l.reconcile(owed[l])
			}
		}
		s.mu.Unlock()
	}
}

func (s *Sites) senderFor(d api.DestinationID) *siteSender { return s.routes.Load().senderOf[d] }

// Close leaves all as it is on disk.
func (s *Sites) Close() {
	close(s.closed)
	if k := s.relay.Load(); k != nil {
		if err := k.close(); err != nil {
			slog.Warn("relay's journal not closed", "why", err)
		}
	}
	if s.sentLog != nil {
		s.sentLog.close()
	}
}
