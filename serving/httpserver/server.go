// Package httpserver is the client side of a proxy: a reverse proxy's HTTP server. Server.ServeHTTP takes a request,
// picks an endpoint (package placement), sends the request to it (package upstream) and relays the response; after a
// failed attempt the retry policy (package retry) decides whether there is another one. Responses are buffered up to a
// size, so that a broken one can be retried; streams of server-sent events are relayed event by event and can be
// resumed at another endpoint.
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
	"rowanlink/serving/metrics"
	"rowanlink/serving/placement"
	"rowanlink/serving/retry"
	"rowanlink/serving/routing"
	"rowanlink/serving/upstream"
)

// EndpointPicker selects the endpoints of requests. It is implemented by *placement.Picker.
type EndpointPicker interface {
	Pick(now time.Time, request placement.Request) (placement.Choice, placement.Decision)
	ReportProgress(now time.Time, reservation placement.Reservation)
	ReportOutcome(now time.Time, reservation placement.Reservation, outcome attempt.Outcome)
}

// RetryPolicy decides on retries. It is implemented by *retry.Policy.
type RetryPolicy interface {
	CountRequest(now time.Time, service string)
	Decide(now time.Time, failed retry.FailedAttempt) retry.Decision
}

// Options are the parameters of a server. All but ReadinessListener and the numbers are required.
type Options struct {
	ClientListener    net.Listener // for clients' requests
	ReadinessListener net.Listener // for the platform's readiness checks and for metrics; nil: none
	RoutingTable      func() *routing.Table
	Ready             func() bool // whether the process knows enough to serve
	// ConnectionShare returns how many connections this process may have to one endpoint of a service.
	ConnectionShare func(*routing.Service) int
	Picker          EndpointPicker
	RetryPolicy     RetryPolicy
	Pool            *upstream.Pool
	Log             *zerolog.Logger

	MaxConnections int   // of clients; zero: defaultConnections
	MaxBodyMemory  int64 // bytes of large bodies in memory at once; zero: defaultBodyMemory
}

// Defaults of a server.
const (
	defaultConnections = 2000
	defaultBodyMemory  = 64 << 20
	defaultHeaderWait  = 10 * time.Second
	defaultIdle        = time.Minute
	// maxHeadSize bounds the headers of a request whatever limit the configuration has, in bytes.
	maxHeadSize = 1 << 20
	// idleMargin is how much longer an idle connection stays open than announced to its client, for requests in
	// transit.
	idleMargin = 2 * time.Second
)

// Server serves clients' requests. Make one with New.
type Server struct {
	options         Options
	listener        *listener
	clientServer    *http.Server
	readinessServer *http.Server
	bodyMemory      bodyMemory

	metrics   *serverMetrics
	inFlight  atomic.Int64 // requests
	draining  atomic.Bool  // graceful shutdown has begun
	rejecting atomic.Bool  // new requests are rejected

	sleep func(context.Context, time.Duration) bool // ctxsleep.Sleep, except in tests of Drain
}

// New returns a server that doesn't listen yet.
func New(options Options) *Server {
	if options.MaxConnections <= 0 {
		options.MaxConnections = defaultConnections
	}
	if options.MaxBodyMemory <= 0 {
		options.MaxBodyMemory = defaultBodyMemory
	}
	s := &Server{options: options, bodyMemory: bodyMemory{limit: options.MaxBodyMemory}, sleep: ctxsleep.Sleep}
	s.metrics = newServerMetrics(s.InFlight)
	s.listener = newListener(options.ClientListener, options.MaxConnections, s.readTimeouts, s.logConnectionLimit)
	s.clientServer = &http.Server{
		Handler:                      s,
		MaxHeaderBytes:               maxHeadSize,
		DisableGeneralOptionsHandler: true,
		ConnState:                    recordConnState,
		ConnContext:                  withConnection,
		ErrorLog:                     stdlog.New(errorLogWriter{options.Log}, "", 0),
	}
	readiness := http.NewServeMux()
	readiness.HandleFunc("/", s.serveReadiness)
	readiness.Handle(metrics.Path, metrics.Handler(s.metrics.write))
	s.readinessServer = &http.Server{Handler: readiness, ReadHeaderTimeout: defaultHeaderWait}
	return s
}

// Start serves requests and readiness checks until Close or until the listeners fail.
func (s *Server) Start() {
	go s.run(s.clientServer, s.listener)
	if s.options.ReadinessListener != nil {
		go s.run(s.readinessServer, s.options.ReadinessListener)
	}
}

// run serves a listener. It logs an error that isn't caused by a shutdown.
func (s *Server) run(server *http.Server, listener net.Listener) {
	err := server.Serve(listener)
	if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		event.ListenerFailed.Log(s.options.Log).Err(err).Send()
	}
}

// Close closes all connections at once.
func (s *Server) Close() {
	_ = s.clientServer.Close() // there is nothing to do about an error
	_ = s.readinessServer.Close()
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Ready reports whether clients should be sent to this process.
func (s *Server) Ready() bool { return !s.draining.Load() && s.options.Ready() }

// serveReadiness answers the platform's readiness check.
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

// readTimeouts returns the timeouts for reading a request's headers and for idle connections.
func (s *Server) readTimeouts() (headerWait, idle time.Duration) {
	headerWait, idle = defaultHeaderWait, defaultIdle
	if table := s.options.RoutingTable(); table != nil {
		if table.Limits.HeaderTimeout > 0 {
			headerWait = table.Limits.HeaderTimeout
		}
		if table.Limits.IdleTimeout > 0 {
			idle = table.Limits.IdleTimeout + idleMargin
		}
	}
	return headerWait, idle
}

// keepAlive returns the value of the Keep-Alive header for clients; empty: none.
func (s *Server) keepAlive() string {
	table := s.options.RoutingTable()
	if table == nil || table.Limits.IdleTimeout < time.Second {
		return ""
	}
	return "timeout=" + strconv.Itoa(int(table.Limits.IdleTimeout/time.Second))
}

func (s *Server) logConnectionLimit() { event.ConnectionLimitReached.Log(s.options.Log).Send() }

// errorLogWriter turns the log lines of net/http into events.
type errorLogWriter struct{ log *zerolog.Logger }

func (l errorLogWriter) Write(line []byte) (int, error) {
	event.ClientServerFailed.Log(l.log).Bytes(zerolog.ErrorFieldName, bytes.TrimSpace(line)).Send()
	return len(line), nil
}
