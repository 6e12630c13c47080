// Package site connects a dispatcher to site streams. A site is a group of subscribers that are reached through one
// relay. One member, the site's sender, feeds the webhooks for the site's subscribers into a stream to the relay. The
// relay submits the webhooks that arrive to its local dispatcher. Any member accepts announcements.
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

// The names of folders below Options.StateDir.
const (
	clusterDir = "fleet"
	sentLogDir = "sent"
	relayDir   = "relay"
)

// sentLogMB is the size of the sent log, in MB.
const sentLogMB = 8

// Session acquires and releases leases for this member.
type Session interface {
	Acquire(cluster.Resource)
	Release(cluster.Resource)
	Holds(cluster.Resource) (cluster.Epoch, bool)
}

// Options are the settings of a Sites and the parts of its member that it uses.
type Options struct {
	Self           cluster.MemberID
	StateDir       string  // must outlast the process
	DiskMB         float64 // for the relay's journal
	Inbox          *inflight.Inbox
	Loop           *eventloop.Loop
	Messenger      relay.Messenger
	IsAccepting    func() bool // whether this member accepts webhooks; false while it shuts down
	NotifyHandoff  func()      // called when webhooks can be forwarded to other members; does not block
	EventType      func(api.EventTypeID) api.EventType
	IsRangeOwner   func(api.DestinationID) bool // whether only this member owns the destination's range
	IsSiteOwner    func(cluster.SiteID) bool    // whether this member owns the range of the site's subscribers
	IsOwnerUnknown func(cluster.SiteID) bool    // whether there may be no owner; then any member may call
	BufferCapacity func() int                   // maximum number of pending webhooks
}

// Sites manages all sites at one member. The counters count deliveries, except Announcements.
type Sites struct {
	Sent, Requeued, Bypassed, InDoubt, Results, Announcements atomic.Int64

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
	relay          atomic.Pointer[relayReceiver] // nil: this member is no relay
	routes         atomic.Pointer[routes]
	// submitNext is the next handler in the inbox's chain.
	submitNext func(*inflight.Webhook, func() (inflight.Answer, api.Micros)) (inflight.Answer, api.Micros)

	mu     sync.Mutex // held while senders or routes are changed
	closed chan struct{}
}

// New returns the Sites for an operator file. Start starts its goroutines.
func New(o Options, f config.File) *Sites {
	s := &Sites{
		self:           o.Self,
		options:        o,
		timing:         relay.TimingFor(f.LeaseTTL),
		clockDrift:     f.MaxClockDrift,
		loop:           o.Loop,
		messenger:      o.Messenger,
		eventType:      o.EventType,
		isRangeOwner:   o.IsRangeOwner,
		isSiteOwner:    o.IsSiteOwner,
		isOwnerUnknown: o.IsOwnerUnknown,
		closed:         make(chan struct{}),
	}
	s.routes.Store(s.newRoutes(f, nil))
	return s
}

// RegisterHandlers adds the handlers to a server. It must be called before the server starts.
func (s *Sites) RegisterHandlers(server *transport.Server) {
	server.Handle(relay.OpenPath, s.relayHandler((*relay.Receiver).HandleOpen))
	server.Handle(relay.FramePath, s.relayHandler((*relay.Receiver).HandleFrame))
	server.Handle(relay.ResultsPath, s.handleResults)
}

// relayHandler returns a handler that calls handle with this member's relay, or responds 503 if the member is no relay.
func (s *Sites) relayHandler(handle func(*relay.Receiver, *fasthttp.RequestCtx)) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if r := s.relay.Load(); r != nil {
			handle(r.receiver, ctx)
			return
		}
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// handleResults handles the results that a relay reports. It accepts them even if there is no stream to the relay: an
// earlier process may have sent the deliveries, or the operator file may no longer have the relay.
func (s *Sites) handleResults(ctx *fasthttp.RequestCtx) {
	sender := &siteSender{sites: s}
	for _, candidate := range s.routes.Load().senders {
		if candidate.site.Relay != transport.Sender(ctx) {
			continue
		}
		sender = candidate
		if running := sender.sender.Load(); running != nil {
			running.HandleResults(ctx)
			return
		}
	}
	var message relay.ResultsMessage
	if err := transport.Decode(ctx.PostBody(), &message); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	ctx.SetBody(transport.Encode(sender.RecordResults(message.Results)))
}

