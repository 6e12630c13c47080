// Package httpserver is the client side of a proxy: it takes requests, has each served by an endpoint, and passes the
// answer on. It stands between placement, which says where a request goes, the endpoint side, which sends it, and the
// retry policy, which says whether it goes again.
package httpserver

import (
	"bytes"
	"context"
	stdlog "log"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"rowanlink/internal/ctxsleep"
	"rowanlink/serving/attempt"
	"rowanlink/serving/event"
	"rowanlink/serving/placement"
	"rowanlink/serving/retry"
	"rowanlink/serving/routing"
	"rowanlink/serving/upstream"
)

// Placer says where requests go. *placement.Placer is one.
type Placer interface {
	Pick(now time.Time, request placement.Request) (placement.Choice, placement.Decision)
	ReportProgress(now time.Time, ticket placement.Reservation)
	ReportOutcome(now time.Time, ticket placement.Reservation, outcome attempt.Outcome)
}

// Retrier says whether requests go again. *retry.Policy is one.
type Retrier interface {
	Request(now time.Time, service string)
	After(now time.Time, try retry.Try) retry.Decision
}

// Options of a server. All but the numbers are required.
type Options struct {
	Clients net.Listener // clients' requests
	Checks  net.Listener // the platform's readiness checks; may be nil
	Table   func() *routing.Table
	Ready   func() bool // whether the process knows enough to serve
	// ConnectionShare is how many connections this process may have to one endpoint of a service.
	ConnectionShare func(*routing.Service) int
	Placer          Placer
	Retry           Retrier
	Pool            *upstream.Pool
	Log             *zerolog.Logger

	MostConnections int   // clients' connections; zero: defaultConnections
	BodyMemory      int64 // bytes of large bodies held at once; zero: defaultBodyMemory
}

// Defaults of a server.
const (
	defaultConnections = 2000
	defaultBodyMemory  = 64 << 20
	defaultHeaderWait  = 10 * time.Second
	defaultIdle        = time.Minute
	// mostHead bounds a request's head whatever the configuration says, in bytes.
	mostHead = 1 << 20
	// idleRoom is how much longer an idle connection is kept than clients are told, for requests on their way.
	idleRoom = 2 * time.Second
)

// Server serves clients.
type Server struct {
	options  Options
	listener *listener
	clients  *http.Server
	checks   *http.Server
	bodies   bodyMemory

	inFlight atomic.Int64 // requests
	draining atomic.Bool  // the process was told to end
	refusing atomic.Bool  // new requests are refused

	pause func(context.Context, time.Duration) bool // pause.For, but in tests of an end by plan
}

// New makes a server; Start starts it.
func New(options Options) *Server {
	if options.MostConnections <= 0 {
		options.MostConnections = defaultConnections
	}
	if options.BodyMemory <= 0 {
		options.BodyMemory = defaultBodyMemory
	}
	s := &Server{options: options, bodies: bodyMemory{most: options.BodyMemory}, pause: ctxsleep.For}
	s.listener = newListener(options.Clients, options.MostConnections, s.limits, s.noteFull)
	s.clients = &http.Server{
		Handler:                      s,
		MaxHeaderBytes:               mostHead,
		DisableGeneralOptionsHandler: true,
		ConnState:                    noteState,
		ConnContext:                  withConnection,
		ErrorLog:                     stdlog.New(faultLog{options.Log}, "", 0),
	}
	s.checks = &http.Server{Handler: http.HandlerFunc(s.answerCheck), ReadHeaderTimeout: defaultHeaderWait}
	return s
}

// Start begins to take requests and checks.
func (s *Server) Start() {
	go s.run(s.clients, s.listener)
	if s.options.Checks != nil {
		go s.run(s.checks, s.options.Checks)
	}
}

func (s *Server) run(server *http.Server, listener net.Listener) {
	err := server.Serve(listener)
	if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		event.ListenerFailed.Log(s.options.Log).Err(err).Send()
	}
}

// Close ends all connections at once.
func (s *Server) Close() {
	_ = s.clients.Close() // nothing is left to be told
	_ = s.checks.Close()
}

// InFlight is the number of requests under way.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Ready tells whether clients should be sent here.
func (s *Server) Ready() bool { return !s.draining.Load() && s.options.Ready() }

// answerCheck answers the platform's check.
func (s *Server) answerCheck(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != "/readiness":
		w.WriteHeader(http.StatusNotFound)
	case s.Ready():
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// limits are the operator's time limits on a client's connection, with some room where it is idle.
func (s *Server) limits() (headerWait, idle time.Duration) {
	headerWait, idle = defaultHeaderWait, defaultIdle
	if table := s.options.Table(); table != nil {
		if table.Limits.HeaderWait > 0 {
			headerWait = table.Limits.HeaderWait
		}
		if table.Limits.Idle > 0 {
			idle = table.Limits.Idle + idleRoom
		}
	}
	return headerWait, idle
}

// keepAlive is what clients are told of how long their connection may rest; empty: nothing.
func (s *Server) keepAlive() string {
	table := s.options.Table()
	if table == nil || table.Limits.Idle < time.Second {
		return ""
	}
	return "timeout=" + strconv.Itoa(int(table.Limits.Idle/time.Second))
}

func (s *Server) noteFull() { event.ConnectionsFull.Log(s.options.Log).Send() }

// faultLog turns the HTTP server's own lines into events.
type faultLog struct{ log *zerolog.Logger }

func (l faultLog) Write(line []byte) (int, error) {
	event.HandlerFailed.Log(l.log).Bytes(zerolog.ErrorFieldName, bytes.TrimSpace(line)).Send()
	return len(line), nil
}
