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

// EndpointPicker says where requests go. *placement.EndpointPicker is one.
type EndpointPicker interface {
	Pick(now time.Time, request placement.Request) (placement.Choice, placement.Decision)
	ReportProgress(now time.Time, ticket placement.Reservation)
	ReportOutcome(now time.Time, ticket placement.Reservation, outcome attempt.Outcome)
}

// RetryPolicy says whether requests go again. *retry.Policy is one.
type RetryPolicy interface {
	CountRequest(now time.Time, service string)
	Decide(now time.Time, try retry.FailedAttempt) retry.Decision
}

// Options of a server. All but the numbers are required.
type Options struct {
	ClientListener    net.Listener // clients' requests
	ReadinessListener net.Listener // the platform's readiness checks; may be nil
	RoutingTable      func() *routing.Table
	Ready             func() bool // whether the process knows enough to serve
	// ConnectionShare is how many connections this process may have to one endpoint of a service.
	ConnectionShare func(*routing.Service) int
	Picker          EndpointPicker
	RetryPolicy     RetryPolicy
	Pool            *upstream.Pool
	Log             *zerolog.Logger

	MaxConnections int   // clients' connections; zero: defaultConnections
	MaxBodyMemory  int64 // bytes of large bodies held at once; zero: defaultBodyMemory
}

// Defaults of a server.
const (
	defaultConnections = 2000
	defaultBodyMemory  = 64 << 20
	defaultHeaderWait  = 10 * time.Second
	defaultIdle        = time.Minute
	// maxHeadSize bounds a request's head whatever the configuration says, in bytes.
	maxHeadSize = 1 << 20
	// idleMargin is how much longer an idle connection is kept than clients are told, for requests on their way.
	idleMargin = 2 * time.Second
)

// Server serves clients.
type Server struct {
	options         Options
	listener        *listener
	clientServer    *http.Server
	readinessServer *http.Server
	bodyMemory      bodyMemory

	inFlight  atomic.Int64 // requests
	draining  atomic.Bool  // the process was told to end
	rejecting atomic.Bool  // new requests are refused

	sleep func(context.Context, time.Duration) bool // pause.For, but in tests of an end by plan
}

// New makes a server; Start starts it.
func New(options Options) *Server {
	if options.MaxConnections <= 0 {
		options.MaxConnections = defaultConnections
	}
	if options.MaxBodyMemory <= 0 {
		options.MaxBodyMemory = defaultBodyMemory
	}
	s := &Server{options: options, bodyMemory: bodyMemory{limit: options.MaxBodyMemory}, sleep: ctxsleep.Sleep}
	s.listener = newListener(options.ClientListener, options.MaxConnections, s.readTimeouts, s.logConnectionLimit)
	s.clientServer = &http.Server{
		Handler:                      s,
		MaxHeaderBytes:               maxHeadSize,
		DisableGeneralOptionsHandler: true,
		ConnState:                    recordConnState,
		ConnContext:                  withConnection,
		ErrorLog:                     stdlog.New(errorLogWriter{options.Log}, "", 0),
	}
	s.readinessServer = &http.Server{Handler: http.HandlerFunc(s.serveReadiness), ReadHeaderTimeout: defaultHeaderWait}
	return s
}

// Start begins to take requests and checks.
func (s *Server) Start() {
	go s.run(s.clientServer, s.listener)
	if s.options.ReadinessListener != nil {
		go s.run(s.readinessServer, s.options.ReadinessListener)
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
	_ = s.clientServer.Close() // nothing is left to be told
	_ = s.readinessServer.Close()
}

// InFlight is the number of requests under way.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Ready tells whether clients should be sent here.
func (s *Server) Ready() bool { return !s.draining.Load() && s.options.Ready() }

// serveReadiness answers the platform's check.
func (s *Server) serveReadiness(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != "/readiness":
		w.WriteHeader(http.StatusNotFound)
	case s.Ready():
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// readTimeouts are the operator's time limits on a client's connection, with some room where it is idle.
func (s *Server) readTimeouts() (headerWait, idle time.Duration) {
	headerWait, idle = defaultHeaderWait, defaultIdle
	if table := s.options.RoutingTable(); table != nil {
		if table.Limits.HeaderWait > 0 {
			headerWait = table.Limits.HeaderWait
		}
		if table.Limits.Idle > 0 {
			idle = table.Limits.Idle + idleMargin
		}
	}
	return headerWait, idle
}

// keepAlive is what clients are told of how long their connection may rest; empty: nothing.
func (s *Server) keepAlive() string {
	table := s.options.RoutingTable()
	if table == nil || table.Limits.Idle < time.Second {
		return ""
	}
	return "timeout=" + strconv.Itoa(int(table.Limits.Idle/time.Second))
}

func (s *Server) logConnectionLimit() { event.ConnectionLimitReached.Log(s.options.Log).Send() }

// errorLogWriter turns the HTTP server's own lines into events.
type errorLogWriter struct{ log *zerolog.Logger }

func (l errorLogWriter) Write(line []byte) (int, error) {
	event.ClientServerFailed.Log(l.log).Bytes(zerolog.ErrorFieldName, bytes.TrimSpace(line)).Send()
	return len(line), nil
}