// Install inserts s into the inbox's chain of handlers. It must be called before clients are admitted.
func (s *Sites) Install() {
	s.submitNext = s.options.Inbox.Forward
	s.options.Inbox.Forward = s.submit
	s.options.Inbox.HasList = func(name string) bool { return s.routes.Load().lists[name] != nil }
}

// Start reads the journals and starts the goroutines, which Close ends. It first marks the webhooks that an earlier
// process sent to a relay, so that none of them is delivered twice.
func (s *Sites) Start(session Session) (err error) {
	s.session = session
	if s.sentLog, err = openSentLog(s.stateDir(sentLogDir), sentLogMB); err != nil {
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

func (s *Sites) stateDir(name string) string {
	return filepath.Join(s.options.StateDir, clusterDir, name)
}

// startRelay starts the relay if the operator file names this member as one and it does not run yet.
func (s *Sites) startRelay() error {
	isRelay := slices.ContainsFunc(s.routes.Load().senders, func(sender *siteSender) bool {
		return sender.site.Relay == s.self
	})
	if s.relay.Load() != nil || !isRelay {
		return nil
	}
	dispatcher := localDispatcher{
		loop:        s.loop,
		inbox:       s.options.Inbox,
		capacity:    func() int { return int(relayCapacityShare * float64(s.options.BufferCapacity())) },
		isAccepting: s.options.IsAccepting,
	}
	receiver, err := openRelayReceiver(s.stateDir(relayDir), s.options.DiskMB, dispatcher, s.messenger, s.timing)
	if err != nil {
		return err
	}
	s.relay.Store(receiver)
	s.loop.Reevaluate()
	slog.Info("serves as relay", "member", s.self, "capacity", receiver.Capacity())
	return nil
}

// ApplyConfig replaces the operator file.
func (s *Sites) ApplyConfig(f config.File) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.routes.Load()
	next := s.newRoutes(f, previous)
	s.routes.Store(next)
	for _, sender := range previous.senders {
		if sender.closing.Load() || !slices.Contains(next.senders, sender) {
			sender.stopStream()
			sender.direct.Store(false)
		}
	}
	if err := s.startRelay(); err != nil {
		slog.Error("does not serve as relay", "error", err)
	}
	s.loop.Reevaluate()
}

// run reconciles the senders at intervals until Close.
func (s *Sites) run() {
	ticker := time.NewTicker(s.timing.PollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.closed:
			return
		case <-ticker.C:
		}
		s.reconcileSenders()
	}
}

func (s *Sites) reconcileSenders() {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.routes.Load()
	var parked map[*siteSender][]eventloop.Parked
	if slices.ContainsFunc(r.senders, (*siteSender).needsParkedWebhooks) {
		parked = s.parkedBySender(r)
	}
	for _, sender := range r.senders {
		if sender.site.Relay != s.self {
			sender.reconcile(parked[sender])
		}
	}
}

func (s *Sites) senderOfDestination(d api.DestinationID) *siteSender {
	return s.routes.Load().senderByDestination[d]
}

// Close stops run and closes the journals. The records stay on disk.
func (s *Sites) Close() {
	close(s.closed)
	if r := s.relay.Load(); r != nil {
		if err := r.close(); err != nil {
			slog.Warn("relay's journal not closed", "error", err)
		}
	}
	if s.sentLog != nil {
		_ = s.sentLog.close() // an error only loses removals; see sentLog.remove
	}
}
